package jvtimer

import "sync"

// Subscription is a periodic call of a Service.
type Subscription struct {
	once sync.Once
	done chan struct{}
}

// Close ends the subscription; it does not wait for a call in progress.
func (u *Subscription) Close() { u.once.Do(func() { close(u.done) }) }
