// Package jvfault holds the shape that the error type of every package has.
package jvfault
