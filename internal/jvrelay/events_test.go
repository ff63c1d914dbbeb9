package jvrelay

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvmemory"
)

// readEvents returns the events of a stream up to its error.
func readEvents(r io.Reader, memory int64) (list []event, err error) {
	events := newEventReader(r, jvmemory.NewBudget(memory).NewBuffer(maxEventBytes))
	defer events.free()
	for {
		e, err := events.next()
		if err != nil {
			return list, err
		}
		e.raw = append([]byte(nil), e.raw...)
		list = append(list, e)
	}
}

// TestEventsAreSplit checks that events of any length arrive unchanged and whole, however the bytes of the
// stream are cut on the way.
func TestEventsAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var want []string
		var ids []int64
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			e := strings.Repeat("\n", rapid.IntRange(0, 2).Draw(t, "blank"))
			id := int64(-1)
			if rapid.Bool().Draw(t, "has id") {
				id = rapid.Int64Range(0, 1000).Draw(t, "id")
				e += "id: " + strconv.FormatInt(id, 10) + "\n"
			}
			e += "data: " + strings.Repeat("x", rapid.IntRange(0, 5000).Draw(t, "length")) + "\n\n"
			want = append(want, e)
			ids = append(ids, id)
			text.WriteString(e)
		}
		source := io.Reader(strings.NewReader(text.String()))
		if rapid.Bool().Draw(t, "cut") {
			source = iotest.HalfReader(source)
		}
		got, err := readEvents(source, 1<<20)
		require.ErrorIs(t, err, io.EOF)
		require.Len(t, got, len(want))
		for n, e := range got {
			require.Equal(t, want[n], string(e.raw))
			require.Equal(t, ids[n], e.id)
			require.True(t, e.hasContent)
		}
	})
}

// TestEventsWithoutEnd guards against an event that takes memory without limit, whatever it consists of.
func TestEventsWithoutEnd(t *testing.T) {
	for _, filler := range []string{"x", "\n", "data: x\n", "\r\n"} {
		_, err := readEvents(strings.NewReader(strings.Repeat(filler, 2*maxEventBytes/len(filler))), 2*maxEventBytes)
		require.ErrorIs(t, err, jvmemory.ErrFull, "%q", filler)
		_, err = readEvents(strings.NewReader(strings.Repeat(filler, 2*maxEventBytes/len(filler))), 0)
		require.ErrorIs(t, err, jvmemory.ErrFull, "%q without memory", filler)
	}
	_, err := readEvents(strings.NewReader("id: 1\ndata"), 1<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestCommentsAreNoAnswer guards against a server that sends comments in place of events: it stalls, so
// another target answers, and the comments cost the caller's budget nothing.
func TestCommentsAreNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, script{status: 200, body: ": wait\n\n", hang: true}, script{status: 200, body: events123})
		require.Equal(t, "200 length -1: : wait||id: 1|data: a||id: 2|data: b||id: 3|data: c||", s.serve(t.Context(), t, "stream", nil))
		require.EqualValues(t, 10_000-1021, s.budgets.left, "the prompt and three events")
	})
}
