package jvlink

import (
	"math"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Report is a router's message to the other routers of its zone. The newest one replaces those before it.
type Report struct {
	Router string `cbor:"router"`
	Zone   string `cbor:"zone"`
	// SentAtMillis is when the report was sent, by the sender's clock. It orders the reports of one router.
	SentAtMillis int64 `cbor:"at"`
	// Capacity is that of the sender's link, in bytes per second.
	Capacity float64 `cbor:"capacity"`
	// Unready is true if the sender is not ready because of its link, UnreadyMillis for how long.
	Unready       bool  `cbor:"unready,omitempty"`
	UnreadyMillis int64 `cbor:"unreadyMs,omitempty"`
	// Heavy are the heavy workspaces whose callers reach the sender.
	Heavy []WorkspaceRate `cbor:"heavy,omitempty"`
}

// WorkspaceRate is the bytes per second that the callers of a workspace offer to a router.
type WorkspaceRate struct {
	Workspace string  `cbor:"workspace" json:"workspace"`
	Rate      float64 `cbor:"rate" json:"rate"`
}

const (
	// maxHeavy and maxNameBytes keep a report within a packet.
	maxHeavy     = 16
	maxNameBytes = 256
)

func decodeReport(data []byte) (Report, error) {
	const op = "decode report"
	r, err := jvcodec.Decode[Report](data)
	if err != nil {
		return r, jvfault.New(op, KindMalformed, err)
	}
	if r.Router == "" || len(r.Router) > maxNameBytes || len(r.Heavy) > maxHeavy || !validRate(r.Capacity) || r.UnreadyMillis < 0 {
		return r, jvfault.Newf(op, KindMalformed, "a name of %d bytes, %d workspaces, capacity %v, unready for %d ms",
			len(r.Router), len(r.Heavy), r.Capacity, r.UnreadyMillis)
	}
	for _, w := range r.Heavy {
		if len(w.Workspace) > maxNameBytes || !validRate(w.Rate) {
			return r, jvfault.Newf(op, KindMalformed, "a workspace of %d bytes with the rate %v", len(w.Workspace), w.Rate)
		}
	}
	return r, nil
}

// validRate reports whether a number can be a rate in bytes per second.
func validRate(rate float64) bool {
	const maxRate = 1e12
	return !math.IsNaN(rate) && rate >= 0 && rate <= maxRate
}

// received is the newest report of a router.
type received struct {
	Report

	at time.Time
}

// unreadySince returns since when the sender has not been ready, by this router's clock.
func (r received) unreadySince() time.Time {
	return r.at.Add(-time.Duration(min(r.UnreadyMillis, maxUnreadyMillis)) * time.Millisecond)
}

// maxUnreadyMillis keeps a time in a report within the range of a duration.
const maxUnreadyMillis = 24 * 3600 * 1000

// receive records a report of another router of the zone. A report that was overtaken by a newer one is ignored.
func (p *policy) receive(now time.Time, r Report) {
	old, known := p.reports[r.Router]
	if known && now.Sub(old.at) < reportAge && r.SentAtMillis <= old.SentAtMillis || !known && len(p.reports) >= maxReports {
		return
	}
	p.reports[r.Router] = received{Report: r, at: now}
	if r.Capacity > 0 {
		p.smallest = min(p.smallest, r.Capacity)
	}
	p.limitUnready()
}

// expireReports forgets reports that are too old to count. While this router is ready since too many others are not, it still
// counts those as unready: its own link is saturated and loses most reports.
func (p *policy) expireReports(now time.Time) {
	for name, r := range p.reports {
		switch {
		case now.Sub(r.at) < reportAge:
		case p.capped && r.Unready:
			r.Heavy = nil
			p.reports[name] = r
		default:
			delete(p.reports, name)
		}
	}
}

// reported returns the highest rate of a workspace in the reports of other routers.
func (p *policy) reported(workspace string) float64 {
	rate := 0.0
	for _, r := range p.reports {
		for _, w := range r.Heavy {
			if w.Workspace == workspace {
				rate = max(rate, w.Rate)
			}
		}
	}
	return rate
}

// report returns the report that is due, and false if there is none. There is none while no heavy workspace reaches this
// router and it is ready.
func (p *policy) report(now time.Time, router, zone string) (Report, bool) {
	r := Report{Router: router, Zone: zone, SentAtMillis: now.UnixMilli(), Capacity: p.Capacity, Unready: p.unready(), Heavy: p.heavy()}
	if r.Unready {
		r.UnreadyMillis = now.Sub(p.changedAt).Milliseconds()
	}
	changed := r.Unready != p.reportedUnready
	if !changed && (len(r.Heavy) == 0 && !r.Unready || now.Sub(p.reportedAt) < reportInterval) {
		return Report{}, false
	}
	p.reportedAt, p.reportedUnready = now, r.Unready
	return r, true
}
