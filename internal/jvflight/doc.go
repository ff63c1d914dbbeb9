// Package jvflight holds the requests in progress and those that finished recently. Requests
// with the same key share one flight and get one answer. The answer is buffered, so that a
// slow caller doesn't occupy a target, and a caller that was disconnected can read the rest.
package jvflight
