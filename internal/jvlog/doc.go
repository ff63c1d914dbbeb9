// Package jvlog provides loggers that write JSON lines.
package jvlog
