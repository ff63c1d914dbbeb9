package jvforward

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// TestForwardKeepsWhatArrived guards against losing the last events that a target sent before it broke off, which cost
// the caller an attempt (issue 27).
func TestForwardKeepsWhatArrived(t *testing.T) {
	const begun = "id: 1\ndata: x\n\n"
	f := newFixture(t)
	f.serve = func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) {
		body := iotest.DataErrReader(io.MultiReader(strings.NewReader(begun), brokenReader{}))
		return &jvrelay.Response{Status: 200, Body: io.NopCloser(body), End: jvend.Proven}, nil
	}
	r, err := f.client.Forward(t.Context(), f.to, newDispatch())
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.Error(t, err)
	require.Equal(t, begun, string(body))
}
