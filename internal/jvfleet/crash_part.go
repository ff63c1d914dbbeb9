package jvfleet

import (
	"slices"
	"strconv"

	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

const (
	// partCrashes is the number of crashes that followed one another from which on requests with a part
	// are quarantined.
	partCrashes = 3
	// maxParts is the number of messages of one prompt that are considered, the first ones.
	maxParts = 64
)

// parts returns the digests of the messages that other requests may share.
func (q *Request) parts() []jvledger.Key {
	if q.Model == nil {
		return nil
	}
	return slices.Clip(q.Model.Parts)
}

// addPart raises the number of a part's crashes, and reports whether it was lower.
func (c *crashTable) addPart(p jvpeer.PartCrash) bool {
	k, ok := jvledger.KeyOf(p.Digest)
	if !ok || p.Succession > partCrashes {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, _ := c.byPart.Get(k)
	if known >= p.Succession {
		return false
	}
	c.byPart.Put(k, p.Succession)
	return true
}

// partCount returns the number of a part's crashes that this VM knows, and when it is forgotten in Unix
// milliseconds.
func (c *crashTable) partCount(part jvledger.Key) (crashes int, expiresAt int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes, _ = c.byPart.Get(part)
	return crashes, c.byPart.ExpiresAt(part)
}

// partQuarantinedUntil returns when the quarantine of a part ends, in Unix milliseconds, or 0.
func (rt *Router) partQuarantinedUntil(part jvledger.Key) (until int64) {
	if crashes, expiresAt := rt.crashes.partCount(part); crashes >= partCrashes {
		until = expiresAt
	}
	rt.journal.View(func(state *jvledger.State) {
		if state.CrashCount(part) >= partCrashes {
			until = max(until, state.Crashes.ExpiresAt(part))
		}
	})
	return until
}

// targetParts returns the parts of a request's prompt with the crashes of each that are known now.
func (rt *Router) targetParts(q *Request) []jvtarget.Part {
	parts := make([]jvtarget.Part, 0, len(q.parts()))
	rt.journal.View(func(state *jvledger.State) {
		for _, k := range q.parts() {
			crashes, _ := rt.crashes.partCount(k)
			parts = append(parts, jvtarget.Part{Digest: k[:], Crashes: max(crashes, state.CrashCount(k))})
		}
	})
	return parts
}

// addCrashedParts counts a crash for the parts of the requests that were running in it, and returns for each
// request those for which it is new. A crash counts for a part if the attempt began after the part's last
// crash was known, since crashes at the same time have a common cause. Copies of a request that was running in
// an earlier crash show nothing about its parts.
func (rt *Router) addCrashedParts(requests []jvtarget.CrashedRequest) [][]jvpeer.PartCrash {
	list := make([][]jvpeer.PartCrash, len(requests))
	for n, q := range requests {
		if k, ok := jvledger.KeyOf(q.Digest); !ok || rt.suspected(k) {
			continue
		}
		for _, p := range q.Parts {
			crash := jvpeer.PartCrash{Digest: p.Digest, Succession: p.Crashes + 1}
			if !rt.crashes.addPart(crash) {
				continue
			}
			list[n] = append(list[n], crash)
			if k, ok := jvledger.KeyOf(p.Digest); ok && crash.Succession >= partCrashes {
				rt.options.Logger.Info("part quarantined", "digest", k.String(), "crashes", crash.Succession)
			}
		}
	}
	return list
}

// partRecord returns the record of a part's crash. It names the crash by its place in the succession, so that
// the records of crashes at the same time count as one.
func partRecord(p jvpeer.PartCrash) jvrecord.Record {
	return jvrecord.Record{Poison: &jvrecord.Poison{Digest: p.Digest, Instance: strconv.Itoa(p.Succession), Limit: partCrashes}}
}
