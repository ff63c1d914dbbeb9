// Package jvoperator does what operators do: it reads the fleet's state from the log and
// appends publications and top-ups to it, and tells whether they took effect.
package jvoperator
