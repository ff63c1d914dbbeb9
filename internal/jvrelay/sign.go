package jvrelay

import "github.com/jasminevale/jasminevale/internal/jvtarget"

// recordSigns records what a target's response to this router says of the target, before it is passed on.
func (r *Relay) recordSigns(a *activeRequest, response *Response) {
	r.recordLeaving(a, response)
	switch {
	case response.RetryAfter > 0:
		if r.targets.RecordBackoff(a.pool, a.target, a.targetStartedAt, response.RetryAfter) {
			r.options.Logger.Info("target wants no requests", "target", a.target, "pool", a.pool, "ms", response.RetryAfter.Milliseconds(), "request", a.request.ID)
		}
	case response.Signed && !response.Refused:
		r.targets.RecordAccepted(a.pool, a.target)
	}
}

// recordLeaving records that a target says in a response, which may have come through another router, that it leaves.
func (r *Relay) recordLeaving(a *activeRequest, response *Response) {
	if response.Leaving && r.targets.RecordLeaving(a.pool, a.target, a.targetStartedAt) {
		r.options.Logger.Info("target says it leaves", "target", a.target, "pool", a.pool, "born", a.targetStartedAt, "request", a.request.ID)
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
