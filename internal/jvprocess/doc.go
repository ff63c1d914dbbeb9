// Package jvprocess finds out since when a server has been the same process, by the TCP connections to it.
package jvprocess
