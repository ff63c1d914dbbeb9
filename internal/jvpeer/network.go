package jvpeer

import "context"

// Peer is another VM of the fleet.
type Peer struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Network reaches peers.
type Network interface {
	// Send sends a message to a peer and returns its answer.
	Send(ctx context.Context, to Peer, ask Request) (Response, error)
}

// Handler answers the messages of peers; it must be safe for concurrent use.
type Handler func(ctx context.Context, ask Request) Response
