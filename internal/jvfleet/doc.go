// Package jvfleet is the router as a value: the way of a request from admission to answer,
// and beside it the budgets, members, witnesses and reports that it stands on.
//
// Everything outside the router is behind an interface that Options hold: the log, the VM
// list, peers and targets; time comes from the timer service and chance from a seeded source.
// Several routers can therefore run in one test, without a socket, on a clock of the test's own.
//
// Locks are taken in this order, each released before the next call out of its package:
// Fleet's own tables, then jvjournal, jvflight's table and then a flight, then the leaves
// jvescrow, jvtarget, jvtrace and jvretry.
package jvfleet
