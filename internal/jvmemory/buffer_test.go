package jvmemory

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBuffersStayWithinBudget guards against buffers that hold more than the budget together, or do not
// return what they took.
func TestBuffersStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 100_000).Draw(t, "limit")
		budget := NewBudget(limit)
		var buffers []*Buffer
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 60_000), 1, 10).Draw(t, "sizes") {
			b := budget.NewBuffer(rapid.IntRange(1, 50_000).Draw(t, "maximum"))
			text := strings.Repeat("x", size)
			var err error
			if rapid.Bool().Draw(t, "read") {
				_, err = b.ReadFrom(strings.NewReader(text))
			} else {
				err = b.Append([]byte(text))
			}
			if err == nil {
				require.Equal(t, text, string(b.Bytes()))
			} else {
				require.ErrorIs(t, err, ErrFull)
			}
			buffers = append(buffers, b)
			held := int64(0)
			for _, o := range buffers {
				held += max(0, int64(cap(o.data))-FreeBytes)
			}
			require.LessOrEqual(t, held, limit)
			require.Equal(t, held, budget.Used())
		}
		for _, b := range buffers {
			b.Free()
		}
		require.Zero(t, budget.Used())
	})
}

// TestBufferKeepsWhatItRead checks that a full buffer has all bytes that were taken from the reader, so
// that a response can go on without it.
func TestBufferKeepsWhatItRead(t *testing.T) {
	source := bytes.NewReader(bytes.Repeat([]byte("0123456789"), 2000))
	b := NewBudget(1000).NewBuffer(1 << 20)
	_, err := b.ReadFrom(source)
	require.ErrorIs(t, err, ErrFull)
	rest, err := io.ReadAll(source)
	require.NoError(t, err)
	require.Equal(t, 20_000, len(b.Bytes())+len(rest))
}
