// Package jvrecord defines the records that the fleet writes to the platform's append-only
// log. One append writes one batch; the state machine in package jvledger applies them.
package jvrecord
