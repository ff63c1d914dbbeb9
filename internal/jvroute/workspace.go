package jvroute

// Workspace is one customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority is 0 for the most urgent requests, or -1 to use the route's priority.
	Priority int
	// Prepaid is the total that may be consumed, in tokens, or -1 if nothing bounds it.
	Prepaid int64
}
