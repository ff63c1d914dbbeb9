// Package jvquarantine recognizes requests that crash the targets that run them. Routers share what
// they saw through a keyed topic of the log: one record for each attempt that was running when its
// target ended. A request that was running in too many crashes is refused by every router until its
// quarantine ends; then one copy is tried again.
//
// Whether a request is to blame follows from the records alone, so that all routers decide alike, also
// those that join later:
//
//   - Attempts on one target that overlapped in time ended in one crash.
//   - A crash weighs less if the target had sent part of the response: it ran the request for a while.
//   - A crash in which a request with more crashes was running as well is attributed to that request.
//   - A complete response clears the request.
package jvquarantine
