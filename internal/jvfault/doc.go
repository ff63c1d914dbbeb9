// Package jvfault provides the generic error type that every package uses for its failures.
package jvfault
