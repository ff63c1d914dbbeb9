package jvrelay

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// TestSlotRequestTokens guards against a selection by expected time that lacks the tokens of the request, its shared parts
// or the memory of the targets, and against shared tokens of a request that has no preferred target.
func TestSlotRequestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200})
		q := &Request{ID: "q", Usage: Usage{PromptTokens: 900, OutputTokens: 50}, PromptParts: []PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 400}, {ID: "c", Tokens: 200}}}
		a := newActiveRequest(q, nil)
		a.capacityTokens = 5000
		a.route = jvroute.Route{Name: "r", CachedPrefixes: true}
		got := s.relay.slotRequest(a)
		require.Equal(t, []int64{900, 50, 700, 5000}, []int64{got.PromptTokens, got.OutputTokens, got.SharedTokens, got.CapacityTokens})
		require.Equal(t, "b", got.Prefix)
		q.PromptParts = q.PromptParts[:1]
		require.EqualValues(t, 300, s.relay.slotRequest(a).SharedTokens)
		a.route.CachedPrefixes = false
		require.Zero(t, s.relay.slotRequest(a).SharedTokens)
	})
}

// TestContactBodyBegins guards against a speed that is learned from each part of a response, or from an empty one.
func TestContactBodyBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200})
		n := 0
		s.relay.options.Reach.Begin()
		b := &contactBody{ReadCloser: io.NopCloser(strings.NewReader("xyz")), reach: s.relay.options.Reach, target: "t", began: func() { n++ }}
		_, err := b.Read(nil)
		require.NoError(t, err)
		require.Zero(t, n)
		_, err = io.ReadFull(b, make([]byte, 1))
		require.NoError(t, err)
		_, err = io.ReadAll(b)
		require.NoError(t, err)
		require.NoError(t, b.Close())
		require.Equal(t, 1, n)
	})
}

// TestServeLearnsFigures guards against a work figure of a response that does not reach the selection.
func TestServeLearnsFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200, body: "answer", figure: 250})
		s.serve(t.Context(), t, "once", nil)
		pools, slow := s.relay.targets.CountByExpectedTime()
		require.Equal(t, []int{1, 1}, []int{pools, slow})
	})
}
