// Package jvpeer carries messages between the VMs of the fleet: CBOR in WebSocket frames, on
// a link that is opened at the first message and closed when idle, so that a VM holds links
// only to those it deals with. Every message is an ask with one answer, and may be repeated.
package jvpeer
