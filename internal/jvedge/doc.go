// Package jvedge serves the callers' and the operators' HTTP interfaces that package design
// describes. It reads a request within its limits, has the router admit and serve it, and writes
// the answer whole or as server-sent events, at the speed at which the caller reads it.
package jvedge
