// Package jvlog makes loggers that write JSON lines.
package jvlog
