// Package jvtimer is the timer service that the other packages subscribe to: no other
// package reads the clock. Tests run the same service inside testing/synctest, whose
// clock is the test's own.
package jvtimer
