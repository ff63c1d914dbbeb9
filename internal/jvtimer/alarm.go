package jvtimer

import "time"

// Alarm calls a function unless it is reset or stopped in time.
type Alarm struct {
	timer *time.Timer
}

// Alarm returns an alarm that calls fire after d unless it is reset or stopped before.
func (s *Service) Alarm(d time.Duration, fire func()) *Alarm {
	return &Alarm{timer: time.AfterFunc(d, fire)}
}

// Reset restarts the alarm, so that it fires d from now.
func (a *Alarm) Reset(d time.Duration) { a.timer.Reset(d) }

// Stop stops the alarm; it does not wait for a call in progress.
func (a *Alarm) Stop() { a.timer.Stop() }
