// Package jvjournal keeps a router's copy of the shared state up to date with the log, and
// appends the router's own records.
//
// A record counts when it has been read back and folded, not when the append was answered:
// an append whose answer was lost is sent again under the same number, and the fold drops
// what it has seen. One batch is outstanding at a time; otherwise a skipped number would be
// dropped as already seen.
package jvjournal
