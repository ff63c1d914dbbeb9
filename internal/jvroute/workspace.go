package jvroute

// Workspace is one customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority is the rank of its requests, 0 the most urgent, or -1 where the route's counts.
	Priority int
	// Prepaid is the total that may be consumed, in tokens, or -1 where nothing bounds it.
	Prepaid int64
}
