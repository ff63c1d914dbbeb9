package jvgrant

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// taking is tokens that this router has taken out of a budget and does not spend yet: the log may come back from a copy
// without the record, and only what other routers know of it is recorded again whatever becomes of this one.
type taking struct {
	// holding is this router's recorded holding, with the tokens.
	holding Holding
	// witnesses are the routers that know of it.
	witnesses map[string]bool
	at        time.Time
	// statedEnd is where the topic of statements ended after the first statement with the holding, or 0.
	statedEnd uint64
	// statements is the number of statements that asked routers to be witnesses, askedAt when the latest was published.
	statements int
	askedAt    time.Time
}

// maxTakings is the number of takings of a budget that wait at the same time. The first one stays as it is while requests
// keep raising the holding, so that its witnesses are enough at some time; the last one grows.
const maxTakings = 2

const (
	// maxWitnesses is the number of other routers that must know of tokens before they are spent. In a renewal that many
	// routers may stay silent, the holder among them, so that at least one witness has spoken.
	maxWitnesses = 3
	// spareWitnesses is how many more routers are asked at first: a packet may be lost, or a router have ended.
	spareWitnesses = 1
	// witnessInterval exceeds the round trip between zones, also to a router that is busy. A round sends maxWitnessSends
	// times, to more routers each time.
	witnessInterval = 25 * time.Millisecond
	maxWitnessSends = 3
	// stateTakingAfter is the age from which a taking makes a statement due: routers that read that are witnesses, too.
	stateTakingAfter = 100 * time.Millisecond
	// restateTakingAfter is the time, beside two reads of the statements, after which the next statement asks more routers.
	restateTakingAfter = time.Second
)

// neededWitnesses returns how many other routers must know of tokens before they are spent; a.mu must be held.
func (a *Allocator) neededWitnesses() int {
	if a.options.Others == nil {
		return 0
	}
	n := 0
	for _, m := range a.options.Others() {
		if a.answersMessages(m) {
			n++
		}
		if n == maxWitnesses {
			break
		}
	}
	return n
}

// answersMessages reports whether a router is live and of a release that answers messages; a.mu must be held.
func (a *Allocator) answersMessages(m jvmember.Member) bool {
	_, answers := a.fleet.statements[m.Name].origin()
	return answers && a.options.Timer.Since(a.fleet.lastSeen[m.Name]) < livenessTimeout
}

