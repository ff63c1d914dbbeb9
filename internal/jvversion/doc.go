// Package jvversion knows which version of its targets' software began a stream, so that it goes on at that
// version only, whichever router its caller turns to.
//
// Each router sends the origins of its streams to a few others, selected by a hash of the request's ID, and asks these
// when a caller resumes a stream. A topic holds the versions of the last minute: if all targets have had one, streams
// whose origin nobody was sent go on at that.
package jvversion
