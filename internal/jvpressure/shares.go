package jvpressure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateTime is the time over which the rates of flows are averaged.
	rateTime = 400 * time.Millisecond
	// usefulFactor is how many requests of a flow are admitted under pressure for each that is not refused later, for want
	// of budget or targets, and usefulRate is how many a second are in any case, so that it shows when there is some again.
	usefulFactor = 2
	usefulRate   = 5
	// minRate is the rate, in requests a second, below which a flow is forgotten.
	minRate = 0.05
)

// Flow identifies the requests that get one share when only a part of all can be admitted.
type Flow struct {
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
}

// weight returns the weight of a flow among those of its workspace.
func (f Flow) weight() float64 { return 1 / float64(1+max(0, f.Priority)) }

// flowState is the use that a flow makes of the process.
type flowState struct {
	// arrived counts the requests since the last update, rate is the mean in requests a second.
	arrived float64
	rate    float64
	// entered and useless count those that were admitted, and those among them that were refused later; enteredRate and
	// uselessRate are the means.
	entered     float64
	useless     float64
	enteredRate float64
	uselessRate float64
	// share is the share of the requests that is admitted.
	share float64
}

// wanted returns the rate of the requests that are worth admitting.
func (s *flowState) wanted() float64 {
	return min(s.rate, usefulFactor*max(0, s.enteredRate-s.uselessRate)+usefulRate)
}

// shares divides what the process can serve: each workspace gets as much as any other that wants more, and within a
// workspace urgent requests get more than others. It is not safe for concurrent use.
type shares struct {
	flows map[Flow]*flowState
}

func newShares() *shares { return &shares{flows: map[Flow]*flowState{}} }

// count counts a request and returns the state of its flow.
func (s *shares) count(f Flow) *flowState {
	state := s.flows[f]
	if state == nil {
		state = &flowState{share: 1}
		s.flows[f] = state
	}
	state.arrived++
	return state
}

// update updates the rates with the requests of a time, and divides the part of all requests that can be admitted.
func (s *shares) update(elapsed time.Duration, part float64) {
	weight := min(1, elapsed.Seconds()/rateTime.Seconds())
	workspaces := map[string]float64{}
	total := 0.0
	for f, state := range s.flows {
		average := func(mean, count *float64) {
			*mean += weight * (*count/elapsed.Seconds() - *mean)
			*count = 0
		}
		average(&state.rate, &state.arrived)
		average(&state.enteredRate, &state.entered)
		average(&state.uselessRate, &state.useless)
		if state.rate < minRate {
			delete(s.flows, f)
			continue
		}
		workspaces[f.Workspace] += state.wanted()
		total += state.rate
	}
	demands := make([]demand, 0, len(workspaces))
	for _, rate := range workspaces {
		demands = append(demands, demand{rate: rate, weight: 1})
	}
	level := fill(part*total, demands)
	for name, rate := range workspaces {
		s.divide(name, min(rate, level))
	}
}

// divide divides the rate that a workspace gets among its flows.
func (s *shares) divide(workspace string, rate float64) {
	var demands []demand
	for f, state := range s.flows {
		if f.Workspace == workspace {
			demands = append(demands, demand{rate: state.wanted(), weight: f.weight()})
		}
	}
	level := fill(rate, demands)
	for f, state := range s.flows {
		if f.Workspace == workspace {
			state.share = min(state.wanted(), level*f.weight()) / state.rate
		}
	}
}

// demand is what one of several users of a capacity wants.
type demand struct {
	rate   float64
	weight float64
}

// fill returns the level up to which a capacity fills demands: each gets its rate, at most the level times its weight.
func fill(capacity float64, demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.rate/a.weight, b.rate/b.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if level := capacity / weights; level*d.weight < d.rate {
			return level
		}
		capacity -= d.rate
		weights -= d.weight
	}
	return math.Inf(1)
}
