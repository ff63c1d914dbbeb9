package jvledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// TestExpiringMap checks that an entry is kept for at least one window and less than two.
func TestExpiringMap(t *testing.T) {
	m := NewExpiringMap[string, int](100)
	m.Advance(1000)
	m.Put("a", 1)
	m.Advance(1099)
	m.Put("b", 2)
	m.Advance(1100)
	_, ok := m.Get("a")
	require.True(t, ok)
	m.Advance(1199)
	_, ok = m.Get("b")
	require.True(t, ok)
	m.Advance(1200)
	_, ok = m.Get("a")
	require.False(t, ok)
	m.Put("c", 3)
	m.Advance(5000)
	require.Zero(t, m.Len())
}

// TestBillSerials checks that each bill is new once, since an origin and its witnesses may report
// it several times and out of order.
func TestBillSerials(t *testing.T) {
	o := &Origin{}
	for _, c := range []struct {
		serial uint64
		isNew  bool
	}{{2, true}, {1, true}, {1, false}, {2, false}, {5, true}, {3, true}, {4, true}, {5, false}, {6, true}} {
		require.Equal(t, c.isNew, o.recordBill(c.serial), "serial %d", c.serial)
	}
	require.Equal(t, uint64(6), o.BilledThrough)
	require.Empty(t, o.BilledAbove)
}

func TestGrantSize(t *testing.T) {
	for _, c := range []struct {
		name                          string
		free, need, want, ahead, size int64
	}{
		{"the wanted size", 1000, 10, 100, 50, 100},
		{"at most the share ahead", 1000, 10, 900, 50, 500},
		{"the need where it exceeds the share", 100, 80, 80, 10, 80},
		{"nothing where less than the need is free", 79, 80, 80, 100, 0},
		{"all that is free", 100, 80, 900, 100, 100},
		{"nothing without a need", 100, 0, 50, 50, 0},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.size, GrantSize(c.free, c.need, c.want, c.ahead)) })
	}
}

// TestDropsUnknownOrigin checks that a batch of an unknown origin is dropped unless it is the
// origin's first; otherwise a late duplicate from an expired origin would change the state.
func TestDropsUnknownOrigin(t *testing.T) {
	s := NewState(DefaultRules())
	hello := jvrecord.Record{Hello: &jvrecord.Hello{VM: "a1", Zone: "a"}}
	result, err := s.Apply(Entry{Offset: 0, Time: 1, Data: jvcodec.Encode(&jvrecord.Batch{Origin: "o", Number: 2, Records: []jvrecord.Record{hello}})})
	require.NoError(t, err)
	require.Empty(t, result.Verdicts)
	require.Empty(t, s.Origins)
}

// TestGap checks that an entry beyond the next offset is an error, one before it changes
// nothing, and one that can't be decoded is skipped.
func TestGap(t *testing.T) {
	s := NewState(DefaultRules())
	_, err := s.Apply(Entry{Offset: 1, Time: 1})
	require.Error(t, err)
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.Error(t, err, "an entry that can't be decoded")
	require.Equal(t, uint64(1), s.NextOffset())
	_, err = s.Apply(Entry{Offset: 0, Time: 1})
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.NextOffset())
}
