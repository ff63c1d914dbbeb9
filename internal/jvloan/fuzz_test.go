package jvloan

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReceive guards against messages that are accepted and mean something else once they are encoded again.
func FuzzReceive(f *testing.F) {
	f.Add(message{Operation: operationReserve, Router: "r", Process: 1, Number: 2, Workspace: "w", Tokens: 3, WaitMillis: 4, Counted: true}.encode())
	f.Add(message{Operation: operationReserved, Router: "r", Refusal: "short", Reason: "none"}.encode())
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		again, err := decodeMessage(m.encode())
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}
