package jvversion

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// TestRecordsOfEarlierReleases guards against versions of streams that a router of one release can't read from one of
// another.
func TestRecordsOfEarlierReleases(t *testing.T) {
	origin := Origin{Pool: "llm", Version: "v2"}
	jvproperty.CheckRecord(t, "origin", encodeRecord(origin).Value, func(t *testing.T, data []byte) {
		o, err := decodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, origin, o)
	})
	for name, m := range map[string]message{
		"begun":    {Begun: []begun{{Request: "q1", Origin: origin}}},
		"question": {Question: &question{Number: 3, Request: "q1", Pools: []string{"llm"}}},
		"answer":   {Answer: &answer{Number: 3, From: "r1", Known: true, Origin: origin}},
	} {
		jvproperty.CheckRecord(t, name, jvcodec.Encode(m), func(t *testing.T, data []byte) {
			decoded, err := decodeMessage(data)
			require.NoError(t, err)
			require.Equal(t, m, decoded)
		})
	}
}
