package jvpressure

import "time"

// Read is a read of a topic that has ended. Times are uptimes.
type Read struct {
	StartedAt time.Duration
	EndedAt   time.Duration
	// Wait is how long the topic was asked to wait for records.
	Wait time.Duration
	// Records is the number of records that were read.
	Records int
	// Err is why the read failed, or nil.
	Err error
}

// asOf returns an uptime at which the records that are known after the read were all that the topic had. The topic
// answers at once if it has records, and without any after Wait.
func (r Read) asOf() time.Duration {
	if r.Records == 0 && r.EndedAt-r.StartedAt >= r.Wait {
		return r.StartedAt + r.Wait
	}
	return r.StartedAt
}
