package jvrelay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvreach"
)

// evidence is what shows that a target's process has ended.
type evidence string

const (
	// evidenceRefused means that the target's machine refuses connections.
	evidenceRefused evidence = "refused"
	// evidenceUnreachable means that the target closed or reset the connection, and its machine does not
	// respond since.
	evidenceUnreachable evidence = "unreachable"
	// evidenceLapsed means that the target's entry was removed although it was not leaving.
	evidenceLapsed evidence = "lapsed"
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
	// lapsedAge is how long a target that was cut off may take to write its entry again.
	lapsedAge = time.Minute
)

// brokenAttempt is an attempt that may have been running when its target ended.
type brokenAttempt struct {
	features jvquarantine.Features
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
	// lapsed are the reports that follow from lapsed entries only, by target.
	lapsed map[string][]lapsedReport
}

// lapsedReport is a report of a crash that is withdrawn if the target's entry is written again with the
// same start time: the target was cut off.
type lapsedReport struct {
	keys            []string
	startedAtMillis int64
	at              time.Time
}

func newCrashDetector(o Options) *crashDetector {
	return &crashDetector{options: o, unresolved: map[string][]brokenAttempt{}, lapsed: map[string][]lapsedReport{}}
}

// attemptBroke reports a crash and returns true if the target accepts no connections now, and else keeps the
// attempt until there is evidence. Where entries have shown the crash, they also show the next process. A target that was silent is not probed: it may be cut off or busy.
func (d *crashDetector) attemptBroke(ctx context.Context, a *activeRequest, t jvconfig.Target, silent bool) (ended bool) {
	b := brokenAttempt{features: a.features, request: a.request.ID, pool: a.pool, address: t.Address, crash: jvquarantine.Crash{
		Target: t.Name, StartedAtMillis: a.targetStartedAt, SentAt: a.attemptStartedAt, EndedAt: d.options.Timer.Now(), Progress: a.progress,
	}}
	if a.ended != "" {
		d.report(b, a.ended)
		return false
	}
	if !silent && ctx.Err() == nil {
		e := d.probe(ctx, a, t, probeTimeout)
		if e != "" && d.options.Reach.Down(jvreach.Target{Name: t.Name, Address: t.Address}) {
			d.report(b, e)
			return true
		}
	}
	if d.options.Reach.Unreachable(t.Name) { // A cut of this router's own link looks the same.
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.unresolved[t.Name]
	if len(list) >= maxUnresolved {
		list = list[1:]
	}
	d.unresolved[t.Name] = append(list, b)
	return false
}

// probe returns the evidence that a target's machine gives by not accepting a connection, or "". It connects once for
// each attempt.
func (d *crashDetector) probe(ctx context.Context, a *activeRequest, t jvconfig.Target, timeout time.Duration) evidence {
	if a.probed == "" {
		probeCtx, cancel := d.options.Timer.WithTimeout(ctx, timeout)
		defer cancel()
		result := d.options.Sender.Probe(probeCtx, t)
		if result == ProbeNoResponse && ctx.Err() != nil { // The attempt's own deadline ended the probe.
			return ""
		}
		a.probed = result
	}
	switch a.probed {
	case ProbeRefused:
		return evidenceRefused
	case ProbeNoResponse:
		return evidenceUnreachable
	}
	return ""
}

// entrySeen reports a crash for the attempts that broke off at a target which an entry shows to have
// ended: the entry has another start time, or another target has the address. The target's own entry may
// have lapsed before.
func (d *crashDetector) entrySeen(e Entry) {
	d.withdrawLapsed(e)
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

// entryRemoved reports a crash for the attempts that broke off at a target whose entry was removed.
func (d *crashDetector) entryRemoved(target string) { d.resolveTarget(target, evidenceLapsed) }

// withdrawLapsed withdraws the reports that follow from the lapse of an entry which is written again by
// the same process.
func (d *crashDetector) withdrawLapsed(e Entry) {
	d.mu.Lock()
	reports := d.lapsed[e.Target.Name]
	delete(d.lapsed, e.Target.Name)
	d.mu.Unlock()
	for _, r := range reports {
		if r.startedAtMillis == e.StartedAtMillis {
			d.options.Logger.Info("target did not end", "target", e.Target.Name, "born", e.StartedAtMillis)
			d.options.Quarantine.Withdraw(r.keys)
		}
	}
}

// targetReplaced reports a crash for the attempts that broke off at a target at whose address another
// instance has responded.
func (d *crashDetector) targetReplaced(target string) { d.resolveTarget(target, evidenceReplaced) }

func (d *crashDetector) resolveTarget(target string, e evidence) {
	d.resolve(func(b brokenAttempt) evidence {
		if b.crash.Target == target {
			return e
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

// requestCompleted clears a request that a target has run to its end, and the parts of its prompt.
func (d *crashDetector) requestCompleted(f jvquarantine.Features) {
	d.options.Quarantine.ReportCompletion(f)
	d.mu.Lock()
	defer d.mu.Unlock()
	for target, list := range d.unresolved {
		kept := list[:0]
		for _, b := range list {
			if b.features.Request != f.Request {
				b.features = b.features.Without(f.Parts)
				kept = append(kept, b)
			}
		}
		d.unresolved[target] = kept
	}
}

func (d *crashDetector) report(b brokenAttempt, e evidence) {
	d.options.Meter.CountCrash(b.pool, string(e))
	d.options.Logger.Info("target ended during a request", "request", b.request, "digest", b.features.Request.String(), "target", b.crash.Target,
		"born", b.crash.StartedAtMillis, "evidence", e, "progress", b.crash.Progress, "parts", b.features.PartNames())
	keys := d.options.Quarantine.ReportCrash(b.features, b.crash)
	if e != evidenceLapsed {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lapsed[b.crash.Target] = append(d.lapsed[b.crash.Target], lapsedReport{keys: keys, startedAtMillis: b.crash.StartedAtMillis, at: d.options.Timer.Now()})
}

// expire forgets attempts that waited for evidence for too long, and reports that stand.
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
	maps.DeleteFunc(d.lapsed, func(_ string, reports []lapsedReport) bool {
		return now.Sub(reports[len(reports)-1].at) > lapsedAge
	})
}
