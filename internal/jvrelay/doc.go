// Package jvrelay is the core of a router that forwards requests unchanged. For each request it
// finds the route and the workspace, reserves the budget, selects targets, decides after a failed
// attempt whether another one is allowed, and forwards the response.
package jvrelay
