package jvpressure

import (
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// TestAge checks from when a read vouches for what is known.
func TestAge(t *testing.T) {
	now := time.Minute
	f := NewFence(FenceOptions{Uptime: func() time.Duration { return now }})
	_, known := f.Age()
	require.False(t, known)
	for _, c := range []struct {
		name string
		read Read
		want time.Duration
	}{
		{"records: there may be more since the read began", Read{StartedAt: 50 * time.Second, EndedAt: 51 * time.Second, Wait: time.Second, Records: 1}, 10 * time.Second},
		{"a failed read", Read{StartedAt: 51 * time.Second, EndedAt: 52 * time.Second, Err: errors.New("lost")}, 10 * time.Second},
		{"no records within the wait", Read{StartedAt: 51 * time.Second, EndedAt: 52 * time.Second, Wait: time.Second}, 8 * time.Second},
		{"no records, handled late", Read{StartedAt: 53 * time.Second, EndedAt: 59 * time.Second, Wait: time.Second}, 6 * time.Second},
		{"no records, answered early", Read{StartedAt: 55 * time.Second, EndedAt: 55500 * time.Millisecond, Wait: time.Second}, 5 * time.Second},
		{"an older read", Read{StartedAt: 51 * time.Second, EndedAt: 59 * time.Second, Records: 1}, 5 * time.Second},
	} {
		f.Record(c.read)
		age, known := f.Age()
		require.True(t, known)
		require.Equal(t, c.want, age, c.name)
	}
}

// TestMissed checks that knowledge counts as missing what happened until a read that began after the stall.
func TestMissed(t *testing.T) {
	const stallEnd = 10 * time.Second
	f := NewFence(FenceOptions{Uptime: func() time.Duration { return time.Minute }, Stalled: func(since time.Duration) time.Duration { return max(0, stallEnd-since) }})
	for _, c := range []struct {
		read   Read
		missed bool
	}{
		{Read{StartedAt: 8 * time.Second, EndedAt: 11 * time.Second, Wait: time.Second}, true},
		{Read{StartedAt: 9 * time.Second, EndedAt: 11 * time.Second, Wait: time.Second, Records: 1}, true},
		{Read{StartedAt: 11 * time.Second, EndedAt: 12 * time.Second, Err: errors.New("lost")}, true},
		{Read{StartedAt: 12 * time.Second, EndedAt: 12 * time.Second}, false},
	} {
		f.Record(c.read)
		require.Equal(t, c.missed, f.Missed(), "%+v", c.read)
	}
}

// fenceStep is what happens at a second, and whether the knowledge is late for a reason of the process after it.
type fenceStep struct {
	at   float64
	what string
	late bool
}

// TestLate guards against a router that serves from a configuration which it did not read since it was paused, had no
// processor or no descriptors, and against one that refuses its callers since the store is away.
func TestLate(t *testing.T) {
	for name, steps := range map[string][]fenceStep{
		"prompt reads":                         {{1, "read", false}, {2, "read", false}, {2.9, "", false}},
		"store silent":                         {{1, "read", false}, {2.5, "silent", false}, {4, "silent", false}, {60, "", false}},
		"store refuses":                        {{1, "read", false}, {1.1, "refused", false}, {60, "", false}},
		"no read has ended yet":                {{1, "read", false}, {4, "", false}},
		"paused":                               {{1, "read", false}, {4, "stalled 3", true}, {4.01, "read", false}},
		"paused, the answer was in the socket": {{1, "read", false}, {4, "stalled 3", true}, {4.01, "late read", true}, {4.02, "read", false}},
		"paused while the store is away":       {{1, "read", false}, {4, "stalled 3", true}, {4.01, "own", true}, {5.5, "silent", false}, {60, "", false}},
		"paused again while it is away":        {{1, "read", false}, {2.5, "silent", false}, {9, "stalled 3", true}, {10.5, "silent", false}},
		"no descriptors":                       {{1, "read", false}, {1.1, "own", false}, {2.8, "own", false}, {3, "", true}, {4, "read", false}},
		"short stalls":                         {{1, "read", false}, {3, "stalled 0.3", false}},
		"never read":                           {{9, "stalled 3", false}},
	} {
		now, stalledFrom, stalledTo := time.Duration(0), time.Duration(0), time.Duration(0)
		f := NewFence(FenceOptions{
			Uptime: func() time.Duration { return now }, MaxAge: 1900 * time.Millisecond,
			Stalled: func(since time.Duration) time.Duration { return max(0, stalledTo-max(since, stalledFrom)) },
		})
		for _, s := range steps {
			now = time.Duration(s.at * float64(time.Second))
			switch s.what {
			case "read":
				f.Record(Read{StartedAt: now, EndedAt: now, Wait: 0})
			case "late read":
				f.Record(Read{StartedAt: now - 3100*time.Millisecond, EndedAt: now, Wait: time.Second, Records: 1})
			case "silent":
				f.Record(Read{StartedAt: now - 1500*time.Millisecond, EndedAt: now, Err: jvfault.New("read", KindSilent, error(syscall.ETIMEDOUT))})
			case "refused":
				f.Record(Read{StartedAt: now, EndedAt: now, Err: errors.New("503")})
			case "own":
				f.Record(Read{StartedAt: now, EndedAt: now, Err: jvfault.New("read", KindDescriptors, error(syscall.EMFILE))})
			case "stalled 3":
				stalledFrom, stalledTo = now-3*time.Second, now
			case "stalled 0.3":
				stalledFrom, stalledTo = now-300*time.Millisecond, now
			}
			require.Equal(t, s.late, f.Late(), "%s at %v", name, s.at)
		}
	}
}
