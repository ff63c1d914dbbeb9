package jvrelay

import (
	"net/http"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvend"
)

// maxDurations is the number of a route's latest whole responses that show how long most of them take.
const maxDurations = 64

// duration is how long a whole response took.
type duration struct {
	// first is the time until its first byte, rest the time from there to its end.
	first time.Duration
	rest  time.Duration
	// tokens is the most output that the request allowed, or 0 if it named none.
	tokens int64
}

// of returns how long a response with at most a number of tokens would have taken.
func (d duration) of(tokens int64) time.Duration {
	if d.tokens <= 0 || tokens <= 0 {
		return d.first + d.rest
	}
	return d.first + time.Duration(float64(d.rest)*float64(tokens)/float64(d.tokens))
}

// durations are those of the latest whole responses of each route. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string][]duration
	// next is the index at which a route's next duration replaces the oldest one.
	next map[string]int
}

func newDurations() *durations {
	return &durations{byRoute: map[string][]duration{}, next: map[string]int{}}
}

// add adds the duration of a whole response.
func (s *durations) add(route string, d duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list := s.byRoute[route]; len(list) < maxDurations {
		s.byRoute[route] = append(list, d)
	} else {
		list[s.next[route]] = d
	}
	s.next[route] = (s.next[route] + 1) % maxDurations
}

// within returns the share of a route's latest responses that would have ended within a time, for a request with at most
// a number of tokens, and how many of them are known.
func (s *durations) within(route string, tokens int64, limit time.Duration) (share float64, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.byRoute[route]
	if len(list) == 0 {
		return 0, 0
	}
	n := 0
	for _, d := range list {
		if d.of(tokens) <= limit {
			n++
		}
	}
	return float64(n) / float64(len(list)), len(list)
}

// recordDuration records how long a whole response took.
func (r *Relay) recordDuration(a *activeRequest, now time.Time) {
	if a.end == jvend.Broken || a.status >= http.StatusMultipleChoices || a.firstByteAt.IsZero() {
		return
	}
	r.durations.add(a.route.Name, duration{
		first: a.firstByteAt.Sub(a.request.ArrivedAt), rest: now.Sub(a.firstByteAt), tokens: a.request.Usage.OutputTokens,
	})
}
