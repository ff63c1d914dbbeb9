package jvlink

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestReportsBetweenRouters guards against a router that takes a heavy workspace again after a restart, and against reports
// that are sent while there is no heavy workspace.
func TestReportsBetweenRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		links := map[string]*Link{}
		var sent atomic.Int64 // The links measure in goroutines of their own.
		all := []string{"r1", "r2", "r3", "other"}
		for _, router := range all {
			o := DefaultOptions()
			o.Capacity, o.Timer = slowLink, timer
			if router == "r1" {
				o.Capacity = wideLink
			}
			links[router] = NewLink(o)
			defer links[router].Close()
			member := func(name string) jvmember.Member {
				return jvmember.Member{Name: name, Zone: map[bool]string{true: "y", false: "z"}[name == "other"]}
			}
			var others []jvmember.Member
			for _, name := range all {
				if name != router {
					others = append(others, member(name))
				}
			}
			links[router].Join(Zone{Self: member(router), Others: func() []jvmember.Member { return others }, Send: func(to jvmember.Member, message []byte) {
				sent.Add(1)
				require.NoError(t, links[to.Name].Receive(message, nil))
			}})
		}
		offer := func(router string, requests int) {
			for range requests {
				links[router].Admit("heavy", bodyBytes)
				time.Sleep(4 * time.Millisecond)
			}
			synctest.Wait()
		}
		offer("r1", 5)
		require.Zero(t, sent.Load(), "a few requests are not heavy")
		offer("r1", 500)
		require.Positive(t, sent.Load())
		require.Len(t, links["r2"].Dump().Reports, 1)
		require.Empty(t, links["other"].Dump().Reports)
		require.False(t, links["r1"].Unready(), "a wide link")
		offer("r2", 3)
		require.False(t, links["r2"].Unready(), "a few retries")
		time.Sleep(measureInterval)
		offer("r2", 40)
		require.True(t, links["r2"].Unready(), "within 160 ms")
		offer("r1", 2500)
		require.True(t, links["r2"].Unready(), "the workspace would come back")
		time.Sleep(reportAge + calmTime + calmJitter)
		require.False(t, links["r2"].Unready())
		before := sent.Load()
		time.Sleep(time.Minute)
		require.Equal(t, before, sent.Load(), "nothing is sent while no workspace is heavy")
	})
}

// TestRefusalsWhileCrowded guards against other workspaces that are refused for the one that crowds the link, against a
// queue that refused requests keep full, and against refusals on a link that is not crowded.
func TestRefusalsWhileCrowded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	o := DefaultOptions()
	o.Capacity = slowLink
	p := newPolicy(o, now)
	admitted := func(workspace string, perSecond int, size int64) int {
		n := 0
		for range perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			if p.admit(now, workspace, size) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 500, admitted("heavy", 500, bodyBytes))
	p.enter(now, "use", []string{"heavy"}, false)
	require.InDelta(t, drainShare*slowLink/bodyBytes, admitted("heavy", 1000, bodyBytes), 10)
	for range 100 {
		p.admit(now, "heavy", bodyBytes)
	}
	require.True(t, p.admit(now, "small", bodyBytes), "other workspaces go first")
	require.Greater(t, admitted("small", 100, bodyBytes), 95)
}

// TestFewUnreadyRouters guards against a zone of which more than 40% of the routers are unready, which the load balancer
// answers by using all, and against one whose widest link is unused.
func TestFewUnreadyRouters(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name    string
		routers int
		// others are the capacities of unready routers, unready for 10 s. capacity is this one's.
		others   []float64
		capacity float64
		capped   bool
	}{
		{"the only router", 1, nil, slowLink, false},
		{"one of two", 2, []float64{slowLink}, slowLink, true},
		{"the second of five", 5, []float64{slowLink}, slowLink, false},
		{"the third of five", 5, []float64{slowLink, slowLink}, slowLink, true},
		{"wider links go first", 5, []float64{wideLink, slowLink}, slowLink, false},
		{"the widest of three", 8, []float64{slowLink, slowLink, slowLink}, wideLink, true},
	} {
		o := DefaultOptions()
		o.Capacity = c.capacity
		p := newPolicy(o, now)
		p.routers = c.routers
		for n, capacity := range c.others {
			p.receive(now, Report{Router: fmt.Sprint("r", n), Capacity: capacity, Unready: true, UnreadyMillis: 10_000})
		}
		p.enter(now, "use", []string{"heavy"}, false)
		require.Equal(t, !c.capped, p.unready(), c.name)
	}
}

