// Package jvpace spaces the calls that the routers of a fleet make to a store that they share, so that all of them
// together stay within what the store takes.
package jvpace
