// Package jvkeyed follows topics of a log that keeps the newest record of each key, and
// states what such a log has to offer.
package jvkeyed
