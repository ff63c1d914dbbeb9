package jvharness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Cluster is a running fleet with its stand-ins.
type Cluster struct {
	Options Options
	// Client is the operators' access to the log.
	Client *jvoperator.Client
	base   int
	timer  *jvtimer.Service

	mu        sync.Mutex
	processes map[string]*Process
	vms       []jvplatform.VM
	addresses map[string]string
}

// Ports of a router, from the cluster's base on.
const (
	portCallers = iota
	portOperators
	portPeers
	portPlatform
	portTargets
	portsUsed = 40
)

// readyLimit is how long a fleet may take to start.
const readyLimit = 20 * time.Second

// Start starts stand-ins and routers, publishes the configuration, and waits until all
// routers are ready.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, timer: jvtimer.NewService(), processes: map[string]*Process{}, addresses: map[string]string{}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	c.base = base
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll() error {
	if err := os.WriteFile(c.file("secret"), []byte("secret of the harness\n"), 0o600); err != nil {
		return errors.Wrap(err, "write secret")
	}
	if err := c.startStandins(); err != nil {
		return err
	}
	for z, zone := range c.Options.Zones {
		for n := 1; n <= c.Options.Routers; n++ {
			if err := c.StartRouter(fmt.Sprintf("%s%d", zone, n), zone, z, n); err != nil {
				return err
			}
		}
	}
	c.Client = jvoperator.NewClient(jvoperator.Options{
		Operator: "harness",
		Stream:   "fleet",
		Log:      jvplatform.NewClient(c.PlatformURL(), &http.Client{}),
		Timer:    c.timer,
		Chance:   jvchance.NewSource(sha256.Sum256([]byte(time.Now().String()))),
		Logger:   logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	if err := c.Client.Ready(ctx); err != nil {
		return err
	}
	if _, err := c.Client.Publish(ctx, "first", c.bundle(), 0); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// Ports are taken from below those that the system gives to outgoing connections, which
// would otherwise now and then hold one of them.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// freePorts finds a range of ports that is free, beginning at a place of this process's own.
func freePorts() (int, error) {
	start := os.Getpid() * portsUsed
	for n := range (lastPort - firstPort) / portsUsed {
		base := firstPort + (start+n*portsUsed)%(lastPort-firstPort)
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no range of ports is free")
}

func portsFree(base int) bool {
	for _, ip := range []string{"127.0.0.1", ZoneIP(0, 1), ZoneIP(1, 1)} {
		for port := base; port <= base+portTargets; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *Cluster) file(name string) string { return filepath.Join(c.Options.Dir, name) }

// ZoneIP returns the IP number of the nth VM of a zone.
func ZoneIP(zone, n int) string { return fmt.Sprintf("127.0.%d.%d", zone+1, n) }

func (c *Cluster) zonesFlag() string {
	var parts []string
	for z, zone := range c.Options.Zones {
		parts = append(parts, fmt.Sprintf("%s=127.0.%d.", zone, z+1))
	}
	return "--zones=" + strings.Join(parts, ",")
}

func (c *Cluster) spawn(name, program string, arguments ...string) error {
	p, err := start(c.Options.Dir, name, filepath.Join(c.Options.Bin, program), arguments...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return nil
}

func (c *Cluster) startStandins() error {
	platform := fmt.Sprintf("127.0.0.1:%d", c.base+portPlatform)
	c.addresses["platform"] = platform
	flags := append([]string{"platform", "--listen=" + platform, c.zonesFlag()}, c.Options.PlatformFlags...)
	if err := c.spawn("platform", "jvstand", flags...); err != nil {
		return err
	}
	for z, zone := range c.Options.Zones {
		for n := 1; n <= c.Options.Engines; n++ {
			name := fmt.Sprintf("engine-%s%d", zone, n)
			c.addresses[name] = fmt.Sprintf("%s:%d", ZoneIP(z, 100+n), c.base+portTargets)
			if err := c.StartTarget(name); err != nil {
				return err
			}
		}
		for n := 1; n <= c.Options.Services; n++ {
			name := fmt.Sprintf("desk-%s%d", zone, n)
			c.addresses[name] = fmt.Sprintf("%s:%d", ZoneIP(z, 200+n), c.base+portTargets)
			if err := c.StartTarget(name); err != nil {
				return err
			}
		}
	}
	return c.await(c.PlatformURL() + "/admin/counts")
}

// StartTarget starts an engine or a service, the first time or after a crash.
func (c *Cluster) StartTarget(name string) error {
	part, flags := "engine", c.Options.EngineFlags
	if strings.HasPrefix(name, "desk-") {
		part, flags = "service", c.Options.ServiceFlags
	}
	arguments := append([]string{part, "--name=" + name, "--listen=" + c.addresses[name], c.zonesFlag()}, flags...)
	if err := c.spawn(name, "jvstand", arguments...); err != nil {
		return err
	}
	return c.await("http://" + c.addresses[name] + "/admin/counts")
}

func (c *Cluster) await(target string) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		response, err := http.Get(target)
		if err == nil {
			_ = response.Body.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Errorf("%s did not start", target)
}

// StartRouter starts the nth router of a zone and puts it on the VM list.
func (c *Cluster) StartRouter(name, zone string, z, n int) error {
	ip := ZoneIP(z, n)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, c.base+port) }
	settings := map[string]any{
		"vm":        name,
		"zone":      zone,
		"address":   ip,
		"callers":   map[string]any{"address": address(portCallers)},
		"operators": map[string]any{"address": address(portOperators)},
		"peers":     map[string]any{"address": address(portPeers), "secret": c.file("secret")},
		"platform":  c.platformSettings(),
		"limits":    c.Options.Limits,
		"log":       map[string]any{"level": 1},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(c.file(name+".json"), data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	c.addresses[name] = address(portCallers)
	if err := c.spawn(name, "jvrouter", "run", c.file(name+".json")); err != nil {
		return err
	}
	vm := jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleEntry, State: jvplatform.VMLive, Address: address(portPeers)}
	return c.setVM(vm)
}

func (c *Cluster) platformSettings() map[string]any {
	settings := map[string]any{"url": c.PlatformURL(), "stream": "fleet"}
	for k, v := range c.Options.Platform {
		settings[k] = v
	}
	return settings
}

func (c *Cluster) setVM(vm jvplatform.VM) error {
	c.mu.Lock()
	kept := []jvplatform.VM{}
	for _, v := range c.vms {
		if v.Name != vm.Name {
			kept = append(kept, v)
		}
	}
	if vm.State != "" {
		kept = append(kept, vm)
	}
	c.vms = kept
	c.mu.Unlock()
	return c.putVMs(kept)
}

// RemoveVM takes a VM off the list, as the platform does some time after it is gone.
func (c *Cluster) RemoveVM(name string) error { return c.setVM(jvplatform.VM{Name: name}) }

// LeavingTarget puts a target on the VM list as leaving.
func (c *Cluster) LeavingTarget(name, zone string) error {
	return c.setVM(jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleTarget, State: jvplatform.VMLeaving})
}

func (c *Cluster) putVMs(vms []jvplatform.VM) error {
	data, err := json.Marshal(vms)
	if err != nil {
		return errors.Wrap(err, "encode VM list")
	}
	request, err := http.NewRequest(http.MethodPut, c.PlatformURL()+"/admin/vms", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "put VM list")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "put VM list")
	}
	return errors.Wrap(response.Body.Close(), "put VM list")
}

func (c *Cluster) bundle() jvoperator.Bundle {
	engines := jvconfig.Pool{Name: Pool, Kind: jvconfig.PoolEngine}
	desk := jvconfig.Pool{
		Name:     Service,
		Kind:     jvconfig.PoolService,
		Deadline: 10_000,
		Attempts: 3,
		Calls: []jvconfig.Call{
			{Method: "GET", Prefix: "/stock/"},
			{Method: "POST", Prefix: "/bookings", Once: true},
			{Method: "POST", Prefix: "/charges", Once: true},
		},
	}
	for _, zone := range c.Options.Zones {
		for n := 1; n <= c.Options.Engines; n++ {
			name := fmt.Sprintf("engine-%s%d", zone, n)
			engines.Targets = append(engines.Targets, jvconfig.Target{Name: name, Zone: zone, Address: c.addresses[name], Slots: 16})
		}
		for n := 1; n <= c.Options.Services; n++ {
			name := fmt.Sprintf("desk-%s%d", zone, n)
			desk.Targets = append(desk.Targets, jvconfig.Target{Name: name, Zone: zone, Address: c.addresses[name], Slots: 64})
		}
	}
	return jvoperator.Bundle{
		Workspaces: []jvconfig.Workspace{
			{Name: Workspace, Keys: []string{jvconfig.KeyDigest(Key)}, Services: []string{Service}},
			{Name: Other, Keys: []string{jvconfig.KeyDigest(OtherKey)}, Services: []string{}},
		},
		Pools:    []jvconfig.Pool{engines, desk},
		Profiles: c.Options.Profiles,
	}
}

// AwaitReady waits until all routers on the list are ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	c.mu.Lock()
	vms := append([]jvplatform.VM(nil), c.vms...)
	c.mu.Unlock()
	for _, v := range vms {
		if v.Role != jvplatform.RoleEntry {
			continue
		}
		for !c.ready(v.Name) {
			if ctx.Err() != nil {
				return errors.Errorf("router %s did not become ready", v.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (c *Cluster) ready(vm string) bool {
	response, err := http.Get(c.OperatorsURL(vm) + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// PlatformURL returns the base URL of the log and the VM list.
func (c *Cluster) PlatformURL() string { return "http://" + c.addresses["platform"] }

// CallersURL returns the base URL of a router's callers' port.
func (c *Cluster) CallersURL(vm string) string { return "http://" + c.addresses[vm] }

// OperatorsPort returns the operators' port of all routers.
func (c *Cluster) OperatorsPort() int { return c.base + portOperators }

// OperatorsURL returns the base URL of a router's operators' port.
func (c *Cluster) OperatorsURL(vm string) string {
	host, _, _ := net.SplitHostPort(c.addresses[vm])
	return fmt.Sprintf("http://%s:%d", host, c.OperatorsPort())
}

// Routers returns the base URLs of the routers that are on the list, by name.
func (c *Cluster) Routers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, v := range c.vms {
		if v.Role == jvplatform.RoleEntry {
			list = append(list, c.CallersURL(v.Name))
		}
	}
	return list
}

// Process returns the process of a name.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Fault switches the faults of a stand-in.
func (c *Cluster) Fault(name string, f jvstandin.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	response, err := http.Post("http://"+c.addresses[name]+"/admin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("set faults of %s: %s", name, response.Status)
	}
	return nil
}

// Dump returns a router's state.
func (c *Cluster) Dump(vm string) (jvfleet.Dump, error) {
	var d jvfleet.Dump
	err := getJSON(c.OperatorsURL(vm)+"/dump", &d)
	return d, err
}

func getJSON(target string, into any) error {
	response, err := http.Get(target)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode "+target)
}

// Close ends every process that the cluster started, each by its own id.
func (c *Cluster) Close() {
	if c.Client != nil {
		c.Client.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(18) // SIGCONT, for one that a test has stopped.
		p.Kill()
	}
	c.timer.Close()
}

// Engines returns the engines as targets, by name.
func (c *Cluster) Engines() []jvconfig.Target {
	for _, p := range c.bundle().Pools {
		if p.Name == Pool {
			return p.Targets
		}
	}
	return nil
}
