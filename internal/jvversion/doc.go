// Package jvversion knows which version of its targets' software began a stream, so that it goes on at that
// version only, whichever router its caller turns to.
//
// As long as all targets of a pool have had one version for a while, there is nothing to remember. A topic holds
// the versions of the last minute, for routers that start. Otherwise each router tells a few others, selected by
// a hash of the request's ID, at which version its streams began, and asks these when a caller resumes one.
package jvversion
