// Package jvtimer provides the time, timers and periodic calls to the other packages, which do
// not read the clock themselves. Tests run the same service in a testing/synctest bubble, which
// has a fake clock.
package jvtimer
