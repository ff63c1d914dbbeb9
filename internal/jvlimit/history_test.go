package jvlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// limitEvent is a disturbance of a history.
type limitEvent struct {
	Kind   int
	Router int
}

// play plays an event.
func (f *fleet) play(e limitEvent) {
	r := f.routers[e.Router%len(f.routers)]
	switch e.Kind {
	case 0:
		f.kill(r)
	case 1:
		for _, r := range f.routers {
			if r.down {
				f.restart(r)
			}
		}
	case 2:
		r.offset = 2400 * time.Millisecond
	case 3:
		r.offset = 0
	case 4:
		r.client.Set(true, false)
	case 5:
		for _, r := range f.routers {
			r.client.Set(false, false)
		}
	case 6:
		f.join(0)
	case 7:
		if !r.down {
			f.leave(r)
		}
	}
}

// runHistory plays a fleet with targets whose limits are named at the start and may change, and returns the
// first violation, or "".
func runHistory(t *testing.T, seed byte, routers int, limits []float64, events []limitEvent) (violation string) {
	inFleet(t, routers, func(f *fleet) {
		f.random = jvchance.NewSource([32]byte{seed})
		f.name(limits...)
		named := f.timer.Now()
		for _, e := range events {
			f.play(e)
			f.drive(3 * time.Second)
		}
		for _, g := range f.targets {
			if most, allowed := g.most(named.Add(knownWithin)), factor**g.limit*window.Seconds()+slack; float64(most) > allowed {
				violation = fmt.Sprintf("%d requests in %s to a target with a limit of %g, %g allowed", most, window, *g.limit, allowed)
			}
		}
	})
	return violation
}

// TestLimitHistories guards against histories in which a target gets more than its limit from all routers
// together: routers are killed, restart, join, stop and are cut off from the store,
// and their clocks are set forward and back.
func TestLimitHistories(t *testing.T) {
	jvproperty.CheckSlow(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) limitEvent {
			return limitEvent{Kind: rapid.IntRange(-1, 7).Draw(rt, "kind"), Router: rapid.IntRange(0, 50).Draw(rt, "router")}
		}), 4, 16).Draw(rt, "events")
		limits := rapid.SliceOfN(rapid.Float64Range(0, 30), 1, 4).Draw(rt, "limits")
		require.Empty(rt, runHistory(t, rapid.Byte().Draw(rt, "seed"), rapid.IntRange(1, 20).Draw(rt, "routers"), limits, events))
	})
}
