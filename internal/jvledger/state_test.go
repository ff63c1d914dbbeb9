package jvledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// TestGenerations: an entry is kept for at least a window and less than two.
func TestGenerations(t *testing.T) {
	g := NewExpiringMap[string, int](100)
	g.Advance(1000)
	g.Put("a", 1)
	g.Advance(1099)
	g.Put("b", 2)
	g.Advance(1100)
	_, ok := g.Get("a")
	require.True(t, ok)
	g.Advance(1199)
	_, ok = g.Get("b")
	require.True(t, ok)
	g.Advance(1200)
	_, ok = g.Get("a")
	require.False(t, ok)
	g.Put("c", 3)
	g.Advance(5000)
	require.Zero(t, g.Len())
}

// TestBillSerials: a bill counts once, whoever reports it, in whatever order.
func TestBillSerials(t *testing.T) {
	o := &Origin{}
	for _, c := range []struct {
		serial uint64
		fresh  bool
	}{{2, true}, {1, true}, {1, false}, {2, false}, {5, true}, {3, true}, {4, true}, {5, false}, {6, true}} {
		require.Equal(t, c.fresh, o.bill(c.serial), "serial %d", c.serial)
	}
	require.Equal(t, uint64(6), o.BilledThrough)
	require.Empty(t, o.BilledAbove)
}

func TestGrantSize(t *testing.T) {
	for _, c := range []struct {
		name                          string
		free, need, want, ahead, size int64
	}{
		{"what it wants", 1000, 10, 100, 50, 100},
		{"no more than the share ahead", 1000, 10, 900, 50, 500},
		{"the need, though the share is less", 100, 80, 80, 10, 80},
		{"nothing where the need can't be met", 79, 80, 80, 100, 0},
		{"the rest", 100, 80, 900, 100, 100},
		{"no need", 100, 0, 50, 50, 0},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.size, GrantSize(c.free, c.need, c.want, c.ahead)) })
	}
}

// TestDropsUnknownOrigin: a batch that is not an origin's first is dropped where the fold does
// not know the origin, so that a late duplicate of a forgotten one changes nothing.
func TestDropsUnknownOrigin(t *testing.T) {
	s := NewState(DefaultRules())
	hello := jvrecord.Record{Hello: &jvrecord.Hello{VM: "a1", Zone: "a"}}
	a, err := s.Apply(Entry{Offset: 0, Time: 1, Data: jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 2, Records: []jvrecord.Record{hello}})})
	require.NoError(t, err)
	require.Empty(t, a.Verdicts)
	require.Empty(t, s.Origins)
}

// TestGap: an entry beyond the next offset is an error, one before it changes nothing.
func TestGap(t *testing.T) {
	s := NewState(DefaultRules())
	_, err := s.Apply(Entry{Offset: 1, Time: 1})
	require.Error(t, err)
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.Error(t, err, "an entry that can't be read")
	require.Equal(t, uint64(1), s.NextOffset())
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.NextOffset())
}
