package jvedge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

const (
	wholeBody     = "the whole answer to one request"
	chunkedHeader = "Transfer-Encoding: chunked\r\n"
)

// callCase is one way in which a service's response is framed and ends.
type callCase struct {
	name string
	// status is the status line's code and text.
	status string
	// head are the header lines that frame the response.
	head string
	// parts are the bytes of the body with their framing.
	parts []string
	end   ending
	// sent is how the response ends for the router, body what a caller may get of it.
	sent string
	body string
	// whole is true if the target has sent all.
	whole bool
	// early is sent before the head.
	early string
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func callCases() []callCase {
	const ok = "200 OK"
	half := wholeBody[:len(wholeBody)/2]
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	large := strings.Repeat(wholeBody+"\n", 1000)
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
	instance := func(name string) string { return fmt.Sprintf("Target-Load: {\"instance\":%q}\r\n", name) }
	return []callCase{
		{"no length, whole", ok, "", []string{wholeBody}, endClose, endClaimed, wholeBody, true, ""},
		{"no length, whole, in parts", ok, "", []string{half, wholeBody[len(half):]}, endClose, endClaimed, wholeBody, true, ""},
		{"no length, whole, 32 kB", ok, "", []string{large}, endClose, endClaimed, large, true, ""},
		{"no length, whole, 404", "404 Not Found", "", []string{wholeBody}, endClose, endClaimed, wholeBody, true, ""},
		{"no length, 302 without a body", "302 Found", "", nil, endClose, endClaimed, "", true, ""},
		{"no length, whole, own instance goes on", ok, instance("i"), []string{wholeBody}, endClose, endClaimed, wholeBody, true, ""},
		{"no length, closed in the middle", ok, "", []string{half}, endClose, endClaimed, half, false, ""},
		{"no length, closed in the middle, after a 103", ok, "", []string{half}, endClose, endClaimed, half, false, informational},
		{"no length, closed after the head", ok, "", nil, endClose, endBroken, "", false, ""},
		{"no length, closed after the head, after a 103", ok, "", nil, endClose, endBroken, "", false, informational},
		{"no length, reset", ok, "", []string{half}, endReset, endBroken, half, false, ""},
		{"no length, reset after the head", ok, "", nil, endReset, endBroken, "", false, ""},
		{"no length, process ended", ok, "", []string{half}, endStop, endBroken, half, false, ""},
		{"no length, process killed", ok, "", []string{half}, endKill, endBroken, half, false, ""},
		{"no length, process replaced", ok, instance("i"), []string{half}, endReplace, endBroken, half, false, ""},
		{"chunks, whole", ok, chunkedHeader, []string{chunk(wholeBody), "0\r\n\r\n"}, endKeep, endProven, wholeBody, true, ""},
		{"chunks, whole, closed", ok, chunkedHeader + "Connection: close\r\n", []string{chunk(wholeBody), "0\r\n\r\n"}, endClose, endProven, wholeBody, true, ""},
		{"chunks, whole, process ended", ok, chunkedHeader, []string{chunk(wholeBody), "0\r\n\r\n"}, endStop, endProven, wholeBody, true, ""},
		{"chunks, empty", ok, chunkedHeader, []string{"0\r\n\r\n"}, endKeep, endProven, "", true, ""},
		{"chunks, closed in the middle", ok, chunkedHeader, []string{chunk(half)}, endClose, endBroken, half, false, ""},
		{"chunks, closed after the 0", ok, chunkedHeader, []string{chunk(half), "0"}, endClose, endBroken, half, false, ""},
		{"chunks, closed in the trailer", ok, chunkedHeader, []string{chunk(half), "0\r\nX-A: b"}, endClose, endBroken, half, false, ""},
		{"chunks, reset", ok, chunkedHeader, []string{chunk(half)}, endReset, endBroken, half, false, ""},
		{"length, whole", ok, length(len(wholeBody)), []string{wholeBody}, endKeep, endProven, wholeBody, true, ""},
		{"length, whole, 404", "404 Not Found", length(len(wholeBody)), []string{wholeBody}, endKeep, endProven, wholeBody, true, ""},
		{"length, empty", "201 Created", length(0), nil, endKeep, endProven, "", true, ""},
		{"length, short", ok, length(len(wholeBody)), []string{half}, endClose, endBroken, half, false, ""},
		{"length, closed after the head", ok, length(len(wholeBody)), nil, endClose, endBroken, "", false, ""},
		{"204", "204 No Content", "", nil, endKeep, endProven, "", true, ""},
		{"204, closed", "204 No Content", "", nil, endClose, endProven, "", true, ""},
	}
}

// respond returns the bytes of the case.
func (c callCase) respond(*http.Request, []byte) ([]string, ending) {
	return append([]string{c.early + "HTTP/1.1 " + c.status + "\r\n" + c.head + "\r\n"}, c.parts...), c.end
}

// fault returns what is wrong with a caller's view of a case, or "". A caller sees an end only where the target's
// framing proves one, or exactly the target's own ambiguity; a whole response is served.
func (c callCase) fault(v view, p transport) string {
	switch {
	case v.end == endRefused && !c.whole:
		return ""
	case v.end == endBroken && !c.whole && strings.HasPrefix(c.body, v.body):
		return ""
	case c.sent == endBroken, v.body != c.body, v.outcome != "done", v.end == endRefused:
	case v.end == endClaimed && (c.sent == endClaimed || p.protocol == "HTTP/1.0"):
		return ""
	case v.end == endProven && c.sent == endProven:
		return ""
	}
	return fmt.Sprintf("%s with status %d and outcome %q for a response that is %s, %d of %d bytes", v.end, v.status, v.outcome, c.sent, len(v.body), len(c.body))
}

// TestCallEnds guards against a response of a plain service that breaks off and reaches its caller, or the caller of a
// copy, as complete: at once, from a flight of another VM, and from the record of its key (issue 31). A call that must
// not be repeated reaches its target once.
func TestCallEnds(t *testing.T) {
	cases, ways := callCases(), transports()
	var pools []jvconfig.Pool
	targets := map[string]*rawTarget{}
	for k, c := range cases {
		for n := range ways {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				name := fmt.Sprintf("%s-%d-%d", strings.ToLower(method), k, n)
				targets[name] = newRawTarget(t, "i", c.respond)
				pools = append(pools, jvconfig.Pool{
					Name: name, Kind: jvconfig.PoolService, TimeoutMillis: 10_000, MaxAttempts: 1,
					Calls:   []jvconfig.CallRule{{Method: method, Prefix: "/", Once: method == http.MethodPost}},
					Targets: []jvconfig.Target{{Name: name, Zone: "a", Address: targets[name].address, Slots: 8}},
				})
			}
		}
	}
	f := newEndFleet(t, pools, stepTimeout/2)
	type kind struct {
		first, joined, copied, recorded, lookup view
	}
	views := make([]kind, len(cases)*len(ways))
	var running sync.WaitGroup
	for k := range cases {
		for n, p := range ways {
			running.Go(func() {
				v := &views[k*len(ways)+n]
				name, key := fmt.Sprintf("post-%d-%d", k, n), fmt.Sprintf("key-%d-%d", k, n)
				var copying sync.WaitGroup
				copying.Go(func() { v.first = f.call(0, p, http.MethodPost, name, key) })
				copying.Go(func() { v.copied = f.call(1, p, http.MethodPost, name, key) })
				copying.Wait()
				v.joined = f.call(0, p, http.MethodPost, name, key)
				v.recorded = f.call(2, p, http.MethodPost, name, key)
				v.lookup = f.call(0, p, http.MethodGet, fmt.Sprintf("get-%d-%d", k, n), "")
			})
		}
	}
	running.Wait()
	require.Positive(t, f.relayed(), "copies whose answer came from another VM")
	for n, p := range ways {
		t.Run(p.name, func(t *testing.T) {
			for k, c := range cases {
				t.Run(c.name, func(t *testing.T) {
					v := views[k*len(ways)+n]
					for place, seen := range map[string]view{"first": v.first, "joined": v.joined, "copied": v.copied, "recorded": v.recorded, "lookup": v.lookup} {
						if fault := c.fault(seen, p); fault != "" {
							t.Errorf("%s: %s", place, fault)
						}
					}
					require.Equal(t, 1, targets[fmt.Sprintf("post-%d-%d", k, n)].received(fmt.Sprintf("key-%d-%d", k, n)), "runs of a call that must not be repeated")
				})
			}
		})
	}
}

