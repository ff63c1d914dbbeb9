// Package jvpressure measures how short a process is of the resources of its machine: the delay with which it handles
// events, its connections and its memory.
package jvpressure
