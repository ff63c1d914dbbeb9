package jvloan

import (
	"sync"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// advanceMessages sends what advances decide to holders, as messages of ordinary reservations.
type advanceMessages struct {
	loans *Loans

	mu   sync.Mutex
	open map[uint64]asked
}

// request asks the workspace's first holder in the zone.
func (p *advanceMessages) request(workspace string, tokens int64) (uint64, bool) {
	holder, ok := p.holder(workspace)
	if !ok {
		return 0, false
	}
	b := p.loans.borrower
	// The requests themselves count as demand. A refused advance must not.
	m := b.open(func(response message) { p.receive(response, holder) }, workspace, tokens, 0, false)
	a := asked{holder: holder, data: m.encode()}
	p.mu.Lock()
	p.open[m.Number] = a
	p.mu.Unlock()
	p.loans.options.Send(holder, a.data)
	return m.Number, true
}

// holder returns the first holder in the zone that is not suspected, or the first one: on a saturated link all of them are
// suspected, and advances are needed most. Holders of other zones are not asked, and a holder needs no advance.
func (p *advanceMessages) holder(workspace string) (h jvmember.Member, ok bool) {
	role, layout := p.loans.state()
	if role != RoleBorrower {
		return h, false
	}
	candidates, near := layout.Candidates(p.loans.options.Self().Zone, workspace)
	for _, h := range candidates[:near] {
		if !p.loans.borrower.suspected(h.Name) {
			return h, true
		}
	}
	if near == 0 {
		return h, false
	}
	return candidates[0], true
}

// receive handles the response to a request.
func (p *advanceMessages) receive(m message, holder jvmember.Member) {
	p.take(m.Number)
	now := p.loans.options.Timer.Now()
	if m.Refusal != "" {
		p.loans.advances.refused(now, m.Number)
		return
	}
	p.loans.borrower.hold(m.Number, holder)
	if !p.loans.advances.granted(now, m.Number) { // It was given up meanwhile, and has not been used.
		p.loans.borrower.settle(m.Number, 0)
	}
}

// take removes a request from the open ones.
func (p *advanceMessages) take(number uint64) (asked, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.open[number]
	delete(p.open, number)
	return a, ok
}

func (p *advanceMessages) repeat(number uint64) {
	p.mu.Lock()
	a, ok := p.open[number]
	p.mu.Unlock()
	if ok {
		p.loans.options.Send(a.holder, a.data)
	}
}

func (p *advanceMessages) abandon(number uint64) {
	if a, ok := p.take(number); ok {
		p.loans.borrower.abandon(number, a.holder)
	}
}

func (p *advanceMessages) settle(number uint64, used int64) { p.loans.borrower.settle(number, used) }
