package jvrelay

import (
	"net/http"
	"time"
)

// Problem is a final answer of the router's own.
type Problem struct {
	Status  int    `json:"status"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// RetryAfter is when coming back makes sense; 0 says nothing of it.
	RetryAfter time.Duration `json:"-"`
}

// notRun reports a request that did not run and never will.
func notRun(name, message string, retry time.Duration) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Name: name, Message: message, RetryAfter: retry}
}

// mayHaveRun reports a request of which no whole answer came.
func mayHaveRun(message string) *Problem {
	return &Problem{Status: http.StatusBadGateway, Name: "failed", Message: message}
}

// expired reports a request whose time is over and that may have run.
func expired(message string) *Problem {
	return &Problem{Status: http.StatusGatewayTimeout, Name: "deadline", Message: message}
}
