package jvrelay

import (
	"github.com/jasminevale/jasminevale/internal/jvsign"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// recordSigns records what a target's response announces about the target, before it is passed on.
func (r *Relay) recordSigns(a *activeRequest, response *Response) {
	doubted := r.targets.Doubted(a.target)
	if r.recordLeaving(a, response) && !doubted { // Otherwise another router has sent it to all.
		r.options.AnnounceLeaving(jvsign.Process{Target: a.target, StartedAtMillis: a.targetStartedAt})
	}
	switch {
	case response.RetryAfter > 0:
		if r.targets.RecordBackoff(a.pool, a.target, a.targetStartedAt, response.RetryAfter) {
			r.options.Logger.Info("target wants no requests", "target", a.target, "pool", a.pool, "ms", response.RetryAfter.Milliseconds(), "request", a.request.ID)
		}
	case response.Signed && !response.Refused:
		r.targets.RecordResponse(a.pool, a.target, a.attemptStartedAt)
	}
}

// recordLeaving records that a target announces its leaving in a response, which may have come through another router. It
// reports whether that is new.
func (r *Relay) recordLeaving(a *activeRequest, response *Response) bool {
	if !response.Leaving || !r.targets.RecordLeaving(a.pool, a.target, a.targetStartedAt) {
		return false
	}
	r.options.Logger.Info("target announces that it leaves", "target", a.target, "pool", a.pool, "born", a.targetStartedAt, "request", a.request.ID)
	return true
}

// Doubt records that another router reports a target's process as leaving.
func (r *Relay) Doubt(p jvsign.Process) {
	if r.targets.RecordDoubt(p.Target, p.StartedAtMillis) {
		r.options.Logger.Info("target reported as leaving by another router", "target", p.Target, "born", p.StartedAtMillis)
	}
}

// avoided returns the targets of a request's pool that another router must not select for its next attempt.
func (r *Relay) avoided(a *activeRequest) []string {
	return append(r.targets.LeavingTargets(a.pool), a.failed...)
}

// processes returns the processes that entries show, by target.
func processes(entries map[string]Entry) map[string]jvtarget.Process {
	all := make(map[string]jvtarget.Process, len(entries))
	for id, e := range entries {
		all[id] = jvtarget.Process{StartedAtMillis: e.StartedAtMillis, Leaving: e.Leaving}
	}
	return all
}
