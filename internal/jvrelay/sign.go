package jvrelay

import "github.com/jasminevale/jasminevale/internal/jvtarget"

// recordSigns records what a response says of its target, before the response is passed on.
func (r *Relay) recordSigns(a *activeRequest, response *Response) {
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
