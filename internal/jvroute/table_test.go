package jvroute

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatch(t *testing.T) {
	table := NewTable(1, Limits{}).WithRoutes([]Route{
		{Name: "short", Host: "Tins.example", Prefix: "/a/"},
		{Name: "long", Host: "tins.example", Prefix: "/a/b/"},
		{Name: "other", Host: "kits.example", Prefix: "/a/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"tins.example", "/a/x", "short"},
		{"tins.example", "/a/b/x", "long"},
		{"TINS.example", "/a/b/", "long"},
		{"tins.example", "/a/b", "short"},
		{"kits.example", "/a/b/x", "other"},
		{"tins.example", "/a", ""},
		{"tins.example", "/A/x", ""},
		{"none.example", "/a/x", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		require.Equal(t, c.want, r.Name, c)
	}
}

// TestWithLeavesTheOriginal: a table in force never changes under its readers.
func TestWithLeavesTheOriginal(t *testing.T) {
	one := NewTable(1, Limits{}).WithWorkspaces([]Workspace{{Name: "w", Keys: []string{"k"}}})
	two := one.WithWorkspaces([]Workspace{{Name: "v", Keys: []string{"l"}}})
	_, ok := one.WorkspaceByKey("k")
	require.True(t, ok)
	_, ok = two.WorkspaceByKey("k")
	require.False(t, ok)
}

// TestPick: each pool gets its part of the draws, and a pool of weight 0 none.
func TestPick(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(r, "weights")
		route, total := Route{}, 0
		for n, w := range weights {
			route.Pools = append(route.Pools, WeightedPool{Pool: string(rune('a' + n)), Weight: w})
			total += w
		}
		if total == 0 {
			require.Empty(r, route.SelectPool(0.5))
			return
		}
		counts := map[string]int{}
		for n := range total {
			counts[route.SelectPool((float64(n)+0.5)/float64(total))]++
		}
		for _, s := range route.Pools {
			require.Equal(r, s.Weight, counts[s.Pool])
		}
	})
}
