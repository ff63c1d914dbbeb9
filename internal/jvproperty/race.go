//go:build race

package jvproperty

// raceDetector reports whether the program is built with the race detector.
const raceDetector = true
