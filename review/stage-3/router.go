package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one process of the deploy file's role, with its settings and its log.
type router struct {
	name, front, ready string
	file, log          string
	command            *exec.Cmd
	done               chan struct{}
}

// command is the command of deploy/system.toml.
const command = "target/platform run deploy/router.json"

// settings are those of a machine of the smallest deployment.
const settings = `nodeName: "%s"
role: "router"
machineClass: "front"
serves: ["front"]
ip: "%s"
zone: "%s"
region: "r"
zones: {z-a: "r", z-b: "r", z-c: "r"}
listen: {front: "%s", readyAddr: "%s"}
internalPortRange: [%d, %d]
seedNodes: []
firstStart: %v
inTolerance: false
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 134, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
faultTolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, failClosed: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 52, recoveryS: 12, passMs: 120, reuseWindowS: 5.3, settle_ms: 1500}
platform: {address: "%s", form: "log", writesPerS: 600, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`

// operationsPort is that of deploy/router.json.
const operationsPort = 9464

// machines counts the loopback addresses that were tried. They differ from those of other runs at the same time.
var machines int

// newRouter returns a router on a loopback address of its own, which has not been started.
func newRouter(s *store, zone string) *router {
	n := len(routers) + 1
	r := &router{name: fmt.Sprintf("front-%s-%d", zone, n)}
	ip := ""
	for range 200 {
		machines++
		ip = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%128, os.Getpid()%250+1, machines%250+1)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, operationsPort)); err == nil {
			_ = l.Close()
			break
		}
		ip = ""
	}
	if ip == "" {
		cannotRun("no loopback address with a free operations port")
	}
	r.front, r.ready = freeAddress(ip), freeAddress(ip)
	r.file, r.log = filepath.Join(folder, r.name+".yaml"), filepath.Join(folder, r.name+".log")
	_, internal, _ := net.SplitHostPort(freeAddress(ip))
	port := 0
	_, _ = fmt.Sscan(internal, &port)
	text := fmt.Sprintf(settings, r.name, ip, zone, r.front, r.ready, port, port, true, s.address)
	check(os.WriteFile(r.file, []byte(text), 0o600))
	routers = append(routers, r)
	return r
}

// freeAddress returns a free port of an address.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the process.
func (r *router) start() {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	words := strings.Fields(command)
	r.command = exec.Command(words[0], words[1:]...)
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "JASMINEVALE_NODE_FILE=" + r.file}
	r.command.Stdout, r.command.Stderr = log, log
	// The process ends with this one, however that ends.
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.command.Start())
	done, c := make(chan struct{}), r.command
	r.done = done
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}()
	note("router %s started, process %d", r.name, c.Process.Pid)
}

// awaitReady waits until the process is ready, or fails the case.
func (r *router) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			note("router %s ready", r.name)
			return
		}
	}
	cannotRun("router " + r.name + " is not ready; its log is " + tail(r.log))
}

func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// kill ends the process at once and waits for its end.
func (r *router) kill() {
	_ = r.command.Process.Kill()
	<-r.done
	note("router %s killed", r.name)
}

// running reports whether the process has not ended.
func (r *router) running() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// tail returns the last lines of a file.
func tail(path string) string {
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-1500):])
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	check(err)
	return l
}
