package jvrelay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvquarantine"
)

// Problem is an error response of the router itself.
type Problem struct {
	Status  int    `json:"status"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// RetryAfter is the delay after which the caller should retry; 0 means that none is given.
	RetryAfter time.Duration `json:"-"`
}

// notRun returns the problem of a request that did not run and never will.
func notRun(name, message string, retryAfter time.Duration) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Name: name, Message: message, RetryAfter: retryAfter}
}

// mayHaveRun returns the problem of a request that may have run without a complete response.
func mayHaveRun(message string) *Problem {
	return &Problem{Status: http.StatusBadGateway, Name: "failed", Message: message}
}

// quarantined returns the problem of a request that crashes targets, or whose prompt has a part that does.
// The copy did not run unless an attempt of its own may have.
func quarantined(a *activeRequest, refusal jvquarantine.Refusal) *Problem {
	message := fmt.Sprintf("%d targets ended while they ran this request", refusal.Crashes)
	if refusal.Part != "" {
		message = fmt.Sprintf("%d targets ended while they ran requests with the prompt part %s", refusal.Crashes, refusal.Part)
	}
	if a.cause != "" {
		message += "; the last attempt: " + a.cause
	}
	a.cause = message
	p := notRun("quarantined", message, refusal.RetryAfter)
	if a.possibleRuns > 0 {
		p.Status = http.StatusBadGateway
	}
	return p
}

// expired returns the problem of a request that may have run and whose deadline has passed.
func expired(message string) *Problem {
	return &Problem{Status: http.StatusGatewayTimeout, Name: "deadline", Message: message}
}
