package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// memoryKB is limits.memoryMb of the settings.
	memoryKB = 134 << 10
	// pressing is the number of clients that press, at each router.
	pressing = 1200
	// pressTime is how long they do.
	pressTime = 60 * time.Second
)

// anonymousKB returns the anonymous memory of a process: not the pages of its program, which are those of a file.
func anonymousKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	n := 0
	_, _ = fmt.Sscan(rest, &n)
	return n
}

// guard is what the platform does: it ends a process that exceeds its machine's memory, and starts it again.
func (r *router) guard(ends *atomic.Int64, peak *atomic.Int64, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
		n := anonymousKB(r.command.Process.Pid)
		peak.Store(max(peak.Load(), int64(n)))
		if n <= memoryKB {
			continue
		}
		note("router %s has %d kB of memory, more than the %d kB of its machine", r.name, n, memoryKB)
		r.kill()
		ends.Add(1)
		time.Sleep(time.Second)
		r.start()
	}
}

// manyFields returns header fields without values, in less than maxHeaderBytes with the rest of the head.
func manyFields() string {
	var b strings.Builder
	for n := 0; b.Len() < 15600; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// press sends requests with chunked bodies that stop just short of their end, and keeps each connection until it is closed.
func press(r *router, until time.Time, sent *atomic.Int64) {
	fields := manyFields()
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", r.front, time.Second)
		if err == nil {
			q := &request{id: newID(), method: "PUT", path: "/stock/x", deadline: 10 * time.Second}
			head := strings.TrimSuffix(q.head(), "\r\n") + fields + "Transfer-Encoding: chunked\r\n\r\n"
			_, err = io.WriteString(c, head+strings.Repeat("4\r\nbody\r\n", 400))
			sent.Add(1)
			_ = c.SetReadDeadline(until)
			if err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
			_ = c.Close()
		}
		time.Sleep(time.Second)
	}
}

// memory: clients that nobody controls, with many header fields and bodies that stop just short of their end.
func memory() {
	s := newStore()
	for n := range 3 {
		newServer(s, fmt.Sprint("i-d", n+1), "desk", "v1", false)
	}
	list := deploy(s, 2, 1000000)
	time.Sleep(3 * time.Second)
	until := time.Now().Add(pressTime)
	var sent atomic.Int64
	ends, peaks := make([]atomic.Int64, len(list)), make([]atomic.Int64, len(list))
	for n, r := range list {
		go r.guard(&ends[n], &peaks[n], until)
		if trouble {
			for range pressing {
				go press(r, until, &sent)
			}
		}
	}
	served, failed := 0, 0
	for n := 0; time.Now().Before(until); n++ {
		if a := call(list[n%len(list)].front, booking()); a.status == 200 {
			served++
		} else {
			failed++
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	note("the clients that press sent %d requests; ordinary ones: %d served, %d not", sent.Load(), served, failed)
	over := 0
	for n, r := range list {
		note("router %s: ended %d times for its memory, at most %d kB", r.name, ends[n].Load(), peaks[n].Load())
		if ends[n].Load() >= 3 {
			over++
		}
	}
	if over >= 2 {
		broken("%d routers of %d exceeded their memory three times or more (%d and %d)", over, len(list), ends[0].Load(), ends[1].Load())
	}
	held("ends for memory: %d and %d, at most %d and %d kB of %d", ends[0].Load(), ends[1].Load(), peaks[0].Load(), peaks[1].Load(), memoryKB)
}
