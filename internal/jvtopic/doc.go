// Package jvtopic is a keyed topic in memory, for tests of several routers that share one.
package jvtopic
