package jvtimer

import "sync"

// Subscription is one periodic call of a Service.
type Subscription struct {
	once sync.Once
	done chan struct{}
}

// Close ends the subscription; a call under way is not waited for.
func (u *Subscription) Close() { u.once.Do(func() { close(u.done) }) }