// TestOvertakenReport guards against an old report that replaces a newer one of the same router.
func TestOvertakenReport(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := newPolicy(DefaultOptions(), now)
	rate := func(r float64) []WorkspaceRate { return []WorkspaceRate{{Workspace: "w", Rate: r}} }
	p.receive(now, Report{Router: "r", SentAtMillis: 2, Heavy: rate(2)})
	p.receive(now, Report{Router: "r", SentAtMillis: 1, Heavy: rate(1)})
	require.InDelta(t, 2, p.reported("w"), 0)
	p.receive(now.Add(reportAge), Report{Router: "r", SentAtMillis: 1, Heavy: rate(1)})
	require.InDelta(t, 1, p.reported("w"), 0, "the router's clock was set back")
}

// TestMalformedReport checks that reports of faulty routers are rejected, and the largest valid one is not.
func TestMalformedReport(t *testing.T) {
	name := strings.Repeat("n", maxNameBytes)
	whole := Report{Router: name, Zone: "z", Capacity: 1, Heavy: make([]WorkspaceRate, maxHeavy)}
	for n := range whole.Heavy {
		whole.Heavy[n] = WorkspaceRate{Workspace: name, Rate: 1}
	}
	data := jvcodec.Encode(whole)
	_, err := decodeReport(data)
	require.NoError(t, err)
	require.Less(t, len(data), 8<<10, "it fits into a packet")
	for _, r := range []Report{
		{},
		{Router: name + "n"},
		{Router: "r", Capacity: -1},
		{Router: "r", UnreadyMillis: -1},
		{Router: "r", Heavy: make([]WorkspaceRate, maxHeavy+1)},
		{Router: "r", Heavy: []WorkspaceRate{{Workspace: name + "n"}}},
		{Router: "r", Heavy: []WorkspaceRate{{Rate: 1e13}}},
	} {
		_, err := decodeReport(jvcodec.Encode(r))
		require.Error(t, err, "%+v", r)
	}
	_, err = decodeReport([]byte{0xff})
	require.Error(t, err)
}

// TestPace guards against bodies that keep control messages waiting on a slow link, and against a body that waits on one
// that is not busy.
func TestPace(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := &pace{rate: paceShare * slowLink}
	require.Zero(t, p.take(now, pieceBytes)+p.take(now, pieceBytes)+p.take(now, 1000), "a body of usual size")
	const pieces = 300
	start := now
	for range pieces {
		wait := p.take(now, pieceBytes)
		require.Less(t, wait, 5*time.Millisecond)
		now = now.Add(wait)
	}
	require.InDelta(t, paceShare*slowLink, pieces*pieceBytes/now.Sub(start).Seconds(), 0.05*slowLink)
}

// TestPacedWrite guards against a body that is changed or delayed beyond its share by its pieces, and against a write that
// goes on after its connection is closed.
func TestPacedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		o := DefaultOptions()
		o.Capacity, o.Timer = slowLink, timer
		l := NewLink(o)
		defer l.Close()
		near, far := net.Pipe()
		c := l.Pace(near)
		received := make(chan []byte)
		go func() {
			data, _ := io.ReadAll(far)
			received <- data
		}()
		body := bytes.Repeat([]byte("0123456789"), 10_000)
		startedAt := timer.Now()
		n, err := c.Write(body)
		require.NoError(t, err)
		require.Equal(t, len(body), n)
		require.InDelta(t, (float64(len(body))-paceBurst)/(paceShare*slowLink), timer.Since(startedAt).Seconds(), 0.01)
		failed := make(chan error)
		go func() {
			_, err := c.Write(body)
			failed <- err
		}()
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, c.Close())
		require.Error(t, <-failed)
		data := <-received
		require.Equal(t, body, data[:len(body)])
		require.Less(t, len(data), len(body)+2*paceBurst)
	})
}
