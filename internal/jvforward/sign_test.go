package jvforward

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// TestForwardedSign guards against losing a target's word that it leaves between routers, and against builds that don't
// know it.
func TestForwardedSign(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		head := newResponseHead("n", &jvrelay.Response{Status: 200, Signed: true, Leaving: leaving})
		r, err := decode(head, false)
		require.NoError(t, err)
		require.Equal(t, leaving, r.Leaving)
		data, err := readHead(strings.NewReader(string(encodeHead(head))))
		require.NoError(t, err)
		old, err := jvcodec.Decode[oldResponseHead](data)
		require.NoError(t, err)
		require.Equal(t, oldResponseHead{Status: 200, Signed: true}, old)
	}
	r, err := decode(oldResponseHead{Status: 200, Signed: true}, false)
	require.NoError(t, err)
	require.False(t, r.Leaving)
}
