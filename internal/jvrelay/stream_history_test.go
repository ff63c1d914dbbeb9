package jvrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvroute"
	"github.com/jasminevale/jasminevale/internal/jvversion"
)

// streamStep is what happens at one attempt of a history.
type streamStep struct {
	// Kind selects the response, Events is the number of events before a break.
	Kind   int
	Events int
	// Restart gives the target another version afterwards, as after a crash.
	Restart bool
}

// historyEvents is the number of events of a stream.
const historyEvents = 5

// streamServers are targets of several versions that answer by the steps of a history.
type streamServers struct {
	steps []streamStep

	mu       sync.Mutex
	next     int
	versions map[string]string
	restart  func(name string)
	// empty is true if the latest response was a whole one without events: the server's own end.
	empty bool
}

func (s *streamServers) Probe(context.Context, jvconfig.Target) ProbeResult { return ProbeAccepted }

// Send implements Sender.
func (s *streamServers) Send(_ context.Context, d Dispatch) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := streamStep{Kind: 0}
	if s.next < len(s.steps) {
		step = s.steps[s.next]
	}
	s.next++
	version := s.versions[d.Target.Name]
	if step.Restart {
		defer s.restart(d.Target.Name)
	}
	after, _ := strconv.Atoi(d.LastEventID)
	r := &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Signed: true, End: jvend.Proven}
	all := historyStream(version, after)
	body, cut := strings.Join(all, ""), false
	text := func(status int, kind string) {
		r.Status = status
		r.Header.Set("Content-Type", kind)
		body = "failed\n\n"
	}
	switch step.Kind {
	case 0:
		r.End = endOf(step.Events > 2 && len(all) > 0)
	case 1: // Breaks off after some events.
		body, cut = strings.Join(all[:min(step.Events, len(all))], ""), true
	case 2: // Breaks off within an event.
		body, cut = strings.Join(all[:min(step.Events, len(all))], "")+"id: 9\nda", true
	case 3:
		return nil, jvfault.Newf("send", KindBroken, "reset")
	case 4:
		return nil, jvfault.Newf("send", KindUnsent, "refused")
	case 5:
		text([]int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusFound, http.StatusNoContent}[step.Events], "text/plain")
	case 6:
		text(http.StatusOK, "text/plain")
	case 7:
		r.Status, r.Refused, r.Signed, body = http.StatusServiceUnavailable, true, false, ""
	case 8: // A stream of another request.
		r.Signed = false
	case 9: // No ID, an older one, or one too far ahead.
		body = []string{"data: failed\n\n", "id: 0\ndata: failed\n\n", "id: 77\ndata: failed\n\n", ": error\n\n", ""}[step.Events]
		if after == 0 {
			body, cut = "", true
		}
	}
	s.empty = !cut && !strings.Contains(body, "id: ")
	r.Body = io.NopCloser(strings.NewReader(body))
	if cut {
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)))
	}
	return r, nil
}

// historyStream returns the events of a version's stream after one.
func historyStream(version string, after int) []string {
	var list []string
	for n := after + 1; n <= historyEvents; n++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %s%d\n\n", n, version, n))
	}
	return list
}

// sharedVersions know the origins of all streams of a history.
type sharedVersions struct {
	mu    sync.Mutex
	begun map[string]jvversion.Origin
}

func (*sharedVersions) Observe(map[string][]string) {}

func (v *sharedVersions) Begin(_ context.Context, request string, o jvversion.Origin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun[request] = o
}

func (v *sharedVersions) Find(_ context.Context, _ []string, request string) (jvversion.Origin, jvversion.Source) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o, ok := v.begun[request]; ok {
		return o, jvversion.SourcePeer
	}
	return jvversion.Origin{}, jvversion.SourceNone
}

// streamHistory is what a client got over its tries.
type streamHistory struct {
	// body are the events in order; early is a response that looked complete before the last event.
	body  string
	early string
	tries int
	whole bool
}

