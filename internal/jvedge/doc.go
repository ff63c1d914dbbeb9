// Package jvedge serves the callers' and the operators' HTTP interfaces that package design
// describes. It reads a request within its limits, has the fleet admit and serve it, and
// writes the answer whole or as server-sent events, as slowly as the caller's line takes it.
package jvedge
