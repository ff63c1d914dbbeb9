// Package jvflight holds the requests under way and those just finished. Requests with the
// same key share one flight and get one answer; the answer is buffered, so that a caller on a
// slow line holds no target, and one who lost the line comes back for the rest.
package jvflight
