// Package jvquarantine recognizes requests that crash the targets that run them, and parts of prompts that
// do so whatever else a request holds. Routers share what they saw through a keyed topic of the log: one
// record for each attempt that was running when its target ended, and for each shared part of its prompt. A
// request that was running in too many crashes, or that has a part which was, is refused by every router
// until the quarantine ends; then a copy is tried again. Trials are claimed on the topic, so that all routers
// together make no more than MaxTrials.
//
// Whether a request or a part is to blame follows from the records alone, so that all routers decide alike,
// also those that join later:
//
//   - Attempts on one target that overlapped in time ended in one crash.
//   - A crash of a request weighs less if the target had sent part of the response: it ran the request for
//     a while.
//   - A part counts the crashes of different requests that followed one another, or a larger number of
//     crashes of several requests: crashes at the same time have a common cause, and copies of one request
//     show nothing about its parts. A crash weighs less if the part had completed shortly before.
//   - A crash in which a suspect with more crashes was running as well is attributed to that suspect.
//   - Parts that were running in the same crashes are to blame together: a request with only some of them
//     is admitted, and its result tells them apart.
//   - A complete response clears the request and its parts.
package jvquarantine
