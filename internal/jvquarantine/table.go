package jvquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is what is known about a request, or a part of prompts, that was running in crashes.
type suspect struct {
	subject
	// reports are the crashes by the key of their record.
	reports map[string]Crash
	// ordered are the reports in order of their end.
	ordered []Crash
	// crashes are the distinct crashes in order of their end.
	crashes []Crash
	// successive is the number of crashes that followed one another. Many targets that end at the same time
	// count once.
	successive int
	// weight is the sum of the crashes' weights.
	weight int
	// accused is true if the crashes reach the limit, wherever they are attributed.
	accused bool
	// lastCrash is the end of the latest crash.
	lastCrash time.Time
	// trials are when copies were admitted after the quarantine, by the key of their record.
	trials map[string]time.Time
	// claiming is true while this router claims a trial.
	claiming bool
}

// update derives the distinct crashes from the reports. Of several reports on one crash, one that shows
// progress decides the weight.
func (s *suspect) update() {
	s.ordered = make([]Crash, 0, len(s.reports))
	for _, c := range s.reports {
		s.ordered = append(s.ordered, c)
	}
	slices.SortFunc(s.ordered, func(a, b Crash) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), a.SentAt.Compare(b.SentAt), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis),
			slices.Compare(a.request[:], b.request[:]))
	})
	s.crashes = nil
	s.weight = 0
	s.lastCrash = time.Time{}
	for _, c := range s.ordered {
		if c.at.After(s.lastCrash) {
			s.lastCrash = c.at
		}
		if n := slices.IndexFunc(s.crashes, c.same); n >= 0 {
			s.crashes[n].Progress = s.crashes[n].Progress || c.Progress
			continue
		}
		s.crashes = append(s.crashes, c)
	}
	for _, c := range s.crashes {
		s.weight += c.weight()
	}
	s.successive = len(succession(s.ordered, false))
	s.accused = s.atLimit(s.crashes, s.ordered)
}

// atLimit reports whether crashes, and the reports on them, are enough for a quarantine.
func (s *suspect) atLimit(crashes, reports []Crash) bool {
	if s.part {
		return blamePart(crashes, reports)
	}
	weight := 0
	for _, c := range crashes {
		weight += c.weight()
	}
	return weight >= limitWeight
}

// outweighs reports whether a crash in which both were running is attributed to s rather than to other.
func (s *suspect) outweighs(other *suspect) bool {
	switch {
	case s.part:
		return s.successive > other.successive || s.successive == other.successive && len(s.crashes) > len(other.crashes)
	case other.part:
		return s.successive >= other.successive // Else the part was in crashes without the request.
	}
	return s.weight > other.weight
}

// wasIn reports whether the suspect was running in a crash.
func (s *suspect) wasIn(c Crash) bool { return slices.ContainsFunc(s.crashes, c.same) }

