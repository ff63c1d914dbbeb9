// Package jvescrow accounts for the tokens that this VM has been granted on each budget. The
// worst case of a request is reserved before its first byte is sent to a target, so that an
// answer is never cut short for lack of budget; the settlement releases what was not used.
//
// Spending granted tokens needs no message and no clock, so a disconnected VM can go on serving
// with what it holds.
package jvescrow
