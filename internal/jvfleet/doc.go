// Package jvfleet implements a router of the fleet: the path of a request from admission to
// response, and the budgets, members, witnesses and reports that it depends on.
//
// Options hold an interface for each dependency outside the router: the log, the VM list, peers
// and targets. Time comes from a timer service and random numbers from a seeded source. Several
// routers can therefore run in one test, without sockets and on a fake clock.
//
// Locks are acquired in this order, and each is released before a call out of its package: the
// Router's own tables, jvjournal, jvflight's table, a flight, and last jvescrow, jvtarget, jvtrace
// and jvretry, which call nothing while they hold theirs.
package jvfleet
