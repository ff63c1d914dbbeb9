package jvversion

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

const (
	// resendInterval is the time after which a question is sent again to routers that did not answer. It
	// exceeds the round trip between zones, also to a router that is busy. It doubles up to maxResendInterval.
	resendInterval    = 40 * time.Millisecond
	maxResendInterval = 320 * time.Millisecond
	maxDoublings      = 3
	// restSends is how often routers that are no likely holders are asked.
	restSends = 3
	// searchShare is the share of the caller's remaining time after which a search ends, maxSearchTime limits one without
	// a deadline.
	searchShare   = 0.75
	maxSearchTime = 2 * time.Second
)

// Find returns where the stream of a request began whose route uses some pools. It asks other routers if this
// one has no record, by packets and then also by connections, until ctx's deadline nears. A recorded origin goes before what
// follows from the versions of the pools, since a router may not know yet of a version that has just appeared.
func (v *Versions) Find(ctx context.Context, pools []string, request string) (Origin, Source) {
	request = shortRequest(request)
	if o, ok := v.find(request); ok {
		return o, SourceOwn
	}
	version, single := v.history.only(pools)
	if request == "" || len(pools) > maxPools {
		return inferred(version, single)
	}
	limit := maxSearchTime
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Duration(searchShare * float64(deadline.Sub(v.options.Timer.Now())))
	}
	ctx, cancel := v.options.Timer.WithTimeout(ctx, limit)
	defer cancel()
	beganAt := v.options.Timer.Now()
	s := v.newSearch(pools, request)
	defer v.forget(s.number)
	for n := 0; ; n++ {
		likely, rest := likelyHolders(request, v.options.Others())
		if o, ok := s.ask(ctx, likely, rest, n); ok {
			return o, SourcePeer
		}
		switch {
		case s.complete(likely) && single, n > 0 && single: // The holders had time to answer.
			return inferred(version, single)
		case s.inferred != "" && !v.history.contradicts(pools, s.inferred):
			return Origin{Version: s.inferred}, SourcePeer
		case ctx.Err() != nil, n > 0 && s.complete(likely, rest):
			v.options.Logger.Info("origin of a stream not found", "request", request, "routers", len(likely)+len(rest), "answered", len(s.answered),
				"sends", n+1, "ms", v.options.Timer.Since(beganAt).Milliseconds(), "current", v.history.current())
			return Origin{}, SourceNone
		}
	}
}

// inferred returns the origin of a stream if all targets of its pools have had one version.
func inferred(version string, single bool) (Origin, Source) {
	if !single {
		return Origin{}, SourceNone
	}
	return Origin{Version: version}, SourceOnly
}

// search is a question to other routers.
type search struct {
	versions *Versions
	number   uint64
	data     []byte
	answers  chan answer
	// answered are the routers that don't know the origin.
	answered map[string]bool
	// inferred is the version that a router infers, or "".
	inferred string
}

// maxAnswers limits the answers that wait to be read. A router whose answer has no place is asked again.
const maxAnswers = 256

// newSearch registers a question.
func (v *Versions) newSearch(pools []string, request string) *search {
	s := &search{versions: v, answers: make(chan answer, maxAnswers), answered: map[string]bool{}}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastNumber++
	s.number = v.lastNumber
	s.data = jvcodec.Encode(message{Question: &question{Number: s.number, Request: request, Pools: pools}})
	v.questions[s.number] = s.answers
	return s
}

func (v *Versions) forget(number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.questions, number)
}

// ask sends the question to the routers that have not answered, after n earlier sends, and waits until one of them has a
// record of the origin, all have answered, or it is time to send the question again. The router that began the stream may be
// none of the likely holders: the rest are asked restSends times, the last time by connections.
func (s *search) ask(ctx context.Context, likely, rest []jvmember.Member, n int) (Origin, bool) {
	v := s.versions
	missing := 0
	for _, m := range likely {
		if !s.answered[m.Name] {
			missing++
			v.options.Send(m, s.data)
			if n > 0 {
				v.options.Post(m, s.data)
			}
		}
	}
	for _, m := range rest {
		if n == 0 || s.answered[m.Name] {
			continue
		}
		missing++
		if n <= restSends {
			v.options.Send(m, s.data)
		}
		if n == restSends {
			v.options.Post(m, s.data)
		}
	}
	resend := v.options.Timer.After(min(resendInterval<<min(n, maxDoublings), maxResendInterval))
	for missing > 0 {
		select {
		case a := <-s.answers:
			switch {
			case a.Known && !a.Inferred:
				return a.Origin, true
			case s.answered[a.From]:
			default:
				s.answered[a.From] = true
				missing--
				if a.Known {
					s.inferred = a.Version
				}
			}
		case <-resend:
			return Origin{}, false
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	return Origin{}, false
}

// complete reports whether all routers have answered.
func (s *search) complete(lists ...[]jvmember.Member) bool {
	for _, list := range lists {
		for _, m := range list {
			if !s.answered[m.Name] {
				return false
			}
		}
	}
	return true
}
