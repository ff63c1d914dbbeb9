package jvedge_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvedge"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// ways in which a router ends a response after the first half of its body.
const (
	wayWhole = "whole"
	// wayPanic: the handler breaks off, as after a failure of the target.
	wayPanic = "breaks off"
	// wayWrite: the caller reads nothing until the time for a write has passed.
	wayWrite = "write fails"
	// wayStop: the time of a planned stop has passed.
	wayStop = "stop"
	// wayKill: the router's process is killed.
	wayKill = "kill"
)

// framings are the framings of a response by name: a length in bytes, 0 for that of the body or -1 for none, and the end
// that it shows.
func framings() map[string]struct {
	length int
	end    jvend.End
} {
	return map[string]struct {
		length int
		end    jvend.End
	}{"length": {0, jvend.Proven}, "no length": {-1, jvend.Proven}, "claimed": {-1, jvend.Claimed}}
}

// halvesHandler responds with a body whose halves are written before and after the way's break. The path is
// /FRAMING/WAY/SIZE.
func halvesHandler(begun chan<- struct{}, release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
		framing, way := framings()[path[0]], path[1]
		size, _ := strconv.Atoi(path[2])
		length := framing.length
		if length == 0 {
			length = 2 * size
		}
		half := strings.Repeat("x", size)
		jvedge.WithFraming(length, framing.end, func(w http.ResponseWriter) {
			control := http.NewResponseController(w)
			if way == wayWrite {
				_ = control.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			}
			_, err := io.WriteString(w, half)
			if err == nil {
				err = control.Flush()
			}
			switch way {
			case wayStop, wayKill:
				begun <- struct{}{}
				<-release
				return
			case wayPanic:
				panic(http.ErrAbortHandler)
			}
			if err != nil {
				begun <- struct{}{}
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, half)
		}).ServeHTTP(w, r)
	})
}

// ends are two ports of callers, without and with TLS.
type ends struct {
	Plain, Secure string
	Certificate   []byte
	servers       []*jvedge.Server
}

func newEnds(t *testing.T, handler http.Handler) *ends {
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	certificate, _ := newCertificate(t)
	e := &ends{Certificate: certificate.Certificate[0]}
	for _, config := range []*tls.Config{nil, {Certificates: []tls.Certificate{certificate}}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := jvedge.NewServer(l, handler, jvedge.DefaultLimits(), config, timer)
		e.servers = append(e.servers, s)
		go func() { _ = s.Serve() }()
		if config == nil {
			e.Plain = l.Addr().String()
		} else {
			e.Secure = l.Addr().String()
		}
	}
	return e
}

// request opens a connection and sends a request.
func (e *ends) request(t *testing.T, p transport, framing, way string, size int) net.Conn {
	certificate, err := x509.ParseCertificate(e.Certificate)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	f := &endFleet{plain: []string{e.Plain}, secure: []string{e.Secure}, roots: roots}
	c, err := f.dial(0, p)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(stepTimeout)))
	_, err = fmt.Fprintf(c, "GET /%s/%s/%d %s\r\nHost: h\r\n\r\n", strings.ReplaceAll(framing, " ", "%20"), strings.ReplaceAll(way, " ", "%20"), size, p.protocol)
	require.NoError(t, err)
	return c
}

const (
	smallHalf = 100
	// largeHalf is more than the buffers of a connection hold.
	largeHalf = 16 << 20
)

// TestBrokenResponsesReset guards against a response that the router breaks off and whose caller sees its end, since the
// close of the connection is the end of a response without a length and chunks (issue 31): of callers of HTTP/1.0, and
// of responses that end with their connection, with and without TLS.
func TestBrokenResponsesReset(t *testing.T) {
	for _, way := range []string{wayWhole, wayPanic, wayWrite, wayStop, wayKill} {
		for _, p := range transports() {
			for framing := range framings() {
				t.Run(way+", "+p.name+", "+framing, func(t *testing.T) {
					begun, release := make(chan struct{}, 1), make(chan struct{})
					defer close(release)
					var c net.Conn
					size := smallHalf
					switch way {
					case wayKill:
						process, e := startEnds(t)
						c = e.request(t, p, framing, way, size)
						require.Equal(t, "begun", process.next())
						require.NoError(t, process.command.Process.Kill())
					case wayStop:
						e := newEnds(t, halvesHandler(begun, release))
						c = e.request(t, p, framing, way, size)
						<-begun
						ctx, cancel := context.WithCancel(t.Context())
						cancel()
						jvedge.Shutdown(ctx, e.servers)
					case wayWrite:
						size = largeHalf
						c = newEnds(t, halvesHandler(begun, release)).request(t, p, framing, way, size)
						<-begun
					default:
						c = newEnds(t, halvesHandler(begun, release)).request(t, p, framing, way, size)
					}
					v := readView(c)
					switch {
					case way != wayWhole:
						require.Equal(t, endBroken, v.end)
						require.Less(t, len(v.body), 2*size)
						if way != wayWrite {
							require.Len(t, v.body, size, "the part that was written arrives")
						}
					case framing == "claimed" || framing == "no length" && p.protocol == "HTTP/1.0":
						require.Equal(t, endClaimed, v.end)
						require.Len(t, v.body, 2*size)
					default:
						require.Equal(t, endProven, v.end)
						require.Len(t, v.body, 2*size)
					}
				})
			}
		}
	}
}

// endsVariable is set in the process that serves ends.
const endsVariable = "JV_TEST_ENDS"

// endsProcess is a process that serves ends.
type endsProcess struct {
	t       *testing.T
	command *exec.Cmd
	lines   *bufio.Scanner
}

func startEnds(t *testing.T) (*endsProcess, *ends) {
	p := &endsProcess{t: t, command: exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestEndsProcess$")}
	p.command.Env = append(os.Environ(), endsVariable+"=1")
	out, err := p.command.StdoutPipe()
	require.NoError(t, err)
	p.lines = bufio.NewScanner(out)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	var e ends
	require.NoError(t, json.Unmarshal([]byte(p.next()), &e))
	return p, &e
}

// next returns the process's next line of output.
func (p *endsProcess) next() string {
	require.True(p.t, p.lines.Scan(), "the process ended")
	return p.lines.Text()
}

// TestEndsProcess is not a test: it serves ends in the process that TestBrokenResponsesReset kills.
func TestEndsProcess(t *testing.T) {
	if os.Getenv(endsVariable) == "" {
		t.Skip("serves TestBrokenResponsesReset")
	}
	begun := make(chan struct{})
	e := newEnds(t, halvesHandler(begun, nil))
	line, err := json.Marshal(e)
	require.NoError(t, err)
	fmt.Println(string(line)) //nolint:forbidigo // The parent process reads it.
	<-begun
	fmt.Println("begun") //nolint:forbidigo // The parent process reads it.
	<-t.Context().Done()
}
