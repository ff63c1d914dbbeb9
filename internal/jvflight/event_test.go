package jvflight

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvend"
)

// olderEnd is the part of an End that releases before the field Ended know.
type olderEnd struct {
	Outcome string `cbor:"outcome"`
	Status  int    `cbor:"status"`
	Body    []byte `cbor:"body"`
}

// TestEndOfOlderRelease guards against the response of an older release that counts as proven, which may have been cut
// or not, and against an end that an older release can't read.
func TestEndOfOlderRelease(t *testing.T) {
	older := olderEnd{Outcome: "done", Status: 200, Body: []byte("body")}
	read, err := jvcodec.Decode[End](jvcodec.Encode(older))
	require.NoError(t, err)
	require.Equal(t, "body", string(read.Body))
	require.Equal(t, jvend.Claimed, read.BodyEnd())
	for _, ended := range []jvend.End{jvend.Broken, jvend.Claimed, jvend.Proven, 3, -1} {
		encoded := jvcodec.Encode(End{Outcome: "done", Status: 200, Body: []byte("body"), Ended: ended})
		old, err := jvcodec.Decode[olderEnd](encoded)
		require.NoError(t, err)
		require.Equal(t, older, old)
		read, err := jvcodec.Decode[End](encoded)
		require.NoError(t, err)
		require.Equal(t, ended == jvend.Proven, read.BodyEnd() == jvend.Proven, "%d", ended)
	}
}
