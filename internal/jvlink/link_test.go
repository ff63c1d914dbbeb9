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

// slowLink is the capacity of a link of 10 Mbit/s, in bytes per second.
const slowLink = 10e6 / 8

// transfer simulates traffic of in and out bytes per second for a time.
func transfer(l *Link, in, out float64, span time.Duration) {
	const tick = 50 * time.Millisecond
	for range span / tick {
		l.in.Add(int64(in * tick.Seconds()))
		l.out.Add(int64(out * tick.Seconds()))
		time.Sleep(tick)
	}
	synctest.Wait()
}

// withLink runs a test with a link in a synctest bubble.
func withLink(t *testing.T, capacity float64, run func(l *Link)) {
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

// TestMostCallersOnSlowLink guards against a full link: the load balancer sends most callers of an
// availability zone, 250 requests of 5 kB per second, to one machine with a slow link.
func TestMostCallersOnSlowLink(t *testing.T) {
	withLink(t, slowLink, func(l *Link) {
		transfer(l, 0.2*slowLink, 0.2*slowLink, 2*time.Second)
		require.False(t, l.Congested(), "an ordinary share of the callers")
		transfer(l, slowLink, 0.5*slowLink, 2*time.Second)
		require.True(t, l.Congested(), "detected before the load balancer has polled twice")
		transfer(l, 0.1*slowLink, 0.1*slowLink, 2*time.Second)
		require.True(t, l.Congested(), "held, so that the callers do not return at once")
		transfer(l, 0.1*slowLink, 0.1*slowLink, 4*time.Second)
		require.False(t, l.Congested())
	})
}

// TestCallersReturnToSlowLink guards against a link that is congested for half of the day: the callers that the load balancer
// sends there are too many for it, and come back as soon as they may.
func TestCallersReturnToSlowLink(t *testing.T) {
	withLink(t, slowLink, func(l *Link) {
		congested := 0
		const ticks, tick = 1200, 100 * time.Millisecond
		for range ticks {
			rate := slowLink
			if l.Congested() {
				congested++
				rate = 0
			}
			transfer(l, rate, 0, tick)
		}
		require.Greater(t, congested, ticks*9/10, "of two minutes")
		transfer(l, 0, 0, 2*l.options.MaxHold+time.Second)
		transfer(l, slowLink, 0, 2*time.Second)
		transfer(l, 0, 0, l.options.MinHold)
		require.False(t, l.Congested(), "a link that was calm for long is held for the shortest time again")
	})
}

// TestShortBursts checks that a burst of less than half a second does not congest the link.
func TestShortBursts(t *testing.T) {
	withLink(t, slowLink, func(l *Link) {
		for range 5 {
			transfer(l, 0.8*slowLink, 0, 400*time.Millisecond)
			require.False(t, l.Congested())
			transfer(l, 0.05*slowLink, 0, 2*time.Second)
		}
	})
}

// TestEitherDirection checks that outgoing traffic alone congests the link.
func TestEitherDirection(t *testing.T) {
	withLink(t, slowLink, func(l *Link) {
		transfer(l, 0, 0.9*slowLink, 3*time.Second)
		require.True(t, l.Congested())
	})
}

// TestUnknownCapacity checks that a link of unknown capacity is never congested.
func TestUnknownCapacity(t *testing.T) {
	withLink(t, 0, func(l *Link) {
		transfer(l, 1e9, 1e9, 3*time.Second)
		require.False(t, l.Congested())
	})
}

// TestConnectionsAreCounted checks that the bytes of accepted connections are counted in both
// directions.
func TestConnectionsAreCounted(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	o := DefaultOptions()
	o.Timer = timer
	l := &Link{options: o}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := inner.Accept()
		if err == nil {
			c = l.Wrap(c)
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
