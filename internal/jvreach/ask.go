package jvreach

import (
	"context"
	"maps"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// result is what other routers answered.
type result struct {
	// answers is the number of routers that answered and are not cut off themselves.
	answers int
	// reached are the targets that any of them reached, answered those of them that sent it bytes, and mute those that
	// accepted its connection and sent none, muteThere those among them of routers that other targets answered.
	reached   map[string]bool
	answered  map[string]bool
	mute      map[string]bool
	muteThere map[string]bool
	// sound are the routers that targets answered.
	sound []jvmember.Member
	// routers are some of those to which targets have responded lately, responded are some of these targets.
	routers   []jvmember.Member
	responded map[string]bool
}

func newResult() result {
	return result{reached: map[string]bool{}, answered: map[string]bool{}, mute: map[string]bool{}, muteThere: map[string]bool{}, responded: map[string]bool{}}
}

// with returns all that two results say.
func (r result) with(other result) result {
	all := newResult()
	for _, part := range []result{r, other} {
		all.answers += part.answers
		all.routers = append(all.routers, part.routers...)
		all.sound = append(all.sound, part.sound...)
		maps.Copy(all.reached, part.reached)
		maps.Copy(all.answered, part.answered)
		maps.Copy(all.mute, part.mute)
		maps.Copy(all.muteThere, part.muteThere)
		maps.Copy(all.responded, part.responded)
	}
	return all
}

// record records the answer of one of the routers that were asked.
func (r *result) record(a answer, asked []jvmember.Member) {
	r.answers++
	for _, name := range a.Reached {
		r.reached[name] = true
		if a.Exchanged {
			r.answered[name] = true
		}
	}
	for _, name := range a.Mute {
		r.mute[name] = true
		if len(a.Reached) > 0 {
			r.muteThere[name] = true
		}
	}
	i := slices.IndexFunc(asked, func(other jvmember.Member) bool { return other.Name == a.From })
	if i >= 0 && a.Exchanged && len(a.Reached) > 0 {
		r.sound = append(r.sound, asked[i])
	}
}

// mostAnswered reports whether targets answered other routers, and most of those that accepted their connections. The
// connections of a router that no target answered may have been accepted on the way.
func (r result) mostAnswered() bool {
	mute := 0
	for name := range r.muteThere {
		if !r.answered[name] {
			mute++
		}
	}
	return len(r.answered) > 0 && len(r.answered) >= mute
}

// ask lets some other routers connect to targets, and returns once one of them has reached all of them, all have
// answered, or it takes too long.
func (m *Monitor) ask(targets []Target) result {
	others := m.options.Others()
	asked := make([]jvmember.Member, 0, askedRouters)
	for _, i := range m.randomOrder(len(others)) {
		if len(asked) < askedRouters && !m.knownCut(others[i].Name) {
			asked = append(asked, others[i])
		}
	}
	return m.askRouters(asked, targets)
}

// askRouters is ask for certain routers. If there are too many targets for a question, it asks about some of them.
func (m *Monitor) askRouters(asked []jvmember.Member, targets []Target) result {
	r := newResult()
	if len(asked) == 0 {
		return r
	}
	targets = m.sampleOf(slices.Clone(targets), maxProbed)
	names := make([]string, len(targets))
	for n, t := range targets {
		names[n] = t.Name
	}
	answers, number, forget := m.newQuestion(len(asked))
	defer forget()
	data := jvcodec.Encode(message{Question: &question{Number: number, Targets: names, From: m.options.Self.Name}})
	for _, other := range asked {
		m.options.Send(other, data)
	}
	timeout := m.options.Timer.After(answerTimeout)
	for range asked {
		select {
		case a := <-answers:
			if a.Cut {
				continue
			}
			r.record(a, asked)
			if len(r.reached) >= len(targets) {
				return r
			}
		case <-timeout:
			return r
		}
	}
	return r
}

// newQuestion returns the channel for the answers to a new question, and its number. forget ends the question.
func (m *Monitor) newQuestion(routers int) (answers chan answer, number uint64, forget func()) {
	answers = make(chan answer, routers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastNumber++
	number = m.lastNumber
	m.questions[number] = answers
	return answers, number, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.questions, number)
	}
}

// askContacts asks all other routers which targets have responded to them in the last contactTime, during which none
// has accepted a connection of this one. It asks nobody if ctx ends meanwhile.
func (m *Monitor) askContacts(ctx context.Context) result {
	r := newResult()
	select {
	case <-ctx.Done():
		return r
	case <-m.options.Timer.After(contactTime):
	}
	others := m.options.Others()
	answers, number, forget := m.newQuestion(len(others))
	defer forget()
	data := jvcodec.Encode(message{Question: &question{Number: number, Contact: contactTime, From: m.options.Self.Name}})
	for _, other := range others {
		m.options.Send(other, data)
	}
	timeout := m.options.Timer.After(contactWait)
	for range others {
		select {
		case a := <-answers:
			if !a.Cut {
				r.answers++
			}
			if !a.Contact {
				continue
			}
			i := slices.IndexFunc(others, func(other jvmember.Member) bool { return other.Name == a.From })
			if i < 0 {
				continue
			}
			r.routers = append(r.routers, others[i])
			for _, name := range a.Responded {
				r.responded[name] = true
			}
			if len(r.routers) == askedRouters {
				return r
			}
		case <-timeout:
			return r
		}
	}
	return r
}

// randomOrder returns the numbers below n in a random order.
func (m *Monitor) randomOrder(n int) []int {
	order := make([]int, n)
	for i := range order {
		j := min(int(m.options.Random()*float64(i+1)), i)
		order[i] = order[j]
		order[j] = i
	}
	return order
}
