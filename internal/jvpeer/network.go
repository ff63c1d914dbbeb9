package jvpeer

import "context"

// Peer is another VM of the fleet.
type Peer struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Network sends requests to peers.
type Network interface {
	// Send sends a request to a peer and returns its response.
	Send(ctx context.Context, to Peer, request Request) (Response, error)
}

// Handler responds to the requests of peers; it must be safe for concurrent use.
type Handler func(ctx context.Context, request Request) Response
