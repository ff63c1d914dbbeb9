package jvtimer

import "time"

// Alarm calls a function when it has not been reset for a while.
type Alarm struct {
	timer *time.Timer
}

// Alarm returns an alarm that calls ring after d unless it is reset or stopped before.
func (s *Service) Alarm(d time.Duration, ring func()) *Alarm {
	return &Alarm{timer: time.AfterFunc(d, ring)}
}

// Reset starts the wait of d anew.
func (a *Alarm) Reset(d time.Duration) { a.timer.Reset(d) }

// Stop ends the alarm.
func (a *Alarm) Stop() { a.timer.Stop() }
