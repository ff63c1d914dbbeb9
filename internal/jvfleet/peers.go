package jvfleet

import (
	"context"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// Answer answers one message of a peer.
func (f *Fleet) Answer(ctx context.Context, a jvpeer.Request) jvpeer.Response {
	if vm := vmOf(a.From); vm != "" {
		f.heard(vm, a.From)
	}
	s := f.current()
	answer := jvpeer.Response{From: s.origin}
	switch {
	case a.Ping != nil:
	case a.Mark != nil:
		answer.Mark = &jvpeer.MarkResponse{Acknowledged: f.guard.acknowledge(a.From, a.Mark.Marks)}
		f.guard.keep(a.From, a.Mark.Bills, f.options.Timer.Now())
	case a.Loan != nil:
		answer.Loan = &jvpeer.LoanResponse{Lent: s.lend(a.From, a.Loan.Profile, a.Loan.Tokens, a.Loan.Borrowed)}
	case a.Flight != nil:
		vm := f.homes.claim(a.Flight.Key, a.Flight.VM, a.Flight.Replaces, f.options.Timer.Now())
		answer.Flight = &jvpeer.FlightResponse{VM: vm}
	case a.Read != nil:
		answer.Read = f.readFlight(ctx, a.Read)
	case a.State != nil:
		f.answerState(&answer)
	case a.Crash != nil:
		f.crashes.note(a.Crash.Digest, a.Crash.Target, a.Crash.Attempt)
	default:
		answer.Problem = "a message of no known kind"
	}
	return answer
}

// vmOf returns the VM part of an origin.
func vmOf(origin string) string {
	i := strings.LastIndexByte(origin, '-')
	if i < 0 {
		return ""
	}
	return origin[:i]
}

func (f *Fleet) answerState(answer *jvpeer.Response) {
	offset, state, err := f.journal.Snapshot()
	if err != nil {
		answer.Problem = err.Error()
		return
	}
	answer.State = &jvpeer.StateResponse{Offset: offset, State: state}
}

// readFlight returns the next part of an answer that this VM holds, waiting for it.
func (f *Fleet) readFlight(ctx context.Context, r *jvpeer.ReadRequest) *jvpeer.ReadResponse {
	fl := f.flights.Find(r.Key)
	if fl == nil || !fl.Matches(r.Digest) {
		return &jvpeer.ReadResponse{Missing: true}
	}
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	fl.Attach()
	defer fl.Detach()
	events, end, _ := fl.Read(ctx, r.Index)
	return &jvpeer.ReadResponse{Events: events, End: end}
}

// fetchState takes the shared state from a peer, for a VM that starts while the log is away.
func (f *Fleet) fetchState(ctx context.Context) (uint64, []byte, error) {
	const op = "fetch state"
	cause := jvfault.Newf(op, jvjournal.KindState, "no peer is known")
	for _, p := range f.peers() {
		ctx, cancel := context.WithTimeout(ctx, f.options.Journal.AppendTimeout)
		answer, err := f.ask(ctx, p, jvpeer.Request{State: &jvpeer.StateRequest{}})
		cancel()
		switch {
		case err != nil:
			cause = jvfault.New(op, jvjournal.KindState, err)
		case answer.State == nil:
			cause = jvfault.Newf(op, jvjournal.KindState, "peer %s: %s", p.VM, answer.Problem)
		default:
			return answer.State.Offset, answer.State.State, nil
		}
	}
	return 0, nil, cause
}

// readArguments say which part of which answer to read at a peer.
type readArguments struct {
	key    string
	digest []byte
	index  int64
}

// askRead reads the next part of an answer that a peer holds.
func (f *Fleet) askRead(ctx context.Context, p jvpeer.Peer, r *readArguments) (*jvpeer.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	answer, err := f.ask(ctx, p, jvpeer.Request{Read: &jvpeer.ReadRequest{Key: r.key, Digest: r.digest, Index: r.index}})
	return answer.Read, err
}
