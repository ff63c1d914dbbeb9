// Package jvharness runs a small fleet as processes on loopback: the stand-ins and routers in
// several availability zones, each with an IP number of its own. It is for the demo, the load
// tool and end-to-end tests; the fleet itself starts no process.
package jvharness
