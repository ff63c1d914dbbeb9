// Package jvreset makes the close of a caller's connection a reset while a response is in progress whose end would be
// that of the connection: closed, it would look complete, also if the process ends.
package jvreset
