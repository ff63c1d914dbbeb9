package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of the routers, the same on all machines of a day. They are below the range of outgoing connections.
const (
	minPort = 12_000
	maxPort = 30_000
)

// router is one router process on a loopback address of its own.
type router struct {
	name    string
	zone    string
	ip      string
	store   string
	command *exec.Cmd
	done    chan struct{}
}

// fleet is a set of routers that run as processes, with settings like those of a small deployment.
type fleet struct {
	dir     string
	store   *store
	network string
	// front, ready and internal are the ports.
	front, ready, internal int
	routers                []*router
}

// newFleet returns a fleet without routers on a random loopback network.
func newFleet(dir string, store *store) *fleet {
	return &fleet{
		dir: dir, store: store, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
		front: minPort + rand.IntN(5000), ready: 18_000 + rand.IntN(5000), internal: 24_000 + rand.IntN(maxPort-24_000),
	}
}

// bounds and limits are those of the sheet of dunmore-quay.
const nodeSettings = `nodeName: %q
role: "router"
machineClass: "front"
serves: ["front"]
ip: %q
zone: %q
region: "scot-central"
zones: {scot-central-a: "scot-central", scot-central-b: "scot-central", scot-central-c: "scot-central"}
listen:
  front: "%s:%d"
  readyAddr: "%s:%d"
internalPortRange: [%d, %d]
firstStart: %t
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 134, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, failClosed: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  budgetWindowS: 10, budgetSlack: 52, recoveryS: 12, passMs: 120, reuseWindowS: 5.3, settle_ms: 1500}
platform: {address: %q, form: "log", writesPerS: 600, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0,
  recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`

// add starts one more router, with the command of the deploy file.
func (f *fleet) add(zone string) *router {
	n := len(f.routers) + 1
	r := &router{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", f.network, n)}
	r.store = f.store.address(r.name)
	f.routers = append(f.routers, r)
	f.start(r, true)
	return r
}

// start starts a router's process.
func (f *fleet) start(r *router, first bool) {
	file := filepath.Join(f.dir, r.name+".yaml")
	text := fmt.Sprintf(nodeSettings, r.name, r.ip, r.zone, r.ip, f.front, r.ip, f.ready, f.internal, f.internal+15, first, r.store)
	must(os.WriteFile(file, []byte(text), 0o600))
	output, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	r.command = exec.Command("target/platform", "run", "deploy/router.json")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINEVALE_NODE_FILE=" + file}
	r.command.Stdout, r.command.Stderr = output, output
	processes.start(r.command)
	r.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = output.Close()
		close(done)
	}(r.command, r.done)
}

// address returns a router's address for clients.
func (f *fleet) address(r *router) string { return fmt.Sprintf("%s:%d", r.ip, f.front) }

// waitReady waits until all routers are ready, and returns false if they are not in time.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if f.isReady(r) {
				ready++
			}
		}
		if ready == len(f.routers) {
			return true
		}
	}
	return false
}

func (f *fleet) isReady(r *router) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", r.ip, f.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to a router's process.
func (r *router) signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// ended reports whether a router's process has ended.
func (r *router) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// kill ends a router's process, also if it is stopped, and waits for that.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.done
}

// close ends all processes.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
}
