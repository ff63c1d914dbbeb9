// Command stage plays one case: it starts the router's processes, a store, servers and clients on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Results of a case, which are the exit status.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// play is what all cases share.
type play struct {
	trouble bool
	root    string
	dir     string
	net     string
	store   *store
	targets []*target
	routers []*router
	stopAll chan struct{}
	started time.Time
	// engines is the number of engines, or 0; versions returns the version of each one's software, or is nil, services its
	// service, or is nil. deskVersion is the version of the plain servers, or empty.
	engines     int
	versions    func(n int) string
	services    func(n int) string
	deskVersion string
	// clients are the open connections of clients.
	clients clientConns

	recordMu sync.Mutex
	out      *bufio.Writer
	sent     atomic.Int64
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE REPOSITORY RECORD")
		return resultNotRun
	}
	cases := map[string]func(*play) int{"budget": playBudget, "config": playConfig, "order": playOrder, "path": playPath, "poison": playPoison, "split": playSplit, "begun": playBegun, "canary": playCanary, "leave": playLeave, "ids": playIDs, "headers": playHeaders, "bodies": playBodies, "frozen": playFrozen, "strides": playStrides, "term": playTerm, "digest": playDigest, "tag": playTag, "weights": playWeights, "late": playLate}
	c, ok := cases[os.Args[1]]
	if !ok {
		return resultNotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		return resultNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return resultNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", root: os.Args[2], dir: dir, started: time.Now(), out: bufio.NewWriter(file), stopAll: make(chan struct{})}
	p.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	go func() { // A case may run for 120 s.
		time.Sleep(115 * time.Second)
		p.note("not run: it takes too long")
		for _, r := range p.routers {
			_ = r.command.Process.Kill()
		}
		os.Exit(resultNotRun)
	}()
	result := c(p)
	close(p.stopAll)
	for _, r := range p.routers {
		if r.command != nil {
			_ = r.command.Process.Kill()
			<-r.exited
		}
	}
	p.note("exit %d", result)
	p.recordMu.Lock()
	_ = p.out.Flush()
	p.recordMu.Unlock()
	return result
}

// record writes a line with the time since the start.
func (p *play) record(format string, args ...any) {
	p.recordMu.Lock()
	defer p.recordMu.Unlock()
	_, _ = fmt.Fprintf(p.out, "%8.3f "+format+"\n", append([]any{time.Since(p.started).Seconds()}, args...)...)
}

// note is record, and shows the line.
func (p *play) note(format string, args ...any) {
	p.record(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(p.started).Seconds()}, args...)...)
}

var zones = []string{"scot-central-a", "scot-central-b", "scot-central-c"}

// engines is the number of engines unless the case has another one.
const engines = 8

// build starts a store, servers and routers like those of a small deployment, and waits until the routers are ready.
func (p *play) build(routers, memoryMb int, config []byte, eventPause time.Duration) error {
	var err error
	if p.store, err = newStore(p.net + "250:0"); err != nil {
		return err
	}
	if p.engines == 0 {
		p.engines = engines
	}
	for n := range p.engines {
		t, err := newTarget(fmt.Sprintf("i-engine%d", n), "llm", zones[n%3], fmt.Sprintf("%s%d:0", p.net, 100+n), true, 64, eventPause, p.record)
		if err != nil {
			return err
		}
		if p.versions != nil {
			t.version = p.versions(n)
		}
		if p.services != nil {
			t.service = p.services(n)
		}
		p.targets = append(p.targets, t)
	}
	for n := range 3 {
		t, err := newTarget(fmt.Sprintf("i-desk%d", n), "desk", zones[n], fmt.Sprintf("%s%d:0", p.net, 120+n), false, 6, 15*time.Millisecond, p.record)
		if err != nil {
			return err
		}
		if p.deskVersion != "" {
			t.version = p.deskVersion
		}
		p.targets = append(p.targets, t)
	}
	p.store.put("keyed.op", "config", config)
	for _, t := range p.targets {
		go t.beat(p.store, p.stopAll)
	}
	for n := range routers {
		r := &router{name: fmt.Sprintf("front-%d", n+1), zone: zones[n%3], ip: fmt.Sprintf("%s%d", p.net, n+1), dir: p.dir, root: p.root, memoryMb: memoryMb}
		r.front, r.ready = fmt.Sprintf("%s:%d", r.ip, frontPort), fmt.Sprintf("%s:%d", r.ip, readyPort)
		p.routers = append(p.routers, r)
		if err := r.run(true, p.store.address()); err != nil {
			return err
		}
	}
	for _, r := range p.routers {
		if !r.waitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready; its log ends with %s", r.name, r.logTail())
		}
	}
	return nil
}

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	signed bool
	whole  bool
	// tokens is the number of output tokens that were delivered.
	tokens int
	// server is the id of the server by its signature.
	server string
	// last is the id of the last event.
	last string
	// versions are the versions of the servers whose events were delivered.
	versions map[byte]int
	err      error
}

