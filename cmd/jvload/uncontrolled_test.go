package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvharness"
)

// TestUncontrolledBodies guards against callers that nobody controls and that end a router: many bodies of legal size at once,
// most of which stop just short of their end and stay open. The router keeps its memory, and serves others.
func TestUncontrolledBodies(t *testing.T) {
	const (
		memoryMB = 112
		clients  = 120
		length   = 4_000_000
		sendTime = 8 * time.Second
	)
	body := bytes.Repeat([]byte("x"), length-1)
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", length), "chunks": "Transfer-Encoding: chunked\r\n\r\n3d0900\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := startFleet(t, func(o *jvharness.Options) { o.Limits = map[string]int64{"memory": memoryMB} })
			router := strings.TrimPrefix(c.Routers()[0], "http://")
			var mu sync.Mutex
			var conns []net.Conn
			var sending sync.WaitGroup
			for range clients {
				sending.Go(func() {
					conn, err := net.DialTimeout("tcp", router, sendTime)
					if err != nil {
						return // The router may refuse such clients.
					}
					mu.Lock()
					conns = append(conns, conn)
					mu.Unlock()
					_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
					_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+jvharness.Key+"\r\nContent-Type: application/json\r\n"+head)
					_, _ = conn.Write(body) // The router may close the connection.
				})
			}
			sending.Wait()
			require.NotEmpty(t, conns)
			requireServedAtLast(t, c)
			peak := peakMB(t, c.Process(c.RouterNames()[0]).PID())
			t.Logf("%d MB at the peak", peak)
			require.LessOrEqual(t, peak, memoryMB, "MB of memory")
			for _, conn := range conns {
				_ = conn.Close()
			}
		})
	}
}

// requireServedAtLast requires that the first router serves a request, at once or when it is repeated.
func requireServedAtLast(t *testing.T, c *jvharness.Cluster) {
	t.Helper()
	const limit = 20 * time.Second
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		caller := newCaller(c, 1)
		caller.Routers = caller.Routers[:1]
		if r := sendAll(caller, chatJobs(fmt.Sprint("ordinary-", n), 1)); r[0].Served() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("no ordinary request is served")
}

// peakMB returns the largest resident set that a process has had.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	require.NoError(t, err, "the process has ended")
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kb >> 10
}
