// Package jvledger is the fleet's replicated state machine: it applies the records of the
// platform's log to the shared state, which holds configuration, budgets with their grants,
// run locks, bills and quarantined requests.
//
// Only the log's order decides between conflicting records. Applying is deterministic: it
// reads no clock and no random source; its time is the timestamp that the log put on the
// record. Routers that have applied the same offsets hold the same state, and a state
// restored from a snapshot equals one built from the start of the log.
package jvledger
