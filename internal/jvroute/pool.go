package jvroute

// Pool describes the targets of one service.
type Pool struct {
	Name   string
	HealthPath string
	// MaxConnections is what one target accepts from all routers together.
	MaxConnections int
	// Engine is true for targets that run models; the numbers below are theirs.
	Engine bool
	// KVCapacityTokens is what a target keeps of prompts and running requests, in tokens.
	KVCapacityTokens int64
	// MaxEventTokens is the number of tokens that one event of a stream holds at most.
	MaxEventTokens int64
}