// TestLookupGoesOn guards against a call that may be repeated and fails after a response that broke off, although another
// target could answer it: the first target stops after its head, or its response has no length and it has ended.
func TestLookupGoesOn(t *testing.T) {
	const lookups = 6
	var pools []jvconfig.Pool
	for n := range lookups {
		broken := callCase{status: "200 OK", parts: []string{wholeBody[:4]}, end: endStop}
		if n%2 == 0 {
			broken = callCase{status: "200 OK", end: endClose}
		}
		p := jvconfig.Pool{
			Name: fmt.Sprint("p", n), Kind: jvconfig.PoolService, TimeoutMillis: 10_000, MaxAttempts: 2,
			Calls: []jvconfig.CallRule{{Method: http.MethodGet, Prefix: "/"}},
		}
		for k, c := range []callCase{broken, {status: "200 OK", head: chunkedHeader, parts: []string{chunk(wholeBody), "0\r\n\r\n"}, end: endKeep}} {
			target := newRawTarget(t, "", c.respond)
			p.Targets = append(p.Targets, jvconfig.Target{Name: fmt.Sprint("t", n, "-", k), Zone: "a", Address: target.address, Slots: 8})
		}
		pools = append(pools, p)
	}
	f := newEndFleet(t, pools, stepTimeout/2)
	for n := range lookups {
		v := f.call(0, transports()[0], http.MethodGet, fmt.Sprint("p", n), "")
		require.Equal(t, endProven, v.end, v.body)
		require.Equal(t, wholeBody, v.body)
	}
}
