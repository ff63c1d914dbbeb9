package jvgrant

import (
	"slices"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// messageKind is what a message between routers means.
type messageKind string

const (
	// messageTaken has the sender's holdings with tokens that it has just taken; messageSeen acknowledges them.
	messageTaken messageKind = "taken"
	messageSeen  messageKind = "seen"
	// messageAsk asks for all holdings of a router, messageHeld has them.
	messageAsk  messageKind = "ask"
	messageHeld messageKind = "held"
)

// message is what routers send each other on their holdings.
type message struct {
	Router string      `cbor:"router"`
	Kind   messageKind `cbor:"kind"`
	// Era is the log's era as the sender knows it.
	Era  uint64    `cbor:"era"`
	Held []heldRow `cbor:"held,omitempty"`
	// Part is the number of this message, from 0, of Parts that have all rows together.
	Part  int `cbor:"part,omitempty"`
	Parts int `cbor:"parts,omitempty"`
}

// heldRow is a router's holding of a workspace's budget.
type heldRow struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Granted   int64
	Returned  int64
}

const (
	// maxHeldRows rows with names of maxNameBytes fit into a packet.
	maxHeldRows  = 16
	maxNameBytes = 256
	// maxParts limits what is kept of a router's answer: a million budgets.
	maxParts = 1 << 16
)

func newHeldRow(workspace string, h Holding) heldRow {
	return heldRow{Workspace: workspace, Granted: h.Granted, Returned: h.Returned}
}

func (r heldRow) holding() Holding { return Holding{Granted: r.Granted, Returned: r.Returned} }

// parts returns the encoded messages that have the rows.
func (m message) parts() (list [][]byte) {
	rows := m.Held
	m.Parts = max(1, (len(rows)+maxHeldRows-1)/maxHeldRows)
	for m.Part = range m.Parts {
		m.Held = rows[m.Part*maxHeldRows : min(len(rows), (m.Part+1)*maxHeldRows)]
		list = append(list, jvcodec.Encode(m))
	}
	return list
}

func decodeGrantMessage(data []byte) (message, error) {
	const op = "decode message"
	m, err := jvcodec.Decode[message](data)
	if err != nil {
		return m, jvfault.New(op, KindMalformed, err)
	}
	invalid := slices.ContainsFunc(m.Held, func(r heldRow) bool {
		return r.Workspace == "" || len(r.Workspace) > maxNameBytes || r.Returned < 0 || r.Granted < r.Returned
	})
	if m.Router == "" || len(m.Router) > maxNameBytes || len(m.Held) > maxHeldRows || invalid || m.Part < 0 || m.Part >= m.Parts || m.Parts > maxParts {
		return m, jvfault.Newf(op, KindMalformed, "kind %.20q with %d rows, part %d of %d", m.Kind, len(m.Held), m.Part, m.Parts)
	}
	return m, nil
}

// Receive handles a message of another router; reply sends one back to it. It returns an error if the message can't be
// decoded.
func (a *Allocator) Receive(data []byte, reply func([]byte)) error {
	m, err := decodeGrantMessage(data)
	if err != nil {
		return err
	}
	for _, r := range a.receive(m) {
		reply(r)
	}
	return nil
}

// receive handles a message and returns the replies.
func (a *Allocator) receive(m message) [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.restored || m.Router == a.options.Router {
		return nil
	}
	a.noticeEra(m.Era)
	answer := message{Router: a.options.Router, Kind: messageSeen, Era: a.era}
	if m.Era != a.era {
		return answer.parts() // Without rows: it shows the era.
	}
	switch m.Kind {
	case messageTaken:
		for _, row := range m.Held {
			a.learnHolding(m.Router, row)
		}
		answer.Held = m.Held
		return answer.parts()
	case messageSeen:
		for _, row := range m.Held {
			a.addWitness(row.Workspace, m.Router, func(t *taking) bool { return row.Granted >= t.holding.Granted })
		}
	case messageAsk:
		answer.Kind = messageHeld
		for _, w := range a.budgets() {
			if h := a.ownHolding(w); h != (Holding{}) {
				answer.Held = append(answer.Held, newHeldRow(w, h))
			}
		}
		return answer.parts()
	case messageHeld:
		a.hearHoldings(m)
	}
	return nil
}

// learnHolding raises what is known of another router's holding. During a renewal the log may lack it; a.mu must be held.
func (a *Allocator) learnHolding(router string, row heldRow) {
	known, _ := a.fleet.Holding(row.Workspace, router)
	a.fleet.RaiseHolding(row.Workspace, router, row.holding())
	h, _ := a.fleet.Holding(row.Workspace, router)
	if r := a.renewal; r != nil && !r.over && h != known {
		number := a.partitionOf(row.Workspace)
		a.partitions[number].lack(h.Encode(router, row.Workspace))
		delete(r.partitions, number)
	}
}

// hearHoldings applies a part of what an awaited router holds; a.mu must be held.
func (a *Allocator) hearHoldings(m message) {
	r := a.renewal
	if r == nil || r.over {
		return
	}
	awaited, ok := r.awaited[m.Router]
	if !ok {
		return
	}
	for _, row := range m.Held {
		a.learnHolding(m.Router, row)
	}
	if awaited.parts == nil {
		awaited.parts = map[int]bool{}
		r.awaited[m.Router] = awaited
	}
	awaited.parts[m.Part] = true
	if len(awaited.parts) >= m.Parts {
		delete(r.awaited, m.Router)
		r.apart[m.Router] = true
		a.options.Logger.Info("holdings heard", "router", m.Router, "era", a.era, "parts", m.Parts)
	}
}

// askSilent asks the routers for their holdings that have not published a statement since the log was set back: they may
// reach this router though not the store.
func (a *Allocator) askSilent() {
	a.mu.Lock()
	r := a.renewal
	if r == nil || r.over || a.options.Others == nil {
		a.mu.Unlock()
		return
	}
	var silent []string
	for router := range r.awaited {
		silent = append(silent, router)
	}
	data := message{Router: a.options.Router, Kind: messageAsk, Era: a.era}.parts()
	others := a.options.Others()
	a.mu.Unlock()
	for _, m := range others {
		if slices.Contains(silent, m.Name) {
			a.options.Send(m, data[0])
			a.options.Post(m, data[0])
		}
	}
}
