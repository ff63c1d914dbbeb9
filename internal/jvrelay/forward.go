package jvrelay

import (
	"context"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

const (
	// maxDirectUnsent is the number of attempts of one request that reach no target, after which it goes through
	// another router: this router's own link may be at fault.
	maxDirectUnsent = 2
	// maxGuessedPeers is the number of routers that are tried on that suspicion. After that it is the targets' fault.
	maxGuessedPeers = 2
)

// maxRefusals is the number of targets whose machines may refuse connections of one request before it is refused. A
// refusal takes a round trip, and keeps other requests from that target.
const maxRefusals = 32

// triesUnsent reports whether a request may be tried again whose latest attempt reached no target: maxNotRun attempts
// are made, beside those that were refused a connection.
func (a *activeRequest) triesUnsent(maxNotRun int) bool {
	return a.refusals <= maxRefusals && a.notRun-a.refusals < maxNotRun
}

// try is one attempt: at a target by this router, or through another router, which selects the target.
type try struct {
	lease     jvtarget.Lease
	peer      jvmember.Member
	forwarded bool
}

// nextTry returns the next attempt of a request. It goes through another router if targets that would accept it are
// reachable only from there.
func (r *Relay) nextTry(ctx context.Context, a *activeRequest) (try, error) {
	if a.unsent >= maxDirectUnsent && len(a.peers) < maxGuessedPeers {
		if peer, ok := r.options.Reach.SelectPeer(a.peers); ok {
			return try{peer: peer, forwarded: true}, nil
		}
	}
	s := r.slotRequest(a)
	s.PreferAnswered = a.unsent > 0
	lease, err := r.targets.Acquire(ctx, s)
	if err == nil {
		return try{lease: lease}, nil
	}
	var refusal *jvtarget.Refusal
	if errors.As(err, &refusal) && refusal.Unreachable > 0 {
		if peer, ok := r.options.Reach.SelectPeer(a.peers); ok {
			return try{peer: peer, forwarded: true}, nil
		}
	}
	return try{}, err
}

// endTry ends an attempt that was not made.
func (r *Relay) endTry(t try, result jvtarget.Result, peerFailed bool) {
	if t.forwarded {
		r.options.Reach.DonePeer(t.peer.Name, peerFailed)
		return
	}
	t.lease.Release(result)
}

// forwardAttempt lets another router make an attempt, and forwards the response.
func (r *Relay) forwardAttempt(ctx context.Context, a *activeRequest, peer jvmember.Member) (err error) {
	ctx, stop, stall := r.startAttempt(ctx, a)
	defer stop()
	defer func() {
		r.countAttempt(a, err)
		r.options.Meter.CountForwarded("out", string(jvfault.KindOf[Kind](err)))
		r.options.Reach.DonePeer(peer.Name, jvfault.KindOf[Kind](err) == KindUnsent)
	}()
	d := r.newDispatch(a)
	s := r.slotRequest(a)
	d.Selection = Selection{Pool: s.Pool, Prefix: s.Prefix, Bound: s.Bound, Version: s.Version, Avoid: r.avoided(a), Features: a.features}
	response, err := r.options.Forwarder.Forward(ctx, peer, d)
	if err != nil {
		return r.classify(ctx, err)
	}
	a.setTarget(response.Target, response.StartedAtMillis)
	r.recordLeaving(a, response)
	return r.deliver(ctx, a, response, stall)
}

// recordFailure records what a failed attempt shows about its target, and about this router's link.
func (r *Relay) recordFailure(ctx context.Context, a *activeRequest, t try, kind Kind, err error) {
	if t.forwarded { // The other router records what it shows about the target.
		if kind == KindUnsent {
			a.peers = append(a.peers, t.peer.Name)
		}
		if a.target != "" {
			a.failed = append(a.failed, a.target)
		}
		return
	}
	a.avoid = append(a.avoid, t.lease.Target.Name)
	if kind == KindUnsent {
		a.unsent++
	} else {
		a.failed = append(a.failed, t.lease.Target.Name)
	}
	if errors.Is(err, ErrConnectionRefused) {
		a.refusals++
	}
	r.recordTargetFailure(ctx, a, t.lease.Target, kind, err)
}

// recordTargetFailure records what a failed attempt of this router shows about its target.
func (r *Relay) recordTargetFailure(ctx context.Context, a *activeRequest, target jvconfig.Target, kind Kind, err error) {
	silent := errors.Is(err, errStalled)
	if ctx.Err() == nil && (kind == KindUnsent || kind == KindBroken && !a.progress && !silent) {
		r.options.Reach.Failed(target.Name)
	}
	switch {
	case errors.Is(err, ErrConnectionRefused):
		if !r.options.Reach.Unreachable(target.Name) {
			r.targets.RecordRefused(a.pool, target.Name)
			r.registry.markEnded(target.Name)
		}
	case kind == KindBroken:
		if r.crashes.attemptBroke(ctx, a, target, silent) {
			r.registry.markEnded(target.Name)
		}
	case kind == KindCallerDisconnected && !a.progress: // Callers leave a silent target.
		r.crashes.attemptBroke(ctx, a, target, true)
	}
}