// lastTrial returns when a copy was last admitted after the quarantine, or the zero time.
func (s *suspect) lastTrial() (last time.Time) {
	for _, at := range s.trials {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// table holds the suspects. It is not safe for concurrent use.
type table struct {
	options  Options
	suspects map[Digest]*suspect
	// accused are the suspects whose crashes reach the limit.
	accused map[Digest]*suspect
	// digests are the suspects by the keys of their records.
	digests map[string]Digest
}

func newTable(o Options) *table {
	return &table{options: o, suspects: map[Digest]*suspect{}, accused: map[Digest]*suspect{}, digests: map[string]Digest{}}
}

// suspect returns a suspect, which it adds if it is unknown.
func (t *table) suspect(of subject) *suspect {
	s := t.suspects[of.digest]
	if s == nil {
		if len(t.suspects) >= t.options.MaxSuspects {
			t.evict()
		}
		s = &suspect{subject: of, reports: map[string]Crash{}, trials: map[string]time.Time{}}
		t.suspects[of.digest] = s
	}
	return s
}

// add adds or replaces a report.
func (t *table) add(key string, of subject, c Crash) {
	s := t.suspect(of)
	s.reports[key] = c
	t.digests[key] = of.digest
	t.update(s)
}

// wouldAccuse reports whether further crashes of a subject, by the keys of their records, are enough for a
// quarantine.
func (t *table) wouldAccuse(of subject, further map[string]Crash) bool {
	next := &suspect{subject: of, reports: maps.Clone(further)}
	if s := t.suspects[of.digest]; s != nil {
		maps.Copy(next.reports, s.reports)
	}
	next.update()
	return next.accused
}

// addTrial adds a trial.
func (t *table) addTrial(key string, of subject, at time.Time) {
	t.suspect(of).trials[key] = at
	t.digests[key] = of.digest
}

func (t *table) update(s *suspect) {
	s.update()
	if s.accused {
		t.accused[s.digest] = s
	} else {
		delete(t.accused, s.digest)
	}
}

// remove removes a report or a trial, if it is known. A suspect without reports is forgotten.
func (t *table) remove(key string) {
	d, ok := t.digests[key]
	if !ok {
		return
	}
	s := t.suspects[d]
	delete(t.digests, key)
	delete(s.trials, key)
	if _, ok := s.reports[key]; !ok {
		return
	}
	delete(s.reports, key)
	if len(s.reports) == 0 {
		t.forget(d)
		return
	}
	t.update(s)
}

// forget removes a suspect with all its records.
func (t *table) forget(d Digest) {
	for _, key := range t.suspects[d].keys() {
		delete(t.digests, key)
	}
	delete(t.suspects, d)
	delete(t.accused, d)
}

// keys returns the keys of all records on a suspect.
func (s *suspect) keys() []string {
	keys := make([]string, 0, len(s.reports)+len(s.trials))
	for key := range s.reports {
		keys = append(keys, key)
	}
	for key := range s.trials {
		keys = append(keys, key)
	}
	return keys
}

// evict removes the suspect whose last crash is the oldest, of those that are not accused if there are any.
func (t *table) evict() {
	var oldest *suspect
	for _, s := range t.suspects {
		switch {
		case oldest == nil, oldest.accused && !s.accused,
			oldest.accused == s.accused && s.lastCrash.Before(oldest.lastCrash):
			oldest = s
		}
	}
	t.forget(oldest.digest)
}

// expired returns the keys of the records on suspects whose last crash is older than their window.
func (t *table) expired(now time.Time) []string {
	var keys []string
	for _, s := range t.suspects {
		window := t.options.Window
		if s.accused {
			window = t.options.QuarantineWindow
		}
		if now.Sub(s.lastCrash) >= window {
			keys = append(keys, s.keys()...)
		}
	}
	return keys
}

// blamed reports whether the crashes that no other suspect accounts for are enough for a quarantine.
func (t *table) blamed(s *suspect) bool {
	if s == nil || !s.accused {
		return false
	}
	attributed := func(c Crash) bool { return t.attributed(c, s) }
	return s.atLimit(slices.DeleteFunc(slices.Clone(s.crashes), attributed), slices.DeleteFunc(slices.Clone(s.ordered), attributed))
}

// attributed reports whether another accused suspect that outweighs s was running in a crash.
func (t *table) attributed(c Crash, s *suspect) bool {
	for _, other := range t.accused {
		if other != s && other.outweighs(s) && other.wasIn(c) {
			return true
		}
	}
	return false
}

// blamedFor returns the suspects for which a request is refused while they are in quarantine.
func (t *table) blamedFor(f Features) []*suspect {
	if len(t.accused) == 0 {
		return nil
	}
	var list []*suspect
	subjects := f.subjects()
	for _, of := range subjects {
		if s := t.suspects[of.digest]; t.blamed(s) && t.hasInseparable(subjects, s) {
			list = append(list, s)
		}
	}
	return list
}

// hasInseparable reports whether a request has all parts that can't be told from a blamed one, since they
// were running in the same crashes.
func (t *table) hasInseparable(subjects []subject, s *suspect) bool {
	for _, other := range t.accused {
		if !s.part || !other.part || other == s || len(other.crashes) != len(s.crashes) {
			continue
		}
		missing := !slices.ContainsFunc(subjects, func(of subject) bool { return of.digest == other.digest })
		if missing && !slices.ContainsFunc(s.crashes, func(c Crash) bool { return !other.wasIn(c) }) {
			return false
		}
	}
	return true
}

// quarantinedUntil returns when the next copy may be tried, or false if the suspect is not blamed. The
// pause grows with each crash of a request and each trial of a part. It differs between suspects, so that
// several that were running in the same crashes are tried again at different times.
func (t *table) quarantinedUntil(s *suspect) (time.Time, bool) {
	if !t.blamed(s) {
		return time.Time{}, false
	}
	if !t.mayTry(s) {
		return s.lastCrash.Add(t.options.QuarantineWindow), true
	}
	pause, doublings := t.options.MinPause, (s.weight-limitWeight)/crashWeight
	if s.part {
		pause, doublings = t.options.MinPartPause, len(s.trials)
	}
	pause += pause * time.Duration(s.digest[0]) / 256
	until := s.lastCrash.Add(min(pause<<min(max(doublings, 0), maxDoublings), t.options.MaxPause))
	if last := s.lastTrial(); !last.IsZero() && last.Add(t.options.TrialInterval).After(until) {
		until = last.Add(t.options.TrialInterval)
	}
	return until, true
}

// mayTry reports whether the fleet may try one more copy. Crashes after the suspect had to be known count like
// trials: they use up the same bound.
func (t *table) mayTry(s *suspect) bool {
	free := t.options.FreeCrashes
	if s.part {
		free = t.options.FreePartCrashes
	}
	late := 0
	if len(s.crashes) > free {
		known := s.crashes[free-1].EndedAt.Add(t.options.KnownWithin)
		for _, c := range s.crashes[free:] {
			if c.EndedAt.After(known) {
				late++
			}
		}
	}
	return max(len(s.trials), late) < t.options.MaxTrials
}

// maxDoublings keeps the shifted pause from overflowing.
const maxDoublings = 20
