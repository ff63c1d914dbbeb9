package jvfleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The placement script: demand is skewed between zones and VMs, zone a is cut off for ten
// minutes, and the budget is topped up before and meanwhile.
const (
	placementStart   = 200_000
	placementTopup   = 50_000
	placementGap     = 500 * time.Millisecond
	placementBefore  = 1200
	placementCut     = 1200
	placementAfter   = 600
	placementWorst   = 90
	falseRefusalsMax = 0.01
)

// share is the part of all requests that a VM gets.
var share = map[string]float64{"a1": 0.40, "a2": 0.10, "b1": 0.24, "b2": 0.06, "c1": 0.16, "c2": 0.04}

// equalShares is the baseline: each VM gets the same part of every top-up, those of a zone
// that is cut off when the cut is over, and nothing moves between them.
type equalShares struct {
	left    map[string]int64
	pending map[string]int64
	refused int
}

func (e *equalShares) topUp(tokens int64, cut bool) {
	for vm := range share {
		part := tokens / int64(len(share))
		if cut && strings.HasPrefix(vm, "a") {
			e.pending[vm] += part
			continue
		}
		e.left[vm] += part
	}
}

func (e *equalShares) heal() {
	for vm, tokens := range e.pending {
		e.left[vm] += tokens
	}
	e.pending = map[string]int64{}
}

// request serves one request on a VM or refuses it; unspent is what the sum of the zones has.
func (e *equalShares) request(vm string, used int64) {
	if e.left[vm] >= placementWorst {
		e.left[vm] -= used
		return
	}
	sum := int64(0)
	for _, left := range e.left {
		sum += left
	}
	if sum >= placementWorst {
		e.refused++
	}
}

// placementResult is what one run of the script came to.
type placementResult struct {
	requests int
	// refused are false refusals: the sum of the zones had budget for the request.
	refused   int
	baseline  int
	stranded  int64
	equalLeft int64
	overspend int64
}

// runPlacement plays the script on real routers, and on equal shares beside them.
func runPlacement(t *testing.T, ahead int64) (result placementResult) {
	s := newScene(t, calmly)
	defer s.close()
	bundle := sceneBundle()
	bundle.Profiles[0] = bundle.Profiles[0].WithAheadPercent(ahead)
	ctx := context.Background()
	_, err := s.client.Publish(ctx, "ahead", bundle, 0)
	require.NoError(t, err)
	require.NoError(t, s.client.Topup(ctx, "start", "quick", placementStart-prepaid))
	base := &equalShares{left: map[string]int64{}, pending: map[string]int64{}}
	base.topUp(placementStart, false)
	random := rand.New(rand.NewPCG(1, 2))
	total := int64(placementStart)
	for n := range placementBefore + placementCut + placementAfter {
		switch n {
		case placementBefore:
			s.cutZone()
		case placementBefore + placementCut/2:
			require.NoError(t, s.client.Topup(ctx, "meanwhile", "quick", placementTopup))
			base.topUp(placementTopup, true)
			total += placementTopup
		case placementBefore + placementCut:
			result.stranded = s.zoneHolds("a")
			result.equalLeft = base.left["a1"] + base.left["a2"]
			s.world.Heal()
			base.heal()
		}
		before := s.world.Tokens("quick")
		vm := pickVM(random)
		d := s.chat(vm, "", fmt.Sprint("request ", n))
		used := s.world.Tokens("quick") - before
		if !d.served() {
			used = 40
			if total-before >= placementWorst {
				result.refused++
			}
		}
		base.request(vm, used)
		result.requests++
		time.Sleep(placementGap - min(d.took, placementGap))
	}
	result.baseline = base.refused
	result.overspend = max(0, s.world.Tokens("quick")-total)
	return result
}

func pickVM(random *rand.Rand) string {
	at := random.Float64()
	for _, v := range vms {
		if at -= share[v.vm]; at < 0 {
			return v.vm
		}
	}
	return "a1"
}

func (s *scene) cutZone() {
	for _, vm := range []string{"a1", "a2"} {
		s.world.Cut(vm, "log", "vms")
		for _, other := range []string{"b1", "b2", "c1", "c2"} {
			s.world.CutPair(vm, other)
		}
	}
}

// zoneHolds returns what the VMs of a zone hold and have not spent, by their own count.
func (s *scene) zoneHolds(zone string) (left int64) {
	for _, v := range vms {
		if v.zone != zone {
			continue
		}
		for _, a := range s.world.Fleet(v.vm).Accounts() {
			left += a.Available()
		}
	}
	return left
}

// TestPlacement: with the budget placed by demand and lent between VMs, false refusals stay
// under a tenth of those of equal shares and under 1% of the requests, and overspend is 0.
func TestPlacement(t *testing.T) {
	for _, c := range []struct {
		name  string
		ahead int64
	}{{"Tapsi-like, ahead 80", 80}, {"Dunmore-like, ahead 40", 40}, {"little ahead, 5", 5}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var r placementResult
			synctest.Test(t, func(t *testing.T) { r = runPlacement(t, c.ahead) })
			t.Logf("%+v", r)
			require.Zero(t, r.overspend)
			if c.ahead < 40 {
				return // Shown for comparison: this profile chose not to place its budget ahead.
			}
			require.LessOrEqual(t, r.refused*10, r.baseline)
			require.LessOrEqual(t, float64(r.refused), falseRefusalsMax*float64(r.requests))
		})
	}
}
