package jvedge_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvedge"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

const (
	callerKey = "caller-key"
	// stepTimeout bounds each wait of a test.
	stepTimeout = 20 * time.Second
)

// How a response ends, as seen by its receiver.
const (
	// endProven: the framing shows that the response is whole.
	endProven = "proven"
	// endClaimed: a response without a length ended with its connection.
	endClaimed = "claimed"
	// endBroken: the framing was not met, or the connection was reset.
	endBroken = "broken"
	// endRefused: an error response of the router itself.
	endRefused = "refused"
)

// endFleet is three routers in one simulated fleet, of which two share a zone, with real targets and callers.
type endFleet struct {
	t       *testing.T
	sim     *jvfake.Simulation
	routers []*jvfleet.Router
	// plain and secure are the addresses of the routers' ports for callers without and with TLS.
	plain, secure []string
	servers       []*jvedge.Server
	roots         *x509.CertPool
}

// newEndFleet starts a fleet with pools, of which each engine pool has a profile of its name with a deadline.
func newEndFleet(t *testing.T, pools []jvconfig.Pool, deadline time.Duration) *endFleet {
	t.Helper()
	f := &endFleet{t: t, sim: jvfake.NewSimulation(t.Name())}
	certificate, roots := newCertificate(t)
	f.roots = roots
	for _, vm := range []string{"a1", "a2", "b1"} {
		o := f.sim.Options(vm, vm[:1])
		o.Targets = jvengine.NewClient(&http.Transport{}, f.sim.Timer, stepTimeout)
		o.Workers = 1024
		o.Timing.PeerTimeout = stepTimeout // The verdict must not depend on the speed of the machine.
		rt := f.sim.Start(o)
		f.routers = append(f.routers, rt)
		handler := jvedge.CallersHandler(jvedge.NewCallers(rt, jvedge.DefaultLimits(), nil), logr.Discard())
		f.plain = append(f.plain, f.serve(handler, nil))
		f.secure = append(f.secure, f.serve(handler, &tls.Config{Certificates: []tls.Certificate{certificate}}))
	}
	client := jvoperator.NewClient(jvoperator.Options{
		Operator: "test", Stream: "fleet", Log: f.sim.Log(), Timer: f.sim.Timer, Random: jvchance.NewSource([32]byte{}), Logger: logr.Discard(),
	})
	t.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		jvedge.Shutdown(ctx, f.servers)
		f.sim.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	require.NoError(t, client.WaitReady(ctx))
	bundle := jvoperator.Bundle{Pools: pools}
	workspace := jvconfig.Workspace{Name: "w", Keys: []string{jvconfig.KeyDigest(callerKey)}}
	for _, p := range pools {
		if p.Kind == jvconfig.PoolService {
			workspace.Services = append(workspace.Services, p.Name)
			continue
		}
		bundle.Profiles = append(bundle.Profiles, jvconfig.Profile{
			Name: p.Name, Workspace: "w", Pool: p.Name, Work: jvconfig.WorkQuick, Model: "m",
			MaxOutput: 40, TimeoutMillis: deadline.Milliseconds(), Priority: 5, MaxAttempts: 1, AheadPercent: 20,
		})
	}
	bundle.Workspaces = []jvconfig.Workspace{workspace}
	version, err := client.Publish(ctx, "first", bundle, 0)
	require.NoError(t, err)
	for _, p := range bundle.Profiles {
		require.NoError(t, client.Topup(ctx, p.Name, p.Name, 1_000_000))
	}
	for _, rt := range f.routers {
		require.Eventually(t, func() bool {
			seen := 0
			for _, m := range rt.Dump(jvfleet.DumpQuery{Part: "members"}).Members {
				if !m.LastSeen.IsZero() {
					seen++
				}
			}
			return rt.Catalog().Version() >= version && rt.NotReadyReason() == "" && seen >= 2
		}, stepTimeout, 10*time.Millisecond)
	}
	return f
}

// serve serves callers on a free port and returns its address.
func (f *endFleet) serve(handler http.Handler, config *tls.Config) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	s := jvedge.NewServer(l, handler, jvedge.DefaultLimits(), config, f.sim.Timer)
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve() }()
	return l.Addr().String()
}

// relayed returns the number of answers that a router got from the flight of another one.
func (f *endFleet) relayed() (n uint64) {
	for _, rt := range f.routers {
		n += rt.Meter().Relayed.Get()
	}
	f.t.Logf("%d answers relayed", n)
	return n
}

// transport is how a caller is connected.
type transport struct {
	name     string
	protocol string
	secure   bool
}

