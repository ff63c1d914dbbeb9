package jvlink

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// narrow is the capacity of a link of 10 Mbit/s in bytes a second.
const narrow = 10e6 / 8

// carry lets a link carry so many bytes a second for a time.
func carry(l *Link, in, out float64, span time.Duration) {
	const tick = 50 * time.Millisecond
	for range span / tick {
		l.in.Add(int64(in * tick.Seconds()))
		l.out.Add(int64(out * tick.Seconds()))
		time.Sleep(tick)
	}
	synctest.Wait()
}

func inBubble(t *testing.T, capacity float64, run func(l *Link)) {
	synctest.Test(t, func(*testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		o := DefaultOptions()
		o.Capacity = capacity
		o.Timer = timer
		l := NewLink(o)
		defer l.Close()
		run(l)
	})
}

// TestMostCallersOnANarrowMachine is the load at which the balancer sends most callers of an
// availability zone to one machine with a narrow link: 250 requests of 5 kB a second.
func TestMostCallersOnANarrowMachine(t *testing.T) {
	inBubble(t, narrow, func(l *Link) {
		carry(l, 0.2*narrow, 0.2*narrow, 2*time.Second)
		require.False(t, l.Congested(), "an ordinary share of the callers")
		carry(l, narrow, 0.5*narrow, 2*time.Second)
		require.True(t, l.Congested(), "noticed before the balancer has asked twice")
		carry(l, 0.1*narrow, 0.1*narrow, 2*time.Second)
		require.True(t, l.Congested(), "held, or the callers would come back at once")
		carry(l, 0.1*narrow, 0.1*narrow, 4*time.Second)
		require.False(t, l.Congested())
	})
}

// TestShortBursts: a burst of half a second doesn't send callers away.
func TestShortBursts(t *testing.T) {
	inBubble(t, narrow, func(l *Link) {
		for range 5 {
			carry(l, 0.8*narrow, 0, 400*time.Millisecond)
			require.False(t, l.Congested())
			carry(l, 0.05*narrow, 0, 2*time.Second)
		}
	})
}

// TestEitherDirection: answers crowd a link as requests do.
func TestEitherDirection(t *testing.T) {
	inBubble(t, narrow, func(l *Link) {
		carry(l, 0, 0.9*narrow, 3*time.Second)
		require.True(t, l.Congested())
	})
}

// TestUnknownCapacity: a machine that doesn't say what its link carries is never crowded.
func TestUnknownCapacity(t *testing.T) {
	inBubble(t, 0, func(l *Link) {
		carry(l, 1e9, 1e9, 3*time.Second)
		require.False(t, l.Congested())
	})
}

// TestConnectionsAreCounted: bytes count in both directions, on accepted connections as well.
func TestConnectionsAreCounted(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	o := DefaultOptions()
	o.Timer = timer
	l := &Link{options: o}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := Listener{Listener: inner, Link: l}
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, err = io.Copy(c, io.LimitReader(c, 5))
			_ = c.Close()
		}
		done <- err
	}()
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadAll(c)
	require.NoError(t, err)
	require.NoError(t, <-done)
	require.Equal(t, int64(5), l.in.Load())
	require.Equal(t, int64(5), l.out.Load())
}
