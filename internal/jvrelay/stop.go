package jvrelay

import "time"

// StopPlan divides the time that a planned stop has.
type StopPlan struct {
	// Notice is how long new callers are still served: the balancer notices late that the router
	// is not ready any more.
	Notice time.Duration
	// Drain is how long after that requests under way may take, Return the time left for giving
	// budgets back.
	Drain  time.Duration
	Return time.Duration
}

const (
	// noticeTime covers a balancer that asks once a second and acts on the second miss.
	noticeTime = 2500 * time.Millisecond
	// returnTime is a few calls of the log, and one that is answered late.
	returnTime = 750 * time.Millisecond
	// killMargin is left before the process is killed.
	killMargin = 750 * time.Millisecond
)

// PlanStop divides a grace period.
func PlanStop(grace time.Duration) StopPlan {
	p := StopPlan{Notice: min(noticeTime, grace/3), Return: min(returnTime, grace/6)}
	p.Drain = max(0, grace-p.Notice-p.Return-min(killMargin, grace/6))
	return p
}
