package jvharness

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Cluster is a running fleet with its stand-ins.
type Cluster struct {
	Options Options
	// Client is an operator's access to the log.
	Client   *jvoperator.Client
	basePort int
	timer    *jvtimer.Service

	mu        sync.Mutex
	processes map[string]*Process
	vms       []jvplatform.VM
	// addresses holds the IP:port of each stand-in, and of each router's port for callers.
	addresses map[string]string
}

// startTimeout bounds the start of each process, and the wait until the fleet is ready.
const startTimeout = 20 * time.Second

// Start starts the stand-ins and the routers, publishes the configuration, and waits until
// all routers are ready. Where it fails, it ends the processes that it started.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, timer: jvtimer.NewService(), processes: map[string]*Process{}, addresses: map[string]string{}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	base, err := findFreePorts()
	if err != nil {
		return nil, err
	}
	c.basePort = base
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll() error {
	if err := os.WriteFile(c.filePath("secret"), []byte("secret of the harness\n"), 0o600); err != nil {
		return errors.Wrap(err, "write secret")
	}
	if err := c.startStandIns(); err != nil {
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
		Random:   jvchance.NewSource(sha256.Sum256([]byte(time.Now().String()))),
		Logger:   logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := c.Client.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := c.Client.Publish(ctx, "first", c.bundle(), 0); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

func (c *Cluster) filePath(name string) string { return filepath.Join(c.Options.Dir, name) }

// zonesFlag returns the flag that gives the stand-ins the address prefix of each zone.
func (c *Cluster) zonesFlag() string {
	var parts []string
	for z, zone := range c.Options.Zones {
		parts = append(parts, fmt.Sprintf("%s=127.0.%d.", zone, z+1))
	}
	return "--zones=" + strings.Join(parts, ",")
}

// startProcess starts a program from a directory and registers the process under name.
func (c *Cluster) startProcess(name, bin, program string, arguments ...string) error {
	p, err := start(c.Options.Dir, name, filepath.Join(bin, program), arguments...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return nil
}

func (c *Cluster) startStandIns() error {
	platform := fmt.Sprintf("127.0.0.1:%d", c.basePort+portPlatform)
	c.addresses["platform"] = platform
	flags := append([]string{"platform", "--listen=" + platform, c.zonesFlag()}, c.Options.PlatformFlags...)
	if err := c.startProcess("platform", c.Options.Bin, "jvstand", flags...); err != nil {
		return err
	}
	for z, zone := range c.Options.Zones {
		for n := 1; n <= c.Options.Engines; n++ {
			name := fmt.Sprintf("engine-%s%d", zone, n)
			c.addresses[name] = fmt.Sprintf("%s:%d", ZoneIP(z, 100+n), c.basePort+portTargets)
			if err := c.StartTarget(name); err != nil {
				return err
			}
		}
		for n := 1; n <= c.Options.Services; n++ {
			name := fmt.Sprintf("desk-%s%d", zone, n)
			c.addresses[name] = fmt.Sprintf("%s:%d", ZoneIP(z, 200+n), c.basePort+portTargets)
			if err := c.StartTarget(name); err != nil {
				return err
			}
		}
	}
	return c.waitResponse(c.PlatformURL() + "/admin/counts")
}

// StartTarget starts an engine or a service, for the first time or after a crash, and waits
// until it responds.
func (c *Cluster) StartTarget(name string) error {
	part, flags := "engine", c.Options.EngineFlags
	if strings.HasPrefix(name, "desk-") {
		part, flags = "service", c.Options.ServiceFlags
	}
	arguments := append([]string{part, "--name=" + name, "--listen=" + c.addresses[name], c.zonesFlag()}, flags...)
	if err := c.startProcess(name, c.Options.Bin, "jvstand", arguments...); err != nil {
		return err
	}
	return c.waitResponse("http://" + c.addresses[name] + "/admin/counts")
}

// waitResponse waits until an HTTP server responds at a URL.
func (c *Cluster) waitResponse(url string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Errorf("%s did not start", url)
}

// StartRouter starts the nth router, from 1, of the zone with index z and puts it on the VM
// list.
func (c *Cluster) StartRouter(name, zone string, z, n int) error {
	ip := ZoneIP(z, n)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, c.basePort+port) }
	settings := map[string]any{
		"vm":        name,
		"zone":      zone,
		"address":   ip,
		"callers":   map[string]any{"address": address(portCallers)},
		"operators": map[string]any{"address": address(portOperators)},
		"peers":     map[string]any{"address": address(portPeers), "secret": c.filePath("secret")},
		"platform":  c.platformSettings(),
		"limits":    c.Options.Limits,
		"log":       map[string]any{"level": 1},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(c.filePath(name+".json"), data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	c.addresses[name] = address(portCallers)
	bin := c.Options.RouterBin
	if bin == "" {
		bin = c.Options.Bin
	}
	if err := c.runRouter(name, bin); err != nil {
		return err
	}
	vm := jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleEntry, State: jvplatform.VMLive, Address: address(portPeers)}
	return c.setVM(vm)
}

// runRouter starts a router's process with the settings that it has.
func (c *Cluster) runRouter(name, bin string) error {
	return c.startProcess(name, bin, "jvrouter", "run", c.filePath(name+".json"))
}

// ReplaceRouter ends a router's process, by a stop or a kill, starts the program in the directory bin in its place, and
// waits until that is ready, until ctx ends at the latest.
func (c *Cluster) ReplaceRouter(ctx context.Context, name, bin string, kill bool) error {
	p := c.Process(name)
	if kill {
		p.Kill()
	} else if !p.Stop(startTimeout) {
		return errors.Errorf("router %s did not stop", name)
	}
	if err := c.runRouter(name, bin); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

func (c *Cluster) platformSettings() map[string]any {
	settings := map[string]any{"url": c.PlatformURL(), "stream": "fleet"}
	for k, v := range c.Options.PlatformSettings {
		settings[k] = v
	}
	return settings
}

// Close kills every process that the cluster started, each by its process ID.
func (c *Cluster) Close() {
	if c.Client != nil {
		c.Client.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(18) // SIGCONT, in case a test stopped the process.
		p.Kill()
	}
	c.timer.Close()
}
