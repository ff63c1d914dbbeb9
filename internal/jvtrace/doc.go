// Package jvtrace keeps the last decisions of a router with their reasons, so that the dump shows
// why a request was refused or to which target it was sent.
package jvtrace
