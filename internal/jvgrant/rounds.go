package jvgrant

import (
	"context"
	"time"
)

// Run runs rounds until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	go a.publishEarly(ctx)
	idle := 0 // Consecutive rounds that requests started and that changed nothing.
	for ctx.Err() == nil {
		changed := a.runRound(ctx)
		select {
		case <-ctx.Done():
		case <-a.wake:
			if changed {
				idle = 0
			}
			a.delayRound(ctx, idle)
			idle++
		case <-a.options.Timer.After(a.roundInterval()):
			idle = 0
		}
	}
}

// publishEarly publishes statements between rounds, for requests that wait only for a statement: a round that moves tokens
// takes as long as many routers contend for them.
func (a *Allocator) publishEarly(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wakePublish:
		}
		if a.publishesEarly() && a.publishIfDue(ctx) {
			a.endRound()
		}
		select {
		case <-ctx.Done():
			return
		case <-a.options.Timer.After(a.fleetSize().scale(earlyInterval)):
		}
	}
}

// publishesEarly reports whether requests get statements between rounds. In a small fleet the statement after the round's
// rebalance serves them, and also leaves headroom for the next requests.
func (a *Allocator) publishesEarly() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.restored && (a.pooled || a.fleetSizeLocked().large())
}

// earlyInterval keeps the early statements of a dozen routers within what one partition of the store takes.
const earlyInterval = 20 * time.Millisecond

func (a *Allocator) delayRound(ctx context.Context, idle int) {
	pause := a.fleetSize().roundDelay(idle)
	if pause == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-a.options.Timer.After(pause):
	}
}

// roundInterval returns the pause until the next round, randomized so that the rounds of routers
// that started together spread out.
func (a *Allocator) roundInterval() time.Duration {
	round := a.fleetSize().scale(a.options.RoundInterval)
	if a.takingOver() {
		round /= takeoverRoundFactor
	}
	return time.Duration(float64(round) * (0.75 + 0.5*a.options.Random()))
}

// runRound reads what other routers wrote, writes what changes at this one, and reports whether
// anything was written.
func (a *Allocator) runRound(ctx context.Context) bool {
	if !a.startRound(ctx) {
		return false
	}
	defer a.releaseRound()
	defer a.endRound()
	if !a.ready() {
		return a.begin(ctx)
	}
	a.updateDemand()
	if !a.renew(ctx) {
		return true
	}
	published := a.publishIfDue(ctx)
	read, waiting := a.readDue()
	if read {
		_ = a.callTopic(ctx, a.readStatements) // The follower logs failures.
	}
	if a.isStatementDue() {
		published = a.publishIfDue(ctx) || published
	}
	rebalanced := (read || waiting || a.isLeaving()) && a.peersDiscovered() && a.rebalance(ctx)
	a.awaitWitnesses(ctx)
	if rebalanced {
		published = a.publishIfDue(ctx) || published
	}
	return published || rebalanced
}

// isStatementDue reports whether another router waits for a statement of this one.
func (a *Allocator) isStatementDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statementDue
}

// startRound waits until no other round runs, and returns false if ctx ends before.
func (a *Allocator) startRound(ctx context.Context) bool {
	select {
	case a.round <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseRound lets the next round run.
func (a *Allocator) releaseRound() { <-a.round }

// readDue reports whether this round reads other routers' statements, and whether a request waits.
// Reads are a ReadInterval apart, and closer while a request waits or a takeover is in progress.
func (a *Allocator) readDue() (due, waiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Timer.Now()
	waiting = len(a.waiters) > 0
	pause := a.fleetSizeLocked().readInterval(a.options.ReadInterval, waiting || a.takeover.last != nil)
	due = now.Sub(a.lastRead) >= pause
	if due {
		a.lastRead = now
	}
	return due, waiting
}

// isLeaving reports whether the end of the process is prepared.
func (a *Allocator) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// readStatements reads other routers' statements. In a large fleet each router has published several
// since the last read, so listing the newest of each transfers less than reading all: all statements
// of 62 routers are 0.3 MB/s, a quarter of the capacity of the narrowest link.
func (a *Allocator) readStatements(ctx context.Context) error {
	if a.fleetSize().large() {
		return a.statements.Reload(ctx)
	}
	return a.statements.Poll(ctx, 0)
}

// callTopic runs one use of a topic with the call timeout.
func (a *Allocator) callTopic(ctx context.Context, use func(context.Context) error) error {
	ctx, cancel := a.options.Timer.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	return use(ctx)
}

// peersDiscovered reports whether the other routers have had time to publish statements since the
// start. A router that rebalances earlier takes too many tokens, since it doesn't count the others. It
// is also true when that can't wait: while a request waits, and while the router is leaving.
func (a *Allocator) peersDiscovered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters) > 0 || a.leaving || a.options.ReadClocks().Uptime-a.startedAt.Uptime > a.fleetSizeLocked().scale(discoveryTime)
}

// discoveryTime is a few rounds of every router.
const discoveryTime = 1500 * time.Millisecond

// publishIfDue publishes a statement where one is due, and reports whether it was confirmed.
func (a *Allocator) publishIfDue(ctx context.Context) bool {
	select {
	case a.publishing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-a.publishing }()
	a.mu.Lock()
	before := a.publisher.published
	a.mu.Unlock()
	_ = a.callTopic(ctx, a.publish) // publish logs failures; the next round retries.
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.publisher.published != before
}

// updateDemand updates the means of demand for the time since the last round.
func (a *Allocator) updateDemand() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Timer.Now()
	if !a.demandUpdated.IsZero() {
		for _, d := range a.demands {
			d.update(now.Sub(a.demandUpdated))
		}
	}
	a.demandUpdated = now
}

// endRound wakes the requests that wait for the end of a round.
func (a *Allocator) endRound() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.roundDone)
	a.roundDone = make(chan struct{})
}
