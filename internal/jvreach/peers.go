package jvreach

import (
	"cmp"
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// knownCut reports whether a router has said lately that it reaches no target.
func (m *Monitor) knownCut(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	return p.cut && m.options.Timer.Since(p.heardAt) < statusAge
}

// Sharers returns this router's index among the routers that reach targets, in order of name, and their number.
// Routers that are cut off say so at once, and again each statusInterval.
func (m *Monitor) Sharers() (index, n int) {
	others := m.options.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Timer.Now()
	n = 1
	for _, other := range others {
		if p := m.peers[other.Name]; p.cut && now.Sub(p.heardAt) < statusAge {
			continue
		}
		n++
		if other.Name < m.options.Self.Name {
			index++
		}
	}
	return index, n
}

// SelectPeer returns a router for a request of this one, and false if there is none: of two random ones that reach
// targets, the one with more room. DonePeer must be called at the request's end.
func (m *Monitor) SelectPeer(avoid []string) (jvmember.Member, bool) {
	others := m.options.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Timer.Now()
	var known, unheard []jvmember.Member
	for _, other := range others {
		p := m.peers[other.Name]
		heard := now.Sub(p.heardAt) < statusAge
		switch {
		case slices.Contains(avoid, other.Name) || now.Before(p.pausedUntil) || heard && (p.cut || p.room <= p.active):
		case heard:
			known = append(known, other)
		default:
			unheard = append(unheard, other)
		}
	}
	if len(known) == 0 { // At the beginning of a cut no router has said yet how it is.
		known = unheard
	}
	if len(known) == 0 {
		return jvmember.Member{}, false
	}
	first, second := m.randomOf(known), m.randomOf(known)
	if p, q := m.peers[first.Name], m.peers[second.Name]; q.room-q.active > p.room-p.active {
		first = second
	}
	p := m.peers[first.Name]
	p.active++
	m.peers[first.Name] = p
	return first, true
}

// randomOf returns a random member; m.mu must be held.
func (m *Monitor) randomOf(list []jvmember.Member) jvmember.Member {
	return list[min(int(m.options.Random()*float64(len(list))), len(list)-1)]
}

// DonePeer ends the use of a router for a request; failed pauses it.
func (m *Monitor) DonePeer(name string, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	p.active--
	if failed {
		p.pausedUntil = m.options.Timer.Now().Add(peerPause)
	}
	m.peers[name] = p
}

// View is another router as the operations port shows it.
type View struct {
	Router string `json:"router"`
	// Cut is true if the router has said that it reaches no target, Room the number of requests that it
	// takes, Active that of those that go through it.
	Cut    bool  `json:"cut"`
	Room   int64 `json:"room"`
	Active int64 `json:"active"`
}

// Dump is the state of a Monitor as the operations port shows it.
type Dump struct {
	Cut         bool     `json:"cut"`
	Unreachable []string `json:"unreachable"`
	Peers       []View   `json:"peers"`
}

// Dump returns the monitor's state.
func (m *Monitor) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Dump{Cut: m.cut, Unreachable: []string{}, Peers: []View{}}
	for name := range m.unreachable {
		d.Unreachable = append(d.Unreachable, name)
	}
	slices.Sort(d.Unreachable)
	for name, p := range m.peers {
		d.Peers = append(d.Peers, View{Router: name, Cut: p.cut, Room: p.room, Active: p.active})
	}
	slices.SortFunc(d.Peers, func(a, b View) int { return cmp.Compare(a.Router, b.Router) })
	return d
}
