// Package jvproperty runs property-based tests with fixed seeds and checks that they are sensitive:
// that they fail with a mutant.
package jvproperty
