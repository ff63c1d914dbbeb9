package jvkeyed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// fakeTopic is a topic that pages its listing by two keys.
type fakeTopic struct {
	records []Record
	kept    uint64
	away    error
	// during runs between two pages of a listing.
	during func()
}

func (f *fakeTopic) put(key, value string) {
	f.records = append(f.records, Record{Key: key, Value: []byte(value), Offset: uint64(len(f.records))})
}

func (f *fakeTopic) Newest(_ context.Context, after string) (Page, error) {
	if f.away != nil {
		return Page{}, f.away
	}
	last := map[string]Record{}
	for _, r := range f.records {
		last[r.Key] = r
	}
	page := Page{End: uint64(len(f.records))}
	for _, key := range []string{"a", "b", "c", "d"} {
		r, ok := last[key]
		if !ok || key <= after || len(r.Value) == 0 {
			continue
		}
		if len(page.Records) == 2 {
			page.More = true
			break
		}
		page.Records = append(page.Records, r)
	}
	if page.More && f.during != nil {
		f.during()
		f.during = nil
	}
	return page, nil
}

func (f *fakeTopic) Read(_ context.Context, from uint64, _ time.Duration) (Page, error) {
	switch {
	case f.away != nil:
		return Page{}, f.away
	case from < f.kept:
		return Page{}, jvfault.New[Kind]("read", KindCompacted, nil)
	}
	return Page{Records: f.records[from:], End: uint64(len(f.records))}, nil
}

func (f *fakeTopic) AppendAt(context.Context, uint64, []Record) (uint64, error) { return 0, nil }

func (f *fakeTopic) Append(context.Context, Producer, []Record) (uint64, error) { return 0, nil }

// seen notes what a follower applied.
type seen struct {
	lines    []string
	regained int
}

func follow(topic Topic, s *seen) *Follower {
	return NewFollower(Options{
		Name: "t", Topic: topic, Timer: jvtimer.NewService(), Logger: logr.Discard(),
		Random: func() float64 { return 0 }, Wait: time.Second, ReadTimeout: time.Second,
		Apply: func(items []Record, whole bool) {
			for _, i := range items {
				s.lines = append(s.lines, fmt.Sprintf("%s=%s whole=%t", i.Key, i.Value, whole))
			}
		},
		OnReconnect: func() { s.regained++ },
	})
}

// TestFollow: the topic is read whole once, then by offset.
func TestFollow(t *testing.T) {
	topic, s := &fakeTopic{}, &seen{}
	topic.put("a", "1")
	topic.put("a", "2")
	f := follow(topic, s)
	require.NoError(t, f.Poll(t.Context(), 0))
	topic.put("b", "3")
	require.NoError(t, f.Poll(t.Context(), 0))
	require.NoError(t, f.Poll(t.Context(), 0))
	require.Equal(t, []string{"a=2 whole=true", "b=3 whole=false"}, s.lines)
	require.EqualValues(t, 3, f.Next())
}

// TestChangeDuringListing: pages are no snapshot; what changes between them is read again.
func TestChangeDuringListing(t *testing.T) {
	topic, s := &fakeTopic{}, &seen{}
	for _, k := range []string{"a", "b", "c"} {
		topic.put(k, "1")
	}
	topic.during = func() { topic.put("a", "2") }
	f := follow(topic, s)
	require.NoError(t, f.Poll(t.Context(), 0))
	require.NoError(t, f.Poll(t.Context(), 0))
	require.Equal(t, []string{"a=1 whole=true", "b=1 whole=true", "c=1 whole=true", "a=2 whole=false"}, s.lines)
}

// TestHorizon: where the records that come next were dropped, the topic is read whole again.
func TestHorizon(t *testing.T) {
	topic, s := &fakeTopic{}, &seen{}
	topic.put("a", "1")
	f := follow(topic, s)
	require.NoError(t, f.Poll(t.Context(), 0))
	topic.put("a", "2")
	topic.put("b", "3")
	topic.kept = 3
	require.NoError(t, f.Poll(t.Context(), 0))
	require.Equal(t, []string{"a=1 whole=true", "a=2 whole=true", "b=3 whole=true"}, s.lines)
}

// TestOwnAppend: what the process appended itself is taken over without a read, at its place
// only.
func TestOwnAppend(t *testing.T) {
	topic, s := &fakeTopic{}, &seen{}
	f := follow(topic, s)
	require.NoError(t, f.Poll(t.Context(), 0))
	topic.put("a", "1")
	f.Advance(0, 1, []Record{{Key: "a", Value: []byte("1")}})
	require.EqualValues(t, 1, f.Next())
	f.Advance(7, 8, []Record{{Key: "b", Value: []byte("2")}})
	require.EqualValues(t, 1, f.Next(), "other records lie between")
	require.Equal(t, []string{"a=1 whole=false"}, s.lines)
}

// TestLostAndRegained: a log that comes back is reported once, and the position is kept.
func TestLostAndRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic, s := &fakeTopic{}, &seen{}
		f := follow(topic, s)
		require.NoError(t, f.Poll(t.Context(), 0))
		topic.away = errors.New("down")
		require.Error(t, f.Poll(t.Context(), 0))
		require.Error(t, f.Poll(t.Context(), 0))
		_, ok := f.LastSeen()
		require.False(t, ok)
		topic.away = nil
		topic.put("a", "1")
		time.Sleep(time.Minute)
		require.NoError(t, f.Poll(t.Context(), 0))
		at, ok := f.LastSeen()
		require.True(t, ok)
		require.Equal(t, time.Now(), at)
		require.Equal(t, 1, s.regained)
		require.Equal(t, []string{"a=1 whole=false"}, s.lines)
	})
}
