package jvgrant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// TestRecordsOfEarlierReleases guards against budgets that a router of one release can't read from one of another.
func TestRecordsOfEarlierReleases(t *testing.T) {
	holding := Holding{Granted: 5_000_000_000, Returned: 1200}
	record := holding.Encode("r1", "bakers")
	jvproperty.CheckRecord(t, "holding", record.Value, func(t *testing.T, data []byte) {
		router, workspace, decoded, err := decodeHolding(jvkeyed.Record{Key: record.Key, Value: data})
		require.NoError(t, err)
		require.Equal(t, []string{"r1", "bakers"}, []string{router, workspace})
		require.Equal(t, holding, decoded)
	})
	statement := Statement{
		Epoch: 7, BootID: "boot", UptimeNanos: 12_000_000_000, ClockUnixMilli: 1_760_000_000_000, ReadOffset: 44,
		Rows: []Row{{Workspace: "bakers", Used: 900, Lost: 30, Committed: 1000, BoundRate: 250, Headroom: 400, Shortfall: 10, DemandRate: 240, TypicalRequest: 120}},
	}
	jvproperty.CheckRecord(t, "statement", statement.Encode("r1").Value, func(t *testing.T, data []byte) {
		decoded, err := decodeStatement(jvkeyed.Record{Key: "r1", Value: data})
		require.NoError(t, err)
		require.Equal(t, statement, decoded)
	})
}
