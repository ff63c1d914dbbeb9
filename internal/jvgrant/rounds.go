package jvgrant

import (
	"context"
	"time"
)

// Run makes rounds until ctx ends.
func (k *Allocator) Run(ctx context.Context) {
	idle := 0 // Rounds in a row that requests asked for and that changed nothing.
	for ctx.Err() == nil {
		changed := k.makeRound(ctx)
		select {
		case <-ctx.Done():
		case <-k.wake:
			if changed {
				idle = 0
			}
			k.widen(ctx)
			k.rest(ctx, idle)
			idle++
		case <-k.options.Timer.After(k.pause()):
			idle = 0
		}
	}
}

// widen makes a statement at once where requests wait for nothing else, in a large fleet, whose
// rounds are far apart. In a small one the statement after the round's trade does it, and leaves
// room for what comes next as well.
func (k *Allocator) widen(ctx context.Context) {
	if k.fleet().large() && k.ready() && k.say(ctx) {
		k.endRound()
	}
}

func (k *Allocator) rest(ctx context.Context, idle int) {
	pause := k.fleet().rest(idle)
	if pause == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-k.options.Timer.After(pause):
	}
}

// pause spreads the rounds of routers that started together.
func (k *Allocator) pause() time.Duration {
	round := k.fleet().stretch(k.options.RoundInterval)
	if k.takingOver() {
		round /= takeoverPace
	}
	return time.Duration(float64(round) * (0.75 + 0.5*k.options.Random()))
}

// makeRound reads what others wrote and writes what changes here. It returns whether anything
// was written.
func (k *Allocator) makeRound(ctx context.Context) bool {
	defer k.endRound()
	if !k.ready() {
		return k.begin(ctx)
	}
	k.stepDemand()
	stated := k.say(ctx)
	read, wanted := k.readDue()
	if read {
		_ = k.call(ctx, k.readStatements) // The follower reports it.
	}
	taken := (read || wanted) && k.settled() && k.trade(ctx)
	if taken {
		stated = k.say(ctx) || stated
	}
	return stated || taken
}

// readDue tells whether this round reads what others stated, which is each Read and more often
// while a request waits or a takeover goes on, and whether a request waits.
func (k *Allocator) readDue() (due, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	wanted = len(k.wants) > 0
	pause := k.pace().read(k.options.ReadInterval, wanted || k.takeover.last != nil)
	due = k.closed || now.Sub(k.read) >= pause
	if due {
		k.read = now
	}
	return due, wanted
}

// readStatements takes over what others stated. In a large fleet each router has stated several
// times since the last read, so the newest of each is less than all: all statements of 62 routers
// are 0.3 MB a second, a quarter of the narrowest link.
func (k *Allocator) readStatements(ctx context.Context) error {
	if k.fleet().large() {
		return k.statements.Reload(ctx)
	}
	return k.statements.Poll(ctx, 0)
}

// call bounds one use of a topic.
func (k *Allocator) call(ctx context.Context, use func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	return use(ctx)
}

// settled tells whether the other routers have had the time to say that they are there; a
// router that takes before takes too much.
func (k *Allocator) settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.wants) > 0 || k.closed || k.options.ReadClocks().Uptime-k.born.Uptime > k.pace().stretch(settleTime)
}

// settleTime is a few rounds of every router.
const settleTime = 1500 * time.Millisecond

// say makes a statement where one is due.
func (k *Allocator) say(ctx context.Context) bool {
	k.mu.Lock()
	before := k.speaker.sequence
	k.mu.Unlock()
	_ = k.call(ctx, k.speak) // It has been logged; the next round tries again.
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.speaker.sequence != before
}

// stepDemand moves the means of demand on by the time since the last round.
func (k *Allocator) stepDemand() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Timer.Now()
	if !k.stepped.IsZero() {
		for _, d := range k.demands {
			d.step(now.Sub(k.stepped))
		}
	}
	k.stepped = now
}

// endRound wakes the requests that wait for it.
func (k *Allocator) endRound() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.round)
	k.round = make(chan struct{})
}
