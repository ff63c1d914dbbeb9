package jvrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
)

// evidence is what shows that a target's process has ended.
type evidence string

const (
	// evidenceRefused means that the target's machine refuses connections.
	evidenceRefused evidence = "refused"
	// evidenceRestarted means that the target's entry has another start time.
	evidenceRestarted evidence = "restarted"
	// evidenceReplaced means that another instance has the target's address.
	evidenceReplaced evidence = "replaced"
)

const (
	// probeTimeout is many round trips between zones. A machine that is dark does not respond in it.
	probeTimeout = 250 * time.Millisecond
	// unresolvedAge is how long an attempt that broke off waits for evidence. A server is back after
	// some seconds.
	unresolvedAge = 10 * time.Second
	// maxUnresolved limits the attempts on one target that wait for evidence.
	maxUnresolved = 64
)

// brokenAttempt is an attempt that may have been running when its target ended.
type brokenAttempt struct {
	digest jvquarantine.Digest
	// request is the caller's ID of the copy.
	request string
	pool    string
	address string
	crash   jvquarantine.Crash
}

// crashDetector finds out for attempts that broke off whether their target has ended: a lost connection
// or a silent target alone does not show it. It is safe for concurrent use.
type crashDetector struct {
	options Options

	mu sync.Mutex
	// unresolved are the attempts without evidence so far, by target.
	unresolved map[string][]brokenAttempt
}

func newCrashDetector(o Options) *crashDetector {
	return &crashDetector{options: o, unresolved: map[string][]brokenAttempt{}}
}

// attemptBroke reports a crash if the target refuses connections now, and else keeps the attempt until
// there is evidence. A target that stalled is not probed: it accepts connections or is unreachable.
func (d *crashDetector) attemptBroke(ctx context.Context, a *activeRequest, t jvconfig.Target, stalled bool) {
	b := brokenAttempt{digest: a.digest, request: a.request.ID, pool: a.pool, address: t.Address, crash: jvquarantine.Crash{
		Target: t.Name, StartedAtMillis: a.targetStartedAt, SentAt: a.attemptStartedAt, EndedAt: d.options.Timer.Now(), Progress: a.progress,
	}}
	if !stalled && ctx.Err() == nil {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		refused := d.options.Sender.RefusesConnections(probe, t)
		cancel()
		if refused {
			d.report(b, evidenceRefused)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.unresolved[t.Name]
	if len(list) >= maxUnresolved {
		list = list[1:]
	}
	d.unresolved[t.Name] = append(list, b)
}

// entrySeen reports a crash for the attempts that broke off at a target which an entry shows to have
// ended: the entry has another start time, or another target has the address. The target's own entry may
// have lapsed before.
func (d *crashDetector) entrySeen(e Entry) {
	d.resolve(func(b brokenAttempt) evidence {
		switch {
		case b.crash.Target != e.Target.Name && b.address == e.Target.Address:
			return evidenceReplaced
		case b.crash.Target == e.Target.Name && b.crash.StartedAtMillis != 0 && b.crash.StartedAtMillis != e.StartedAtMillis:
			return evidenceRestarted
		}
		return ""
	})
}

// targetReplaced reports a crash for the attempts that broke off at a target at whose address another
// instance has responded.
func (d *crashDetector) targetReplaced(target string) {
	d.resolve(func(b brokenAttempt) evidence {
		if b.crash.Target == target {
			return evidenceReplaced
		}
		return ""
	})
}

// resolve reports a crash for the attempts for which there is evidence now.
func (d *crashDetector) resolve(find func(b brokenAttempt) evidence) {
	var crashed []brokenAttempt
	var shown []evidence
	d.mu.Lock()
	now := d.options.Timer.Now()
	for target, list := range d.unresolved {
		d.unresolved[target] = slices.DeleteFunc(list, func(b brokenAttempt) bool {
			e := find(b)
			if e == "" {
				return false
			}
			if now.Sub(b.crash.EndedAt) <= unresolvedAge {
				crashed = append(crashed, b)
				shown = append(shown, e)
			}
			return true
		})
	}
	d.mu.Unlock()
	for n, b := range crashed {
		d.report(b, shown[n])
	}
}

// requestCompleted clears a request that a target has run to its end.
func (d *crashDetector) requestCompleted(digest jvquarantine.Digest) {
	if !d.options.Quarantine.Empty() {
		d.options.Quarantine.ReportCompletion(digest)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for target, list := range d.unresolved {
		d.unresolved[target] = slices.DeleteFunc(list, func(b brokenAttempt) bool { return b.digest == digest })
	}
}

func (d *crashDetector) report(b brokenAttempt, e evidence) {
	d.options.Meter.CountCrash(b.pool, string(e))
	d.options.Logger.Info("target ended during a request", "request", b.request, "digest", b.digest.String(), "target", b.crash.Target,
		"born", b.crash.StartedAtMillis, "evidence", e, "progress", b.crash.Progress)
	d.options.Quarantine.ReportCrash(b.digest, b.crash)
}

// expire forgets attempts that waited for evidence for too long.
func (d *crashDetector) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Timer.Now()
	for target, list := range d.unresolved {
		for len(list) > 0 && now.Sub(list[0].crash.EndedAt) > unresolvedAge {
			list = list[1:]
		}
		d.unresolved[target] = list
		if len(list) == 0 {
			delete(d.unresolved, target)
		}
	}
}
