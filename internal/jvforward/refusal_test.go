package jvforward

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// oldResponseHead is the head of builds that send no nonce.
type oldResponseHead struct {
	Kind          string `cbor:"kind,omitempty"`
	Cause         string `cbor:"cause,omitempty"`
	Target        string `cbor:"target,omitempty"`
	Status        int    `cbor:"status,omitempty"`
	Refused       bool   `cbor:"refused,omitempty"`
	WrongInstance bool   `cbor:"displaced,omitempty"`
	Signed        bool   `cbor:"signed,omitempty"`
}

// decode decodes the head of a response to the attempt with the nonce n.
func decode(head any, newConnection bool) (*jvrelay.Response, error) {
	return decodeResponse(io.NopCloser(strings.NewReader(string(encodeHead(head)))), attemptHead{Nonce: "n", NewConnection: newConnection})
}

// TestForwardedRefusal guards against a caller that gets "not run" for a request that ran: a router of an earlier build
// takes an earlier refusal on a kept connection for that of the attempt, or the response is the one to another message.
func TestForwardedRefusal(t *testing.T) {
	refusal := &jvrelay.Response{Status: 421, Refused: true, WrongInstance: true}
	old := oldResponseHead{Status: 421, Refused: true, WrongInstance: true, Target: "t"}
	for _, c := range []struct {
		name          string
		head          any
		newConnection bool
		refused       bool
	}{
		{"this build", newResponseHead("n", refusal), false, true},
		{"this build, new connection", newResponseHead("n", refusal), true, true},
		{"earlier build", old, false, false},
		{"earlier build, new connection", old, true, true},
	} {
		r, err := decode(c.head, c.newConnection)
		require.NoError(t, err, c.name)
		require.Equal(t, c.refused, r.Refused, c.name)
		require.Equal(t, c.refused, r.WrongInstance, c.name)
		require.Equal(t, 421, r.Status, c.name)
	}
	for _, kind := range []jvrelay.Kind{"", jvrelay.KindUnsent, jvrelay.KindRefused} {
		_, err := decode(responseHead{For: "another", Kind: string(kind), Status: 503, Refused: true}, true)
		require.Equal(t, jvrelay.KindBroken, jvfault.KindOf[jvrelay.Kind](err), "another message, %q", kind)
	}
}

// TestEarlierBuilds guards against routers of two builds that don't understand each other.
func TestEarlierBuilds(t *testing.T) {
	r, err := decode(oldResponseHead{Status: 200, Signed: true, Target: "t"}, false)
	require.NoError(t, err)
	require.True(t, r.Signed && r.Status == 200 && r.Target.Name == "t")
	_, err = decode(oldResponseHead{Kind: string(jvrelay.KindUnsent), Cause: "x"}, false)
	require.Equal(t, jvrelay.KindUnsent, jvfault.KindOf[jvrelay.Kind](err))
	data, err := readHead(strings.NewReader(string(encodeHead(newResponseHead("n", &jvrelay.Response{Status: 503, Refused: true})))))
	require.NoError(t, err)
	old, err := jvcodec.Decode[oldResponseHead](data)
	require.NoError(t, err)
	require.Equal(t, oldResponseHead{Status: 503, Refused: true}, old)
}
