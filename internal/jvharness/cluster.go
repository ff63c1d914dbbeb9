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
	// Client is the operators' access to the log.
	Client *jvoperator.Client
	base   int
	timer  *jvtimer.Service

	mu        sync.Mutex
	processes map[string]*Process
	vms       []jvplatform.VM
	addresses map[string]string
}

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
	if err := c.Client.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := c.Client.Publish(ctx, "first", c.bundle(), 0); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

func (c *Cluster) file(name string) string { return filepath.Join(c.Options.Dir, name) }

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