func transports() []transport {
	return []transport{{"HTTP1.1", "HTTP/1.1", false}, {"HTTP1.0", "HTTP/1.0", false}, {"TLS, HTTP1.1", "HTTP/1.1", true}, {"TLS, HTTP1.0", "HTTP/1.0", true}}
}

// dial opens a caller's connection to a router.
func (f *endFleet) dial(router int, p transport) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: stepTimeout}
	if p.secure {
		return tls.DialWithDialer(dialer, "tcp", f.secure[router], &tls.Config{RootCAs: f.roots, ServerName: "127.0.0.1"})
	}
	return dialer.Dial("tcp", f.plain[router])
}

// view is what a caller sees of a response at the level of bytes.
type view struct {
	status  int
	outcome string
	body    string
	end     string
	header  http.Header
}

// call sends a call to a pool of services and reads the response. A GET has no key.
func (f *endFleet) call(router int, p transport, method, pool, key string) view {
	header := ""
	if key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	return f.send(router, p, fmt.Sprintf("%s /v1/services/%s/x%s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: 0\r\n\r\n", method, pool, key, p.protocol, callerKey, header))
}

// send sends a request over a connection of its own and reads the response until its end or that of the connection.
func (f *endFleet) send(router int, p transport, request string) view {
	c, err := f.dial(router, p)
	if err != nil {
		return view{end: err.Error()}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(stepTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return view{end: err.Error()}
	}
	return readView(c)
}

func readView(c net.Conn) view {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return view{end: endBroken}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	v := view{status: response.StatusCode, outcome: response.Header.Get("Jv-Outcome"), body: string(body), header: response.Header, end: endProven}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		v.end = "no end in time"
	case err != nil:
		v.end = endBroken
	case v.outcome != "" && v.outcome != "done", v.status >= http.StatusConflict:
		v.end = endRefused
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		v.end = endClaimed
	}
	return v
}

// ending is what a target does with the connection after its bytes.
type ending string

const (
	// endKeep keeps the connection open for the next request.
	endKeep ending = "keep"
	// endClose closes the connection, as the end of a response without a length does.
	endClose ending = "close"
	// endReset resets the connection.
	endReset ending = "reset"
	// endStop stops listening and closes all connections, as the end of the process does.
	endStop ending = "stop"
	// endKill closes all connections and also the next one that it accepts, as a process does that is killed: its
	// connections may end before its listener. Then it stops listening.
	endKill ending = "kill"
	// endReplace closes the connection, and the target then reports another instance.
	endReplace ending = "replace"
)

// partDelay is long enough for a router to read a part before the next one or the end arrives.
const partDelay = 20 * time.Millisecond

// rawTarget is a target that responds to each request with given bytes.
type rawTarget struct {
	address  string
	listener net.Listener
	// respond returns the parts of the response to a request, and what follows them.
	respond func(r *http.Request, body []byte) ([]string, ending)

	mu sync.Mutex
	// instance is the name that load reports have, or empty for a target without reports.
	instance string
	open     map[net.Conn]bool
	killed   bool
	// requests counts the requests by their Idempotency-Key, those for load reports excluded.
	requests map[string]int
}

func newRawTarget(t *testing.T, instance string, respond func(r *http.Request, body []byte) ([]string, ending)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawTarget{address: l.Addr().String(), listener: l, respond: respond, instance: instance, open: map[net.Conn]bool{}, requests: map[string]int{}}
	t.Cleanup(s.close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			killed := s.killed
			s.mu.Unlock()
			if killed {
				s.close()
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *rawTarget) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

// received returns the number of requests with a key.
func (s *rawTarget) received(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[key]
}

func (s *rawTarget) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		parts, end := s.answer(r, body)
		for n, part := range parts {
			if n > 0 {
				time.Sleep(partDelay)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
		switch end {
		case endKeep:
			continue
		case endReset:
			time.Sleep(partDelay)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		case endStop:
			s.close()
		case endKill:
			s.mu.Lock()
			s.killed = true
			for c := range s.open {
				_ = c.Close()
			}
			s.mu.Unlock()
		case endReplace:
			s.mu.Lock()
			s.instance += "2"
			s.mu.Unlock()
		}
		return
	}
}

// answer returns the load report, or the response to a request.
func (s *rawTarget) answer(r *http.Request, body []byte) ([]string, ending) {
	s.mu.Lock()
	instance := s.instance
	if r.URL.Path != "/v1/load" {
		s.requests[r.Header.Get("Idempotency-Key")]++
	}
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/load" && instance == "":
		return []string{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}, endKeep
	case r.URL.Path == "/v1/load":
		report := fmt.Sprintf(`{"instance":%q}`, instance)
		return []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)}, endKeep
	}
	return s.respond(r, body)
}
