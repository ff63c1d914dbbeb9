package jvroute

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMatch checks that the longest matching prefix wins, where hosts match in any case and paths don't.
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

// TestWithDoesNotModifyTable checks that a table in use does not change when a copy is derived
// from it.
func TestWithDoesNotModifyTable(t *testing.T) {
	original := NewTable(1, Limits{}).WithWorkspaces([]Workspace{{Name: "w", Keys: []string{"k"}}})
	changed := original.WithWorkspaces([]Workspace{{Name: "v", Keys: []string{"l"}}})
	_, ok := original.WorkspaceByKey("k")
	require.True(t, ok)
	_, ok = changed.WorkspaceByKey("k")
	require.False(t, ok)
}

// TestSelectPool checks that each pool is selected in proportion to its weight, and a pool of weight
// 0 never.
func TestSelectPool(t *testing.T) {
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
		for _, p := range route.Pools {
			require.Equal(r, p.Weight, counts[p.Pool])
		}
	})
}
