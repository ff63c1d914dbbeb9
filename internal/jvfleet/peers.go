package jvfleet

import (
	"context"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
)

// HandlePeer handles a request of a peer and returns the response.
func (rt *Router) HandlePeer(ctx context.Context, r jvpeer.Request) jvpeer.Response {
	if vm := vmOf(r.From); vm != "" {
		rt.markSeen(vm, r.From)
	}
	s := rt.current()
	response := jvpeer.Response{From: s.origin}
	switch {
	case r.Ping != nil:
	case r.Mark != nil:
		response.Mark = &jvpeer.MarkResponse{Acknowledged: rt.holders.acknowledge(r.From, r.Mark.Marks)}
		rt.holders.addBills(r.From, r.Mark.Bills, rt.options.Timer.Now())
	case r.Loan != nil:
		response.Loan = &jvpeer.LoanResponse{Lent: s.lend(r.From, r.Loan.Profile, r.Loan.Tokens, r.Loan.Borrowed)}
	case r.Flight != nil:
		vm := rt.coordinator.register(r.Flight.Key, r.Flight.VM, r.Flight.Replaces, rt.options.Timer.Now())
		response.Flight = &jvpeer.FlightResponse{VM: vm}
	case r.Read != nil:
		response.Read = rt.readFlight(ctx, r.Read)
	case r.State != nil:
		rt.respondWithState(&response)
	case r.Crash != nil:
		rt.addCrash(r.Crash)
	default:
		response.Problem = "the request has no known kind"
	}
	return response
}

// vmOf returns the VM of an origin, or "" if the origin is malformed.
func vmOf(origin string) string {
	i := strings.LastIndexByte(origin, '-')
	if i < 0 {
		return ""
	}
	return origin[:i]
}

func (rt *Router) respondWithState(response *jvpeer.Response) {
	offset, state, err := rt.journal.Snapshot()
	if err != nil {
		response.Problem = err.Error()
		return
	}
	response.State = &jvpeer.StateResponse{Offset: offset, State: state}
}

// readFlight returns the next part of an answer in this VM's flights, and waits until it is there.
func (rt *Router) readFlight(ctx context.Context, r *jvpeer.ReadRequest) *jvpeer.ReadResponse {
	fl := rt.flights.Find(r.Key)
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
func (rt *Router) fetchState(ctx context.Context) (uint64, []byte, error) {
	const op = "fetch state"
	cause := jvfault.Newf(op, jvjournal.KindState, "no peer is known")
	for _, p := range rt.peers() {
		ctx, cancel := context.WithTimeout(ctx, rt.options.Journal.AppendTimeout)
		response, err := rt.send(ctx, p, jvpeer.Request{State: &jvpeer.StateRequest{}})
		cancel()
		switch {
		case err != nil:
			cause = jvfault.New(op, jvjournal.KindState, err)
		case response.State == nil:
			cause = jvfault.Newf(op, jvjournal.KindState, "peer %s: %s", p.VM, response.Problem)
		default:
			return response.State.Offset, response.State.State, nil
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
func (rt *Router) requestRead(ctx context.Context, p jvpeer.Peer, r *readArguments) (*jvpeer.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	response, err := rt.send(ctx, p, jvpeer.Request{Read: &jvpeer.ReadRequest{Key: r.key, Digest: r.digest, Index: r.index}})
	return response.Read, err
}
