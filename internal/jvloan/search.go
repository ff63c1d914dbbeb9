package jvloan

import (
	"context"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvgrant"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// search is one request's way through the holders. A holder that has not responded in time may still grant the
// request while the next ones are asked: on a crowded link, all of them respond late.
type search struct {
	loans      *Loans
	workspace  string
	tokens     int64
	candidates []jvmember.Member
	responses  chan message
	// open are the reservations without a response.
	open map[uint64]asked
	// counted is true once a holder has counted the request as demand.
	counted bool
	// waitable are the holders that may get more tokens, refusals the reasons of all.
	waitable []jvmember.Member
	refusals []string
}

// asked is a holder that was asked, and the message to it.
type asked struct {
	holder jvmember.Member
	data   []byte
}

func newSearch(l *Loans, workspace string, tokens int64, candidates []jvmember.Member) *search {
	return &search{
		loans: l, workspace: workspace, tokens: tokens, candidates: candidates,
		responses: make(chan message, 2*len(candidates)+1), // Each is asked twice at most, again if suspected meanwhile, and one to wait.
		open:      map[uint64]asked{},
	}
}

// run returns the first reservation that a holder grants, until ctx ends.
func (s *search) run(ctx context.Context) (jvescrow.Reservation, error) {
	defer s.abandon()
	for _, suspected := range []bool{false, true} { // Holders that did not respond lately come last.
		for _, h := range s.candidates {
			if s.loans.borrower.suspected(h.Name) != suspected || (suspected && len(s.waitable) > 0) {
				continue
			}
			if r, done, err := s.try(ctx, h, suspected); done {
				return r, err
			}
		}
	}
	if r, done, err := s.wait(ctx); done {
		return r, err
	}
	for _, a := range s.open {
		s.refusals = append(s.refusals, a.holder.Name+": no response")
	}
	return jvescrow.Reservation{}, jvfault.Newf("reserve", jvgrant.KindShort, "%d tokens needed, %d holders: %s",
		s.tokens, len(s.candidates), strings.Join(s.refusals, "; "))
}

// try asks a holder that is not to wait, also by a connection if it is suspected. done is true if no other holder needs to
// be asked.
func (s *search) try(ctx context.Context, h jvmember.Member, suspected bool) (r jvescrow.Reservation, done bool, err error) {
	counted := !s.counted
	s.counted = true
	if h.Name == s.loans.options.Self().Name {
		r, err = s.loans.options.Allocator.Try(s.workspace, s.tokens, counted)
		return s.result(h, r, err)
	}
	number := s.ask(h, 0, counted)
	if suspected {
		s.loans.options.Post(h, s.open[number].data)
	}
	limit := s.loans.options.ResponseTime
	for range 2 { // The message is sent once more in case that it is lost.
		if r, done, err = s.collect(ctx, number, limit/2); done {
			return r, done, err
		}
		if _, open := s.open[number]; !open || ctx.Err() != nil {
			return r, false, nil
		}
		s.resend()
	}
	s.loans.borrower.suspect(h)
	return r, false, nil
}

// wait lets the first holder that may get more tokens wait for them, and waits for all that have not responded.
func (s *search) wait(ctx context.Context) (r jvescrow.Reservation, done bool, err error) {
	deadline, ok := ctx.Deadline()
	limit := deadline.Sub(s.loans.options.Timer.Now())
	if !ok || limit <= 0 {
		return r, false, nil
	}
	if len(s.waitable) > 0 {
		h := s.waitable[0]
		if h.Name == s.loans.options.Self().Name {
			r, err = s.loans.options.Allocator.Await(ctx, s.workspace, s.tokens)
			return s.result(h, r, err)
		}
		number := s.ask(h, limit, false)
		if s.loans.borrower.suspected(h.Name) {
			s.loans.options.Post(h, s.open[number].data)
		}
	}
	for len(s.open) > 0 && ctx.Err() == nil {
		if r, done, err = s.collect(ctx, 0, waitResend); done {
			return r, done, err
		}
		s.resend()
		for _, a := range s.open {
			s.loans.options.Post(a.holder, a.data)
		}
	}
	return r, false, nil
}

// ask sends a holder the request, with the time that it may wait, and returns the number of the reservation.
func (s *search) ask(h jvmember.Member, wait time.Duration, counted bool) uint64 {
	m := s.loans.borrower.open(func(m message) { s.responses <- m }, s.workspace, s.tokens, wait, counted)
	a := asked{holder: h, data: m.encode()}
	s.open[m.Number] = a
	s.loans.options.Send(h, a.data)
	return m.Number
}

// resend sends all requests without a response again.
func (s *search) resend() {
	for _, a := range s.open {
		s.loans.options.Send(a.holder, a.data)
	}
}

// collect handles responses until that of a reservation arrives, or all have arrived, for a time at most. done is true
// if no other holder needs to be asked.
func (s *search) collect(ctx context.Context, number uint64, limit time.Duration) (r jvescrow.Reservation, done bool, err error) {
	timeout := s.loans.options.Timer.After(limit)
	for len(s.open) > 0 {
		select {
		case m := <-s.responses:
			a := s.open[m.Number]
			delete(s.open, m.Number)
			if m.Refusal == "" {
				s.loans.borrower.hold(m.Number, a.holder)
				return jvescrow.Reservation{Profile: s.workspace, Tokens: s.tokens, Loan: m.Number}, true, nil
			}
			r, done, err = s.result(a.holder, r, jvfault.Newf("reserve", jvgrant.Kind(m.Refusal), "%s: %s", a.holder.Name, m.Reason))
			if done || m.Number == number {
				return r, done, err
			}
		case <-timeout: // An advance may have been granted meanwhile.
			r, done = s.loans.draw(s.workspace, s.tokens)
			return r, done, nil
		case <-ctx.Done():
			return r, false, nil
		}
	}
	return r, false, nil
}

// result notes the response of a holder.
func (s *search) result(h jvmember.Member, r jvescrow.Reservation, err error) (jvescrow.Reservation, bool, error) {
	if err == nil {
		return r, true, nil
	}
	s.loans.advances.scarce(s.loans.options.Timer.Now(), s.workspace)
	switch jvfault.KindOf[jvgrant.Kind](err) {
	case jvgrant.KindSpent, jvgrant.KindEmpty: // The whole budget is used up.
		return r, true, err
	case jvgrant.KindWait:
		s.waitable = append(s.waitable, h)
	}
	s.refusals = append(s.refusals, err.Error())
	return r, false, err
}

// abandon gives up the reservations without a response.
func (s *search) abandon() {
	for number, a := range s.open {
		s.loans.borrower.abandon(number, a.holder)
	}
}
