// Package jvfake implements in-memory fakes of the systems outside a router: the log, the VM
// list, peers, engines and services. Several real routers run against one Simulation in a
// test, inside testing/synctest with its fake clock; no socket is opened. A hook sees every
// step between a router and these systems, so that a test can inject a fault at that step.
package jvfake
