package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is one process of the deploy file's role.
type router struct {
	name, zone, ip string
	dir, root      string
	memoryMb       int
	front, ready   string
	command        *exec.Cmd
	exited         chan struct{}
	starts         int
}

// run starts the program with the words of the deploy file.
func (r *router) run(first bool, storeAddress string) error {
	settings := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "front"
serves: ["front"]
ip: %q
zone: %q
region: "scot-central"
listen:
  front: %q
  readyAddr: %q
internalPortRange: [%d, %d]
firstStart: %v
inTolerance: false
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
faultTolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, failClosed: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 52, recoveryS: 12, passMs: 120, reuseWindowS: 5.3, settle_ms: 1500}
platform: {address: %q, form: "log", writesPerS: 600, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`, r.name, r.ip, r.zone, r.front, r.ready, internalPort, internalPort+15, first, r.memoryMb, storeAddress)
	file := filepath.Join(r.dir, r.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	r.starts++
	log, err := os.Create(filepath.Join(r.dir, r.name+"."+strconv.Itoa(r.starts)+".log"))
	if err != nil {
		return err
	}
	r.command = exec.Command("target/platform", "run", "deploy/router.json")
	r.command.Dir = r.root
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "JASMINEVALE_NODE_FILE=" + file}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	command := r.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// isReady asks like the platform's balancer.
func (r *router) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (r *router) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (r *router) stop() {
	const grace = 8 * time.Second
	_ = r.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(grace):
		_ = r.command.Process.Kill()
		<-r.exited
	}
}

// residentKb returns the memory of the process that is its own, without pages of files, or 0 if it has ended.
func (r *router) residentKb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// Ports of a router at its own address, below those that the system gives to outgoing connections.
const (
	internalPort = 20000 // And 15 more.
	frontPort    = 20100
	readyPort    = 20101
)

// logTail returns the last bytes of what the router's process has written.
func (r *router) logTail() string {
	const most = 2000
	data, _ := os.ReadFile(filepath.Join(r.dir, r.name+"."+strconv.Itoa(r.starts)+".log"))
	return string(data[max(0, len(data)-most):])
}
