package jvloan

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// borrower makes reservations at other routers.
type borrower struct {
	options Options
	process uint64

	mu   sync.Mutex
	last uint64
	// waiting are the reservations whose response has not arrived, with what receives it.
	waiting map[uint64]func(message)
	// holders are the holders of the open reservations.
	holders map[uint64]jvmember.Member
	// settling are the reservations whose end has not been confirmed.
	settling map[uint64]*settling
	// suspects are holders that did not respond, with the time until which they are passed over.
	suspects map[string]time.Time
}

// settling is a settle that is sent until it is confirmed.
type settling struct {
	to    jvmember.Member
	used  int64
	sends int
	next  time.Time
}

const (
	// settleInterval is the pause after the first settle of a reservation; it doubles with each one, up to
	// maxSettleInterval. After maxSettles without a response the holder is gone, and counts the worst case.
	settleInterval    = 50 * time.Millisecond
	maxSettleInterval = 2 * time.Second
	maxSettles        = 16
	// settlesByPacket is the number of settles after which the next ones are also sent by a connection.
	settlesByPacket = 2
	// waitResend is the interval at which reserves without a response are sent again while a request waits.
	waitResend = 100 * time.Millisecond
)

// processRange is the range of the random number of a process.
const processRange = 1 << 53

func newBorrower(o Options) *borrower {
	return &borrower{
		options: o, process: uint64(o.Random() * processRange),
		waiting: map[uint64]func(message){}, holders: map[uint64]jvmember.Member{}, settling: map[uint64]*settling{}, suspects: map[string]time.Time{},
	}
}

// open registers a new reservation at a holder, whose response goes to receive once at most, and returns the message that
// asks for it.
func (b *borrower) open(receive func(message), workspace string, tokens int64, wait time.Duration, counted bool) message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.waiting[b.last] = receive
	return message{
		Operation: operationReserve, Router: b.options.Self().Name, Process: b.process, Number: b.last,
		Workspace: workspace, Tokens: tokens, WaitMillis: min(wait.Milliseconds(), maxWaitMillis), Counted: counted,
	}
}

// hold notes at which holder a reservation is granted.
func (b *borrower) hold(number uint64, holder jvmember.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[number] = holder
}

// abandon gives up a reservation that may be granted.
func (b *borrower) abandon(number uint64, to jvmember.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, number)
	b.sendSettle(number, &settling{to: to})
}

// settle ends a reservation with the tokens that were used.
func (b *borrower) settle(number uint64, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	to, ok := b.holders[number]
	if !ok {
		return
	}
	delete(b.holders, number)
	b.sendSettle(number, &settling{to: to, used: used})
}

// sendSettle sends a settle, now and until it is confirmed; b.mu must be held.
func (b *borrower) sendSettle(number uint64, s *settling) {
	b.settling[number] = s
	s.next = b.options.Timer.Now().Add(min(settleInterval<<s.sends, maxSettleInterval))
	s.sends++
	data := message{Operation: operationSettle, Router: b.options.Self().Name, Process: b.process, Number: number, Tokens: s.used}.encode()
	b.options.Send(s.to, data)
	if s.sends > settlesByPacket {
		b.options.Post(s.to, data)
	}
}

// resend sends again what has not been confirmed.
func (b *borrower) resend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Timer.Now()
	for _, number := range slices.Sorted(maps.Keys(b.settling)) {
		switch s := b.settling[number]; {
		case now.Before(s.next):
		case s.sends == maxSettles:
			delete(b.settling, number)
			b.options.Logger.Info("reservation not settled", "holder", s.to.Name, "number", number, "used", s.used)
		default:
			b.sendSettle(number, s)
		}
	}
}

// receive handles a response of a holder.
func (b *borrower) receive(m message) {
	if m.Process != b.process || m.Router != b.options.Self().Name {
		return // It is for an earlier process of this router.
	}
	if receive := b.answered(m); receive != nil {
		receive(m) // Without the lock: it may settle.
	}
}

// answered removes what a response ends, and returns what receives the response, or nil.
func (b *borrower) answered(m message) func(message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Operation == operationSettled {
		delete(b.settling, m.Number)
		return nil
	}
	receive := b.waiting[m.Number]
	delete(b.waiting, m.Number)
	return receive
}

// suspect notes that a holder did not respond.
func (b *borrower) suspect(holder jvmember.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[holder.Name] = b.options.Timer.Now().Add(b.options.SuspectTime)
}

// suspected reports whether a holder did not respond lately.
func (b *borrower) suspected(holder string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.options.Timer.Now().Before(b.suspects[holder])
}

// unsettled returns the number of reservations whose end is not confirmed.
func (b *borrower) unsettled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.settling)
}
