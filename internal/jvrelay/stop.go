package jvrelay

import "time"

// StopPlan divides the grace period of a planned stop.
type StopPlan struct {
	// Notice is how long the router still serves new callers: the load balancer notices with a
	// delay that the router is no longer ready.
	Notice time.Duration
	// Drain is how long after that requests in progress may take, Return the time left for
	// returning budgets.
	Drain  time.Duration
	Return time.Duration
}

const (
	// noticeTime covers a load balancer that polls once a second and acts on the second failure.
	noticeTime = 2500 * time.Millisecond
	// returnTime covers a few calls of the log, one of them slow.
	returnTime = 750 * time.Millisecond
	// killMargin is kept free before the process is killed.
	killMargin = 750 * time.Millisecond
)

// PlanStop divides a grace period. Notice, Return and the margin before the kill are limited to
// shares of it that leave at least a third for Drain.
func PlanStop(grace time.Duration) StopPlan {
	p := StopPlan{Notice: min(noticeTime, grace/3), Return: min(returnTime, grace/6)}
	p.Drain = max(0, grace-p.Notice-p.Return-min(killMargin, grace/6))
	return p
}
