// Package jvlink measures how much of its machine's network link a process uses, and reports when
// the link is so busy that callers are better served by another machine.
package jvlink
