package jvrelay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
)

const (
	// endProbeTimeout is the maximum time for a connection to a target that may have ended with its response. A lost
	// packet is sent again after one second.
	endProbeTimeout = 1250 * time.Millisecond
	// endProbeShare is the part of the time before the deadline for that: the response has to reach its caller, too.
	endProbeShare = 4
	// listPoll is the interval at which awaitList checks whether the list of targets has been read.
	listPoll = 10 * time.Millisecond
)

// claimedBody is the body of a response that ends with its connection. Its end is an error if the target's process has
// ended as well.
type claimedBody struct {
	io.ReadCloser

	// check returns io.EOF, or what shows that the process has ended.
	check func() error
	// end is what check returned, or nil.
	end error
}

// withCheckedEnd returns a target's response whose body ends with an error if its end is only claimed, and the target's
// process has ended with it.
func (r *Relay) withCheckedEnd(ctx context.Context, a *activeRequest, t jvconfig.Target, response *Response) *Response {
	if response.End == jvend.Claimed {
		response.Body = &claimedBody{ReadCloser: response.Body, check: func() error { return r.checkEnd(ctx, a, t) }}
	}
	return response
}

// Read implements io.Reader.
func (b *claimedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.check()
		err = b.end
	}
	return n, err
}

// checkEnd looks for evidence that a target's process has ended with the connection that ended its response. It returns
// io.EOF if there is none.
func (r *Relay) checkEnd(ctx context.Context, a *activeRequest, t jvconfig.Target) error {
	r.awaitList(ctx, a)
	shown := r.registry.ended(t, a.targetStartedAt)
	switch {
	case shown == evidenceRestarted, shown == evidenceReplaced:
		a.ended = shown
	case r.registry.leaves(t.Name): // It stops listening, and ends after its last response.
		shown = ""
	default:
		shown = r.crashes.checkListener(ctx, a, t, shown == evidenceLapsed)
	}
	if shown == "" {
		return io.EOF
	}
	return errors.Errorf("the response ended with its connection, and so did the target's process: %s", shown)
}

// awaitList waits until the list of targets has been read again if this process has stalled since the last read. The response
// may have ended long ago then, and the target's next process may accept connections: only a new list shows its start time.
func (r *Relay) awaitList(ctx context.Context, a *activeRequest) {
	if !r.options.Gate.MissedTargets() {
		return
	}
	now := r.options.Timer.Now()
	ctx, cancel := r.options.Timer.WithTimeout(ctx, min(endProbeTimeout, a.deadline.Sub(now)/endProbeShare))
	defer cancel()
	for r.options.Gate.MissedTargets() {
		select {
		case <-ctx.Done():
			r.options.Logger.Info("end of a response checked without the list of targets", "request", a.request.ID, "target", a.target)
			return
		case <-r.options.Timer.After(listPoll):
		}
	}
}

// checkListener returns the evidence that nothing listens any more at the address of a target which has closed its
// connection, or "". lapsed is true if its entry was removed: that alone shows nothing, since targets that leave may
// remove it first and serve on.
func (d *crashDetector) checkListener(ctx context.Context, a *activeRequest, t jvconfig.Target, lapsed bool) evidence {
	if ctx.Err() != nil || d.options.Reach.Unreachable(t.Name) {
		return ""
	}
	left := a.deadline.Sub(d.options.Timer.Now())
	e := d.probe(ctx, a, t, min(endProbeTimeout, left/endProbeShare))
	// A machine that does not respond has sent the end a moment ago: its process may run on behind a cut, or a packet
	// of the probe is lost. So that alone does not break a response. A refusal does, also if a middlebox on the way sent
	// it: the end may be the middlebox's, too.
	if e == evidenceUnreachable && !lapsed {
		return ""
	}
	return e
}

// leaves reports whether a target has announced that it leaves.
func (g *Registry) leaves(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries[name].Leaving || g.targets.Leaves(name)
}

// ended returns what the entries show of the end of a target's process, or "". The process started at a time by the
// target's entry, or 0 if that isn't known.
func (g *Registry) ended(t jvconfig.Target, startedAtMillis int64) evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, ok := g.entries[t.Name]
	switch {
	case g.displaced[t.Name]:
		return evidenceReplaced
	case ok && startedAtMillis != 0 && own.StartedAtMillis != 0 && own.StartedAtMillis != startedAtMillis:
		return evidenceRestarted
	}
	for id, other := range g.entries { // An entry of an earlier process at the address may not have lapsed yet.
		if id != t.Name && other.Target.Address == t.Address && startedAtMillis != 0 && other.StartedAtMillis > startedAtMillis {
			return evidenceReplaced
		}
	}
	if !ok {
		return evidenceLapsed
	}
	return ""
}
