// Package jvharness runs a small fleet as processes on loopback: stand-ins and routers in
// several availability zones, each with its own IP address. The demo, the load tool and the
// end-to-end tests use it; the fleet itself starts no process.
package jvharness
