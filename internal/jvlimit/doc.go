// Package jvlimit divides the limits that targets name among the routers of a fleet, so that the sum of what
// all routers send to a target keeps within its limit.
//
// Routers register in a keyed topic of the log when they start, and share there what targets name. Time is
// divided into periods. In each, a hash of target, period and router selects the routers that use the limit;
// each of them has an equal part of it and the others have none. A part is at least MinShare, so that a limit
// of less than one request a second in a large fleet is used by one router after the other. All routers
// select alike from the same members, also while the log is away, and the selection moves on from one that
// has ended or has no requests.
package jvlimit
