// Package jvreach finds out which targets this router does not reach although other routers do, so that a fault of
// its own link does not count as one of the targets, and selects routers through which requests go meanwhile.
//
// Failed connections, and silence of all targets, make it connect to a sample of targets and ask other routers to
// do the same. Targets that only the others reach are unreachable from here until a connection succeeds.
package jvreach
