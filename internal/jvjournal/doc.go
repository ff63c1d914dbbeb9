// Package jvjournal keeps a process's copy of the shared state up to date with the log, and
// appends the process's own records.
//
// A record counts once it has been read back from the log and applied, not when the append is
// confirmed: an append whose confirmation was lost is repeated under the same number, and the
// state machine drops the repetition. One batch is outstanding at a time, since a batch that
// reached the log after one with a higher number would be dropped as a repetition.
package jvjournal
