// Package jvtrace remembers the last decisions of a router with their reasons, so that the
// dump can say why a request was refused or where it went.
package jvtrace
