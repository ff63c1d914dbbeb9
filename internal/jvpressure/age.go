package jvpressure

import (
	"sync"
	"time"
)

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

// Age is how old the knowledge of a topic is. It is safe for concurrent use.
type Age struct {
	uptime func() time.Duration

	mu    sync.Mutex
	asOf  time.Duration
	known bool
}

// NewAge returns the age of a topic that has not been read.
func NewAge(uptime func() time.Duration) *Age { return &Age{uptime: uptime} }

// Record records the end of a read.
func (a *Age) Record(r Read) {
	if r.Err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asOf = max(a.asOf, r.asOf())
	a.known = true
}

// Get returns the time since the topic had only what is known, and false if it was never read.
func (a *Age) Get() (time.Duration, bool) {
	now := a.uptime()
	a.mu.Lock()
	defer a.mu.Unlock()
	return now - a.asOf, a.known
}
