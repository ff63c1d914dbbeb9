// Package jvfake holds small fakes of all that a router meets, in memory: the log, the VM list,
// peers, engines and services. Several real routers run against one World in one test, inside
// testing/synctest, whose clock is the test's own; no socket is opened. Every step that a
// router takes towards the outside can be hooked, to bring about a fault just there.
package jvfake