// playHistory plays one stream through two routers by turns, as a client does that resumes it.
func playHistory(t *testing.T, steps []streamStep) (h streamHistory) {
	servers := &streamServers{steps: steps, versions: map[string]string{}}
	versions := &sharedVersions{begun: map[string]jvversion.Origin{}}
	var routers []*Relay
	for range 2 {
		f := newFixtureWith(t, func(o *Options) { o.Sender, o.Versions, o.MaxSavedRetries = servers, versions, 10 })
		f.relay.Configure(jvroute.NewTable(2, jvroute.Limits{}).WithPools([]jvroute.Pool{{Name: "p", Engine: true, MaxEventTokens: 7}}).WithRoutes([]jvroute.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: jvroute.KindStream, Timeout: time.Minute, MaxAttempts: 3, Resumable: true, Pools: []jvroute.WeightedPool{{Pool: "p", Weight: 1}},
		}}))
		routers = append(routers, f.relay)
	}
	born := int64(0)
	update := func(changed ...string) {
		born++
		entries := map[string]*Entry{}
		for _, id := range changed {
			entries[id] = &Entry{Pool: "p", Target: jvconfig.Target{Name: id, Zone: "a", Address: id + ":1", Slots: 4, Version: servers.versions[id]}, StartedAtMillis: born}
		}
		for _, r := range routers {
			r.Registry().Update(entries, false)
		}
	}
	all := []string{"t0", "t1", "t2", "t3", "t4"}
	for n, id := range all {
		servers.versions[id] = fmt.Sprint("v", 1+n%2)
	}
	servers.restart = func(id string) {
		servers.versions[id] = map[string]string{"v1": "v2", "v2": "v1"}[servers.versions[id]]
		update(id)
	}
	update(all...)
	origin := ""
	const tries = 8
	for ; h.tries < tries && !h.whole && h.early == ""; h.tries++ {
		q := &Request{ID: fmt.Sprint("q", h.tries), Method: "POST", Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute)}
		if events := strings.Count(h.body, "\n\n"); origin != "" {
			q.Resumes, q.LastEventID = origin, strconv.Itoa(events)
		}
		c := &callerRecord{}
		routers[h.tries%len(routers)].Serve(t.Context(), q, c)
		time.Sleep(time.Second) // Targets are used again after a pause.
		if len(c.statuses) == 0 || c.body.String() == "failed\n\n" || c.statuses[0] != http.StatusOK {
			continue // Refused, or the server's own failure.
		}
		if strings.Contains(c.body.String(), "id: ") && origin == "" {
			origin = q.ID
		}
		body := strings.ReplaceAll(c.body.String(), ": error\n\n", "") // A comment.
		h.body += body
		h.whole = c.aborted == 0 && strings.Count(h.body, "\n\n") == historyEvents
		if c.aborted == 0 && !h.whole && (body != "" || !servers.empty) {
			h.early = fmt.Sprintf("%q", c.body.String())
		}
	}
	return h
}

// TestStreamHistories guards against streams with a piece that is missing, comes twice or is another server's or
// version's, and against an early end, in random histories of servers that break off, fail, answer with other responses
// and restart at another version, while the client resumes at other routers (issue 27).
func TestStreamHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) streamStep {
			return streamStep{
				Kind: rapid.IntRange(0, 9).Draw(rt, "kind"), Events: rapid.IntRange(0, 4).Draw(rt, "events"),
				Restart: rapid.IntRange(0, 4).Draw(rt, "restart") == 0,
			}
		}), 1, 12).Draw(rt, "steps")
		var h streamHistory
		synctest.Test(t, func(t *testing.T) { h = playHistory(t, steps) })
		require.Empty(rt, h.early, "a response looks complete")
		ok := false
		for _, version := range []string{"v1", "v2"} {
			ok = ok || strings.HasPrefix(strings.Join(historyStream(version, 0), ""), h.body)
		}
		require.True(rt, ok, "the client got %q", h.body)
	})
}
