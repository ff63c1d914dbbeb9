// Package jvpeer carries messages between the VMs of the fleet: CBOR in WebSocket frames, on
// a link that is opened for the first request and closed when idle, so that a VM has links
// only to the peers it uses. Every request has one response and may be repeated.
package jvpeer
