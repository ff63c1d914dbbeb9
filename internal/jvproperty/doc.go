// Package jvproperty runs property-based tests with fixed seeds and shows that they are
// sensitive: that a deliberate fault makes them fail.
package jvproperty
