// Package jvplatform is the interface to the platform: its append-only log and its VM list,
// with clients for the HTTP protocols that the platform publishes.
package jvplatform
