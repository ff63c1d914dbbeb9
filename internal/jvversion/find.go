package jvversion

import (
	"context"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

const (
	// resendInterval is the time after which a question is sent again to routers that did not answer. It
	// exceeds the round trip between zones, also to a router that is busy.
	resendInterval = 40 * time.Millisecond
	// maxSends is how often a question is sent. The caller's objective for its next event is a few
	// hundred ms.
	maxSends = 4
)

// Find returns where the stream of a request began whose route uses some pools. It asks other routers if this
// one does not know, for maxSends * resendInterval at most.
func (v *Versions) Find(ctx context.Context, pools []string, request string) (Origin, Source) {
	o, source := v.findHere(pools, request)
	if source != SourceNone || len(request) > maxNameBytes || len(pools) > maxPools {
		return o, source
	}
	others := v.options.Others()
	asked, rest := likelyHolders(request, others)
	answers := make(chan answer, maxSends*len(others)+1)
	number := v.ask(answers)
	defer v.forget(number)
	data := jvcodec.Encode(message{Question: &question{Number: number, Request: request, Pools: pools}})
	answered := map[string]bool{}
	for range maxSends {
		if o, ok := v.askOnce(ctx, data, asked, answered, answers); ok {
			return o, SourcePeer
		}
		// A router that did not share its streams since it knows of one version only may be none of the likely holders.
		asked, rest = append(asked, rest...), nil
		if ctx.Err() != nil || len(answered) >= len(others) {
			break
		}
	}
	return Origin{}, SourceNone
}

// ask registers a question whose answers go to a channel, and returns its number.
func (v *Versions) ask(answers chan answer) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastNumber++
	v.questions[v.lastNumber] = answers
	return v.lastNumber
}

func (v *Versions) forget(number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.questions, number)
}

// askOnce sends a question to the routers that have not answered, and waits until one of them knows the origin,
// all have answered, or it is time to send the question again.
func (v *Versions) askOnce(ctx context.Context, data []byte, asked []jvmember.Member, answered map[string]bool, answers chan answer) (Origin, bool) {
	missing := 0
	for _, m := range asked {
		if !answered[m.Name] {
			missing++
			v.options.Send(m, data)
		}
	}
	resend := v.options.Timer.After(resendInterval)
	for missing > 0 {
		select {
		case a := <-answers:
			if a.Known {
				return a.Origin, true
			}
			if !answered[a.From] {
				answered[a.From] = true
				missing--
			}
		case <-resend:
			return Origin{}, false
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	return Origin{}, false
}
