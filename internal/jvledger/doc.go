// Package jvledger folds the platform's log into the fleet's shared state: configuration,
// budgets with their grants, requests that must run once, bills and quarantined requests.
//
// The log's order is the only arbiter. The fold is deterministic: it reads no clock and no
// random source; its time is the time that the log stamped on the record. Every router that
// has read the same offsets holds the same state, and a state restored from a snapshot
// equals one folded from the beginning.
package jvledger
