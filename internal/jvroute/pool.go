package jvroute

// Pool describes the targets of one service.
type Pool struct {
	Name string
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all routers together.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold target takes from all routers together, or 0 if there is
	// no such bound.
	ColdRate float64
	// Engine is true for targets that run models; the fields below apply only to these.
	Engine bool
	// KVCapacityTokens is the number of tokens of prompts and running requests that a target holds
	// in memory.
	KVCapacityTokens int64
	// MaxEventTokens is the maximum number of tokens in one event of a stream.
	MaxEventTokens int64
}
