package jvlimit

import "time"

// limit is a target's limit with this router's part of it.
type limit struct {
	// value is in requests a second, of all routers together.
	value float64
	// startedAtMillis is the start of the target's process, in Unix milliseconds of its own clock, or 0.
	startedAtMillis int64
	// knownAt is when this router came to know that the target has a limit.
	knownAt time.Time
	// saved is the number of requests that this router may send at savedAt.
	saved   float64
	savedAt time.Time
	// usedPeriod is the number of the period in which saved was earned.
	usedPeriod int64
	selection  selection
	// endsAt is when the limit of a cold target ends.
	endsAt time.Time
}

// selection is what this router may send of a limit in a period.
type selection struct {
	valid  bool
	number int64
	// rate is the requests a second that this router may send.
	rate float64
	// next is the number of the next period in which this router uses the limit, if rate is 0.
	next int64
}

const (
	// minSaved and savedTime bound what a sender may save: a request, or what it may send in
	// savedTime if that is more. Requests come in bursts.
	minSaved  = 1
	savedTime = 100 * time.Millisecond
	// searchedPeriods is the number of periods in which the next one of a router is looked for.
	searchedPeriods = 16
)

// selectionIn returns what this router may send to a target in a period; l.mu must be held.
func (l *Limits) selectionIn(target string, t *limit, number int64) selection {
	if t.selection.valid && t.selection.number == number {
		return t.selection
	}
	rate := func(number int64) float64 {
		return l.options.Sharing.rate(t.value, target, number, l.options.Router, l.names)
	}
	s := selection{valid: true, number: number, rate: rate(number), next: number + 1}
	for s.rate == 0 && s.next < number+searchedPeriods && rate(s.next) == 0 {
		s.next++
	}
	t.selection = s
	return s
}

// earn adds to a limit's saved requests what this router may send since the last call; l.mu must be held.
func (l *Limits) earn(target string, t *limit, now time.Time) selection {
	s := l.selectionIn(target, t, periodNumber(l.options.Clock(), l.options.Sharing.period(t.value)))
	if l.registeredAt.IsZero() || now.Sub(l.registeredAt) < l.options.SettleTime {
		s.rate = 0
		s.next = s.number
	}
	// What was saved in a period is not used in another one, unless all routers use the limit in both.
	continues := s.number == t.usedPeriod || l.options.Sharing.senders(t.value, len(l.names)) == len(l.names)
	if s.rate == 0 || !continues || t.savedAt.IsZero() {
		t.saved = 0
		t.savedAt = now
	}
	t.usedPeriod = s.number
	t.saved = min(t.saved+s.rate*now.Sub(t.savedAt).Seconds(), max(minSaved, s.rate*savedTime.Seconds()))
	t.savedAt = now
	return s
}

// periodNumber returns the number of the period that a time is in, by the time of day.
func periodNumber(at time.Time, period time.Duration) int64 { return at.UnixNano() / int64(period) }

// Wait returns how long this router has to wait until it may send the next request to a target, and whether
// the target has a limit. In a period in which this router does not use the limit, it is an estimate.
func (l *Limits) Wait(target string) (wait time.Duration, limited bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Timer.Now()
	for _, t := range []*limit{l.limits[target], l.coldLimit(target, now)} {
		if t != nil {
			wait, limited = max(wait, l.waitFor(target, t, now)), true
		}
	}
	return wait, limited
}

// waitFor returns how long this router has to wait by one limit of a target, or 0 if it may send a request now; l.mu must be
// held. The wait for a cold target ends with its limit.
func (l *Limits) waitFor(target string, t *limit, now time.Time) time.Duration {
	wait := l.waitIn(target, t, now)
	if !t.endsAt.IsZero() {
		wait = min(wait, t.endsAt.Sub(now))
	}
	return max(wait, 0)
}

// waitIn is waitFor for a limit without an end; l.mu must be held.
func (l *Limits) waitIn(target string, t *limit, now time.Time) time.Duration {
	s := l.earn(target, t, now)
	if s.rate > 0 {
		return duration((1 - t.saved) / s.rate)
	}
	begin := time.Duration(s.next*int64(l.options.Sharing.period(t.value)) - l.options.Clock().UnixNano())
	senders := l.options.Sharing.senders(t.value, max(len(l.names), 1))
	return max(begin, 0) + duration(float64(senders)/l.options.Sharing.usable(t.value))
}

// duration returns a number of seconds as a duration, at most maxPeriod: those of limits of almost 0 are out of
// range.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxPeriod.Seconds()) * float64(time.Second))
}

// Take counts a request that is sent to a target now.
func (l *Limits) Take(target string) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range []*limit{l.limits[target], l.coldLimit(target, l.options.Timer.Now())} {
		if t != nil {
			t.saved--
		}
	}
}

// Count returns the number of targets that name a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}

// Entry is one limit as the operations port shows it.
type Entry struct {
	Target string `json:"target"`
	// Limit is in requests a second of all routers together, Rate what this router may send of it now.
	Limit float64 `json:"limit"`
	Rate  float64 `json:"rate"`
	// Cold is true for the limit of a target that is cold.
	Cold bool `json:"cold"`
}

// Dump is the state of Limits as the operations port shows it.
type Dump struct {
	Entries []Entry `json:"targets"`
	// Routers are the members that share the limits, Registered whether this router is one.
	Routers    []string `json:"routers"`
	Registered bool     `json:"registered"`
}

// Dump returns the limits and the members.
func (l *Limits) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{Entries: []Entry{}, Routers: l.names, Registered: !l.registeredAt.IsZero()}
	now := l.options.Timer.Now()
	for target, t := range l.limits {
		d.Entries = append(d.Entries, Entry{Target: target, Limit: t.value, Rate: l.earn(target, t, now).rate})
	}
	for target, t := range l.cold {
		d.Entries = append(d.Entries, Entry{Target: target, Limit: t.value, Rate: l.earn(target, t, now).rate, Cold: true})
	}
	return d
}
