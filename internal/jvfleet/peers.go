package jvfleet

import (
	"context"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// HandlePeer handles a request of a peer and returns the response.
func (f *Router) HandlePeer(ctx context.Context, a jvpeer.Request) jvpeer.Response {
	if vm := vmOf(a.From); vm != "" {
		f.markSeen(vm, a.From)
	}
	s := f.current()
	answer := jvpeer.Response{From: s.origin}
	switch {
	case a.Ping != nil:
	case a.Mark != nil:
		answer.Mark = &jvpeer.MarkResponse{Acknowledged: f.holders.acknowledge(a.From, a.Mark.Marks)}
		f.holders.addBills(a.From, a.Mark.Bills, f.options.Timer.Now())
	case a.Loan != nil:
		answer.Loan = &jvpeer.LoanResponse{Lent: s.lend(a.From, a.Loan.Profile, a.Loan.Tokens, a.Loan.Borrowed)}
	case a.Flight != nil:
		vm := f.coordinator.register(a.Flight.Key, a.Flight.VM, a.Flight.Replaces, f.options.Timer.Now())
		answer.Flight = &jvpeer.FlightResponse{VM: vm}
	case a.Read != nil:
		answer.Read = f.readFlight(ctx, a.Read)
	case a.State != nil:
		f.answerState(&answer)
	case a.Crash != nil:
		f.crashes.add(a.Crash.Digest, a.Crash.Target, a.Crash.Attempt)
	default:
		answer.Problem = "the request has no known kind"
	}
	return answer
}

// vmOf returns the VM of an origin, or "" if the origin is malformed.
func vmOf(origin string) string {
	i := strings.LastIndexByte(origin, '-')
	if i < 0 {
		return ""
	}
	return origin[:i]
}

func (f *Router) answerState(answer *jvpeer.Response) {
	offset, state, err := f.journal.Snapshot()
	if err != nil {
		answer.Problem = err.Error()
		return
	}
	answer.State = &jvpeer.StateResponse{Offset: offset, State: state}
}

// readFlight returns the next part of an answer in this VM's flights, and waits until it is there.
func (f *Router) readFlight(ctx context.Context, r *jvpeer.ReadRequest) *jvpeer.ReadResponse {
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

// fetchState gets the shared state from a peer, for a VM that starts while the log is unreachable.
func (f *Router) fetchState(ctx context.Context) (uint64, []byte, error) {
	const op = "fetch state"
	cause := jvfault.Newf(op, jvjournal.KindState, "no peer is known")
	for _, p := range f.peers() {
		ctx, cancel := context.WithTimeout(ctx, f.options.Journal.AppendTimeout)
		answer, err := f.send(ctx, p, jvpeer.Request{State: &jvpeer.StateRequest{}})
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

// readArguments select the part of an answer to read from a peer.
type readArguments struct {
	key    string
	digest []byte
	index  int64
}

// requestRead reads the next part of an answer from a peer's flight.
func (f *Router) requestRead(ctx context.Context, p jvpeer.Peer, r *readArguments) (*jvpeer.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	answer, err := f.send(ctx, p, jvpeer.Request{Read: &jvpeer.ReadRequest{Key: r.key, Digest: r.digest, Index: r.index}})
	return answer.Read, err
}
