package jvmemory

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// newTestAccount returns an account whose senders may send nothing for a minute, or for 3 s while memory is short.
func newTestAccount(bytes int64, timer *jvtimer.Service) *Account {
	return NewAccount(AccountOptions{
		Bytes: bytes, Timer: timer, Crowded: func() bool { return false },
		IdleTime: func() time.Duration { return time.Minute }, ShortTime: func() time.Duration { return 3 * time.Second },
	})
}

// TestAccountStaysWithinLimit guards against requests that hold more than the limit together, large bodies that hold more
// than their part, bodies that are read wrongly, and bytes that are not returned.
func TestAccountStaysWithinLimit(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.Int64Range(RequestBytes, 4<<20).Draw(r, "limit")
		a := newTestAccount(limit, timer)
		var open []*Lease
		for n, size := range rapid.SliceOfN(rapid.IntRange(0, 400_000), 1, 30).Draw(r, "sizes") {
			if len(open) > 0 && rapid.Bool().Draw(r, "close") {
				open[0].Close()
				open = open[1:]
			}
			l, err := a.Open(Holder{Address: fmt.Sprint(n % 3), Workspace: fmt.Sprint(n % 2)}, func() {})
			if err != nil {
				require.ErrorIs(r, err, ErrFull)
				continue
			}
			open = append(open, l)
			text := strings.Repeat("x", size)
			length := int64(-1)
			if rapid.Bool().Draw(r, "announced") {
				length = int64(size)
			}
			var source io.Reader = strings.NewReader(text)
			if rapid.Bool().Draw(r, "with the end") {
				source = iotest.DataErrReader(source)
			}
			data, err := l.ReadAll(source, length)
			if err == nil {
				require.Equal(r, text, string(data))
				require.LessOrEqual(r, int64(cap(data)), l.held-RequestBytes)
			} else {
				require.ErrorIs(r, err, ErrFull)
			}
			held := int64(0)
			for _, o := range open {
				held += o.held
			}
			require.Equal(r, held, a.all.used)
			require.LessOrEqual(r, held, limit)
			v := a.View()
			require.Equal(r, held, v.Requests+v.Small+v.Large)
		}
		for _, l := range open {
			l.Close()
		}
		require.Zero(r, a.all.used)
		require.Zero(r, a.large.used)
		require.Empty(r, a.all.addresses)
		require.Empty(r, a.large.workspaces)
	})
}

// TestAccountKeepsPartForSmallBodies guards against large bodies of many clients that leave nothing for small ones, and
// against one client that leaves nothing for another one's large body.
func TestAccountKeepsPartForSmallBodies(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	const limit, large = 32 << 20, 4 << 20
	for _, clients := range []int{1, 40} {
		a := newTestAccount(limit, timer)
		read := func(address string, size int) error {
			l, err := a.Open(Holder{Address: address, Workspace: address}, func() {})
			if err == nil {
				_, err = l.ReadAll(bytes.NewReader(make([]byte, size)), int64(size))
			}
			if err != nil {
				l.Close()
			}
			return err
		}
		require.NoError(t, read("c0", large), "a single large body")
		for n := range 200 {
			_ = read(fmt.Sprint("c", n%clients), large) // Many are refused.
		}
		require.LessOrEqual(t, a.large.used, int64(limit*largeShare))
		if clients == 1 {
			require.NoError(t, read("other", 100_000))
		}
		for n := range 100 {
			require.NoError(t, read(fmt.Sprint("s", n%10), 9000))
		}
		require.Error(t, read("c0", large))
	}
}

// TestAccountSingleBody guards against a body that is over the part of large ones and is refused while nothing else is held.
func TestAccountSingleBody(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	a := newTestAccount(8<<20, timer)
	l, err := a.Open(Holder{}, func() {})
	require.NoError(t, err)
	_, err = l.ReadAll(bytes.NewReader(make([]byte, 6<<20)), 6<<20)
	require.NoError(t, err)
	l.Close()
	require.Zero(t, a.all.used)
}

// TestAccountEndsStalledBodies guards against senders that keep their share without progress: each byte counts while memory
// is not short; then a sender of single bytes loses its share, and one that makes progress keeps it.
func TestAccountEndsStalledBodies(t *testing.T) {
	for _, c := range []struct {
		name        string
		short       bool
		bytes       int
		wantStalled bool
	}{
		{"silent", false, 0, true},
		{"single bytes", false, 1, false},
		{"silent, short", true, 0, true},
		{"single bytes, short", true, 1, true},
		{"progress, short", true, 4 << 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := jvtimer.NewService()
				defer timer.Close()
				a := newTestAccount(4<<20, timer)
				reader, writer := io.Pipe()
				defer func() { _ = reader.Close() }()
				l, err := a.Open(Holder{Address: "a"}, func() { _ = reader.CloseWithError(io.ErrClosedPipe) })
				require.NoError(t, err)
				if c.short {
					for n := range 70 {
						_, err := a.Open(Holder{Address: fmt.Sprint(n)}, func() {})
						require.NoError(t, err)
					}
				}
				go func() {
					for range 100 {
						if _, err := writer.Write(make([]byte, c.bytes)); err != nil {
							return
						}
						time.Sleep(time.Second)
					}
					_ = writer.Close()
				}()
				if c.bytes == 0 {
					go func() {
						time.Sleep(2 * time.Minute)
						_ = writer.Close()
					}()
				}
				_, err = l.ReadAll(reader, -1)
				if c.wantStalled {
					require.ErrorIs(t, err, ErrStalled)
					require.EqualValues(t, 1, a.View().Stalled)
				} else {
					require.NoError(t, err)
				}
				_ = reader.Close()
				time.Sleep(3 * time.Minute) // The goroutines end.
			})
		})
	}
}