// possibleWitnesses returns the live routers that answer messages, in the order in which they are asked: one of each zone, then
// the next of each. a.mu must be held.
func (a *Allocator) possibleWitnesses() []jvmember.Member {
	if a.options.Others == nil {
		return nil
	}
	ranks := map[string]uint32{}
	zones := map[string][]jvmember.Member{}
	for _, m := range a.options.Others() {
		if !a.answersMessages(m) {
			continue
		}
		rank := fnv.New32a()
		_, _ = rank.Write([]byte(a.options.Router + keySeparator + m.Name)) // A hash never returns an error.
		ranks[m.Name] = rank.Sum32()
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	names := slices.Sorted(maps.Keys(zones))
	for _, zone := range names {
		slices.SortFunc(zones[zone], func(x, y jvmember.Member) int { return int(int64(ranks[x.Name]) - int64(ranks[y.Name])) })
	}
	var list []jvmember.Member
	for n, found := 0, true; found; n++ {
		found = false
		for _, zone := range names {
			if n < len(zones[zone]) {
				list = append(list, zones[zone][n])
				found = true
			}
		}
	}
	return list
}

// take credits a recorded holding once enough routers know of the tokens in it; a.mu must be held.
func (a *Allocator) take(workspace string, h Holding) {
	account := a.escrow.Account(workspace)
	if h.Net() <= account.Granted-account.Returned || a.neededWitnesses() == 0 {
		a.escrow.RaiseTotals(workspace, h.Granted, h.Returned)
		delete(a.takings, workspace)
		return
	}
	list := a.takings[workspace]
	if len(list) > 0 {
		last := list[len(list)-1]
		if last.holding.Granted >= h.Granted {
			last.holding = last.holding.Raised(h)
			return
		}
		if len(list) == maxTakings {
			list = list[:maxTakings-1]
		}
	}
	a.takings[workspace] = append(list, &taking{holding: h, witnesses: map[string]bool{}, at: a.options.Timer.Now()})
}

// newestTaking returns the taking with all tokens that this router has taken of a budget and does not spend yet, or nil; a.mu
// must be held.
func (a *Allocator) newestTaking(workspace string) *taking {
	list := a.takings[workspace]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// taken returns the tokens that this router has taken and does not spend yet; a.mu must be held.
func (a *Allocator) taken(workspace string) int64 {
	t := a.newestTaking(workspace)
	if t == nil {
		return 0
	}
	account := a.escrow.Account(workspace)
	returned := max(t.holding.Returned, account.Returned) // The record of the latest return may not be read yet.
	return max(0, t.holding.Granted-returned-(account.Granted-account.Returned))
}

// addWitness records that a router knows of the takings of a budget that known selects, and credits the largest one that
// enough know of; a.mu must be held.
func (a *Allocator) addWitness(workspace, router string, known func(*taking) bool) {
	list, needed := a.takings[workspace], a.neededWitnesses()
	credited := 0
	for n, t := range list {
		if known(t) {
			t.witnesses[router] = true
		}
		if len(t.witnesses) >= needed {
			credited = n + 1
		}
	}
	if credited == 0 {
		return
	}
	h := list[credited-1].holding
	a.escrow.RaiseTotals(workspace, h.Granted, h.Returned)
	if a.takings[workspace] = slices.Clone(list[credited:]); credited == len(list) {
		delete(a.takings, workspace)
	}
	if len(a.takings) == 0 {
		select {
		case a.witnessed <- struct{}{}:
		default:
		}
	}
}

// abandonTakings returns the tokens that this router does not spend yet; a.mu must be held. After the log was set back,
// others may have taken them again.
func (a *Allocator) abandonTakings() {
	for w := range a.takings {
		t, account := a.newestTaking(w), a.escrow.Account(w)
		a.escrow.RaiseTotals(w, t.holding.Granted, t.holding.Granted-(account.Granted-account.Returned))
		a.options.Logger.Info("taken tokens given back unspent", "workspace", w, "tokens", t.holding.Net()-(account.Granted-account.Returned), "era", a.era, "witnesses", len(t.witnesses))
	}
	clear(a.takings)
}

// awaitWitnesses sends this router's takings to others, by packets and then also by connections, and waits until enough have
// answered or for maxWitnessSends * witnessInterval. The next round goes on with the rest.
func (a *Allocator) awaitWitnesses(ctx context.Context) {
	select {
	case <-a.witnessed: // That of an earlier round.
	default:
	}
	for n := range maxWitnessSends {
		receivers, m := a.takingMessage(n)
		if len(m.Held) == 0 {
			return
		}
		for _, to := range receivers {
			for _, part := range m.parts() {
				a.options.Send(to, part)
				if n == maxWitnessSends-1 {
					a.options.Post(to, part)
				}
			}
		}
		select {
		case <-a.witnessed:
			return
		case <-a.options.Timer.After(witnessInterval):
		case <-ctx.Done():
			return
		}
	}
	a.logTakings()
}

// takingMessage returns a message on this router's takings and the routers that get it.
func (a *Allocator) takingMessage(sent int) ([]jvmember.Member, message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := message{Router: a.options.Router, Kind: messageTaken, Era: a.era}
	for _, w := range slices.Sorted(maps.Keys(a.takings)) {
		m.Held = append(m.Held, newHeldRow(w, a.newestTaking(w).holding))
	}
	receivers := slices.DeleteFunc(a.possibleWitnesses(), a.knowsTakings)
	return receivers[:min(len(receivers), (maxWitnesses+spareWitnesses)<<sent)], m
}

// knowsTakings reports whether a router is a witness of all takings; a.mu must be held.
func (a *Allocator) knowsTakings(m jvmember.Member) bool {
	for w := range a.takings {
		if !a.newestTaking(w).witnesses[m.Name] {
			return false
		}
	}
	return true
}

// logTakings logs the takings that too few routers know of.
func (a *Allocator) logTakings() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range slices.Sorted(maps.Keys(a.takings)) {
		t := a.takings[w][0]
		a.options.Logger.Info("tokens wait for witnesses", "workspace", w, "tokens", a.taken(w), "witnesses", len(t.witnesses),
			"needed", a.neededWitnesses(), "statements", t.statements, "ms", a.options.Timer.Since(t.at).Milliseconds())
	}
}

// stateTakings returns the number of routers that the next statement asks to be witnesses, since others have not answered, or
// 0; a.mu must be held.
func (a *Allocator) stateTakings() int {
	restate := restateTakingAfter + 2*a.fleetSizeLocked().readInterval(a.options.ReadInterval, false)
	asked := 0
	for _, list := range a.takings {
		for _, t := range list {
			if t.statements == 0 && a.options.Timer.Since(t.at) >= stateTakingAfter || t.statements > 0 && a.options.Timer.Since(t.askedAt) >= restate {
				asked = max(asked, (maxWitnesses+spareWitnesses)<<min(t.statements, maxStatementDoublings))
			}
		}
	}
	return asked
}

// maxStatementDoublings bounds the shift in stateTakings: all routers of a fleet are asked then.
const maxStatementDoublings = 8

// noteStated records that a published statement has the holdings of takings; a.mu must be held.
func (a *Allocator) noteStated(s Statement, end uint64) {
	asks := slices.ContainsFunc(s.Rows, func(r Row) bool { return strings.HasPrefix(r.Workspace, witnessPrefix) })
	for _, row := range s.Rows {
		w, ok := row.holdingOf()
		if !ok {
			continue
		}
		for _, t := range a.takings[w] {
			if row.Used < t.holding.Granted {
				continue
			}
			if t.statedEnd == 0 {
				t.statedEnd = end
			}
			if asks {
				t.statements++
				t.askedAt = a.options.Timer.Now()
			}
		}
	}
}

// witnessStatement counts a router as a witness of the takings that it has read in this router's statements; a.mu must
// be held.
func (a *Allocator) witnessStatement(router string, s Statement) {
	o, ok := s.origin()
	if !ok || o.era != a.era || router == a.options.Router {
		return
	}
	for w := range a.takings {
		a.addWitness(w, router, func(t *taking) bool { return t.statedEnd != 0 && o.readOffset >= t.statedEnd })
	}
}

// witnessPrefix begins the workspace of a row that names a router which is asked to be a witness: it publishes a statement
// once it has read the row. Releases that don't know it read a row of no workspace.
const witnessPrefix = rowPrefix + "witness/"

// witnessRows returns the rows that ask n routers to be witnesses; a.mu must be held.
func (a *Allocator) witnessRows(n int) (rows []Row) {
	possible := a.possibleWitnesses()
	for _, m := range possible[:min(n, len(possible))] {
		rows = append(rows, Row{Workspace: witnessPrefix + m.Name})
	}
	return rows
}

// isWitness reports whether a statement asks this router to be a witness; a.mu must be held.
func (a *Allocator) isWitness(s Statement) bool {
	_, ok := s.row(witnessPrefix + a.options.Router)
	return ok
}
