package jvrelay

import "time"

// StopPlan divides the grace period of a planned stop.
type StopPlan struct {
	// Notice is how long the router still serves new callers: the load balancer notices with a
	// delay that the router is no longer ready.
	Notice time.Duration
	// Drain is how long after that requests in progress may take.
	Drain time.Duration
	// Return is the time after that for returning what only then is unused. It leaves as much time again
	// until the process is killed.
	Return time.Duration
}

const (
	// noticeTime covers a load balancer that polls once a second and acts on the second failure.
	noticeTime = 2500 * time.Millisecond
	// maxReturnTime covers a few slow calls of the log.
	maxReturnTime = 750 * time.Millisecond
)

// PlanStop divides a grace period. Requests in progress have all of it but the second half of its last sixth:
// whatever ends before the last sixth must end whole, and what the router holds unused is returned meanwhile.
func PlanStop(grace time.Duration) StopPlan {
	p := StopPlan{Notice: min(noticeTime, grace/3), Return: min(maxReturnTime, grace/24)}
	p.Drain = grace - p.Notice - 2*p.Return
	return p
}

// DrainEnd returns when the drain ends, as the time since the stop began.
func (p StopPlan) DrainEnd() time.Duration { return p.Notice + p.Drain }

// ReturnEnd returns when the return ends, as the time since the stop began.
func (p StopPlan) ReturnEnd() time.Duration { return p.DrainEnd() + p.Return }
