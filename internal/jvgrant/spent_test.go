package jvgrant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpent guards against refusals that invite callers to return for tokens that no router can ever spend, and against the
// report that a budget is used up while requests in progress may give tokens back, or after a large loss.
func TestSpent(t *testing.T) {
	const prepaid, request = 100_000, 1000
	for _, c := range []struct {
		name         string
		row          Row
		spent, empty bool
	}{
		{"left", Row{Used: 98_000, Committed: 98_500}, false, false},
		{"used up", Row{Used: 99_500, Committed: 99_500}, true, true},
		{"requests in progress may give tokens back", Row{Used: 97_000, Committed: 99_500}, false, true},
		{"the rest is lost", Row{Used: 97_000, Lost: 2500, Committed: 99_500}, true, true},
		{"lost, and in progress", Row{Used: 96_000, Lost: 2500, Committed: 99_500}, false, true},
		{"much is lost", Row{Used: 90_000, Lost: 9500, Committed: 99_500}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &Allocator{fleet: NewFleetView(), options: Options{Prepaid: func(string) (int64, bool) { return prepaid, true }}}
			c.row.Workspace = "w"
			a.fleet.SetStatement("r", Statement{Rows: []Row{c.row}}, time.Time{})
			require.Equal(t, c.spent, a.spent("w", request))
			require.Equal(t, c.empty, a.empty("w", request))
		})
	}
}
