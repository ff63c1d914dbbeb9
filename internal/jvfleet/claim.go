package jvfleet

import (
	"context"
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// claims makes at most one claim at a time for each profile; all requests that need more tokens
// wait for that one.
type claims struct {
	mu      sync.Mutex
	pending map[string]*claim
}

// claim is one claim in progress; done is closed once verdict and err are set.
type claim struct {
	done    chan struct{}
	verdict jvledger.Verdict
	err     error
}

func newClaims() *claims { return &claims{pending: map[string]*claim{}} }

// claimMore appends a claim, or joins the one in progress on the same profile, and waits for the
// verdict. It stops waiting once the log counts as unreachable; the claim itself continues.
func (rt *Router) claimMore(ctx context.Context, s *session, profile string, need int64) (jvledger.Verdict, error) {
	c := rt.startClaim(s, profile, need)
	ctx, cancel := context.WithTimeout(ctx, rt.options.Timing.UnreachableAfter)
	defer cancel()
	select {
	case <-c.done:
		return c.verdict, c.err
	case <-ctx.Done():
		return jvledger.Verdict{}, ctx.Err()
	}
}

// startClaim returns the claim in progress on a profile, or starts one.
func (rt *Router) startClaim(s *session, profile string, need int64) *claim {
	rt.claims.mu.Lock()
	defer rt.claims.mu.Unlock()
	if c := rt.claims.pending[profile]; c != nil {
		return c
	}
	c := &claim{done: make(chan struct{})}
	rt.claims.pending[profile] = c
	a := s.escrow.Account(profile)
	want := rt.options.ClaimPolicy.ClaimSize(a, need, rt.placement(profile).DesiredTokens())
	lacking := max(1, need-a.Available())
	rt.spawn(func() {
		rt.meter.Claims.Inc()
		record := jvrecord.Record{Claim: &jvrecord.Claim{Profile: profile, Need: lacking, Want: want}}
		verdicts, err := rt.journal.Submit(rt.ctx, s.origin, record)
		if err == nil {
			c.verdict = verdicts[0]
		}
		c.err = err
		rt.claims.mu.Lock()
		delete(rt.claims.pending, profile)
		rt.claims.mu.Unlock()
		close(c.done)
	})
	return c
}