// send sends one request to a router on a connection of its own.
func (p *play) send(r *router, method, path, key, usage string, deadline time.Duration) answer {
	return p.sendWith(r, method, path, key, usage, "", deadline)
}

// readPatiently reads a body. A client abandons a stream after a gap of two seconds.
func readPatiently(body io.Reader, abandon func()) (data []byte, err error) {
	const longestGap = 2 * time.Second
	timer := time.AfterFunc(longestGap, abandon)
	defer timer.Stop()
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		data = append(data, buffer[:n]...)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		timer.Reset(longestGap)
	}
}

// sendWith is send with the parts of the prompt, one of the request's own if they are empty, and further headers or a body.
func (p *play) sendWith(r *router, method, path, key, usage, parts string, deadline time.Duration, extra ...string) answer {
	id := fmt.Sprintf("%016x", p.sent.Add(1))
	var body io.Reader
	if len(extra) == 2 && extra[0] == "body" {
		body, extra = strings.NewReader(extra[1]), nil
	}
	request, err := http.NewRequest(method, "http://"+r.front+path, body)
	if err != nil {
		return answer{err: err}
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	if usage != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", usage)
		prompt, _, _ := strings.Cut(usage, ",")
		if parts == "" {
			parts = id[8:] + ":" + prompt
		}
		request.Header.Set("X-Prefix-Hash", parts)
	}
	for n := 0; n+1 < len(extra); n += 2 {
		request.Header.Set(extra[n], extra[n+1])
	}
	p.record("sent id=%s router=%s path=%s key=%s usage=%s %s", id, r.name, path, key, usage, strings.Join(extra, " "))
	dialer := net.Dialer{Timeout: time.Second}
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: p.clients.dialTo(r, dialer.DialContext)}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := c.Do(request.WithContext(ctx))
	if err != nil {
		p.record("answer id=%s none: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readPatiently(response.Body, cancel)
	a := answer{id: id, status: response.StatusCode, signed: response.Header.Get("X-Server-Signature") != "", whole: err == nil, err: err}
	if parts := strings.Split(response.Header.Get("X-Server-Signature"), "."); len(parts) == 3 {
		a.server = parts[1]
	}
	if usage != "" && a.signed {
		a.versions = map[byte]int{}
		complete := data[:bytes.LastIndex(data, []byte("\n\n"))+1]
		for _, line := range strings.Split(string(complete), "\n") {
			if text, ok := strings.CutPrefix(line, "id: "); ok {
				a.last = text
			}
			if text, ok := strings.CutPrefix(line, "data: "); ok {
				a.tokens += len(text)
				a.versions[text[0]]++
			}
		}
	}
	cause := ""
	if response.StatusCode >= 400 {
		cause = string(data)
	}
	versions := ""
	for v, events := range a.versions {
		versions += fmt.Sprintf(" v%c:%d", v, events)
	}
	p.record("answer id=%s status=%d signed=%v whole=%v tokens=%d events by version:%s %s", id, a.status, a.signed, a.whole, a.tokens, versions, cause)
	return a
}
