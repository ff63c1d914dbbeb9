// Package jvoperator is the operators' client: it reads the fleet's state from the log, appends
// publications and top-ups to it, and returns whether they took effect.
package jvoperator
