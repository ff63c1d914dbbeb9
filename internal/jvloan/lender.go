package jvloan

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
)

// loanKey identifies a reservation of another router.
type loanKey struct {
	router  string
	process uint64
	number  uint64
}

// loan is a reservation for another router. A borrower's messages may arrive more than once and in any order, so a
// loan that has ended or was refused is kept for endedAge: a late copy of its reserve must not make a new one of it, which
// nobody would settle.
type loan struct {
	reservation jvescrow.Reservation
	granted     bool
	ended       bool
	// refusal is the kind of the error if it was refused.
	refusal string
	at      time.Time
}

// endedAge is longer than any message is on its way.
const endedAge = 20 * time.Second

// lender makes reservations for other routers out of what this one holds.
type lender struct {
	options Options

	mu    sync.Mutex
	loans map[loanKey]*loan
	// open is the number of loans that were granted and have not ended.
	open int
}

func newLender(o Options) *lender { return &lender{options: o, loans: map[loanKey]*loan{}} }

// reserve handles a reserve.
func (l *lender) reserve(m message, reply func(message)) {
	key := loanKey{m.Router, m.Process, m.Number}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.loans[key]; old != nil {
		switch { // The response was lost, or the message was doubled.
		case old.granted:
			reply(m.granted())
		case old.refusal != "":
			reply(m.refused(jvfault.Newf("reserve", jvgrant.Kind(old.refusal), "refused before")))
		}
		return
	}
	r, err := l.options.Allocator.Try(m.Workspace, m.Tokens, m.Counted)
	switch {
	case err == nil:
		l.loans[key] = &loan{reservation: r, granted: true, at: l.options.Timer.Now()}
		l.open++
		reply(m.granted())
	case m.WaitMillis == 0 || jvfault.KindOf[jvgrant.Kind](err) != jvgrant.KindWait:
		refused := &loan{}
		l.loans[key] = refused
		l.refuse(refused, m, err, reply)
	default:
		waiting := &loan{at: l.options.Timer.Now()}
		l.loans[key] = waiting
		go l.wait(waiting, m, reply)
	}
}

// wait waits for the tokens of a loan.
func (l *lender) wait(waiting *loan, m message, reply func(message)) {
	ctx, cancel := l.options.Timer.WithTimeout(context.Background(), time.Duration(m.WaitMillis)*time.Millisecond)
	defer cancel()
	r, err := l.options.Allocator.Await(ctx, m.Workspace, m.Tokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && !waiting.ended:
		l.refuse(waiting, m, err, reply)
	case err == nil && waiting.ended: // The borrower has settled it meanwhile: it has not been used.
		l.options.Allocator.Settle(r, 0)
	case err == nil:
		waiting.reservation, waiting.granted, waiting.at = r, true, l.options.Timer.Now()
		l.open++
		reply(m.granted())
	}
}

// refuse ends a loan that was not granted; l.mu must be held.
func (l *lender) refuse(o *loan, m message, err error, reply func(message)) {
	response := m.refused(err)
	o.ended, o.refusal, o.at = true, response.Refusal, l.options.Timer.Now()
	reply(response)
}

// settle handles a settle.
func (l *lender) settle(m message, reply func(message)) {
	key := loanKey{m.Router, m.Process, m.Number}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.loans[key]
	if o == nil {
		o = &loan{}
		l.loans[key] = o
	}
	l.end(o, m.Tokens)
	reply(message{Operation: operationSettled, Router: m.Router, Process: m.Process, Number: m.Number})
}

// end ends a loan of which tokens were used; l.mu must be held.
func (l *lender) end(o *loan, used int64) {
	if o.granted {
		l.options.Allocator.Settle(o.reservation, used)
		l.open--
	}
	if !o.ended {
		o.at = l.options.Timer.Now()
	}
	o.granted, o.ended = false, true
}

// expire ends loans that have not been settled for MaxAge, and forgets those that have ended.
func (l *lender) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, o := range l.loans {
		age := l.options.Timer.Since(o.at)
		switch {
		case o.ended && age > endedAge:
			delete(l.loans, key)
		case o.granted && age > l.options.MaxAge:
			l.end(o, o.reservation.Tokens)
		}
	}
}

// Open returns the number of loans that have not ended.
func (l *lender) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// granted returns the response to a reserve that is granted.
func (m message) granted() message {
	return message{Operation: operationReserved, Router: m.Router, Process: m.Process, Number: m.Number, Tokens: m.Tokens}
}

// refused returns the response to a reserve that is refused.
func (m message) refused(err error) message {
	text := err.Error()
	return message{
		Operation: operationReserved, Router: m.Router, Process: m.Process, Number: m.Number,
		Refusal: string(jvfault.KindOf[jvgrant.Kind](err)), Reason: text[:min(len(text), maxReasonBytes)],
	}
}

// encode returns the bytes of a message.
func (m message) encode() []byte { return jvcodec.Encode(m) }
