package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvharness"
)

// fleetCommand runs a fleet to try things on.
type fleetCommand struct {
	Bin string `default:"bin" help:"Folder of the programs."`
	Out string `default:"out/fleet" help:"Folder for settings and logs."`
}

// fleetTokens is what each profile is topped up with.
const fleetTokens = 1_000_000

// Run implements the command: it starts the demo's fleet and leaves it running until it is
// interrupted.
func (c *fleetCommand) Run() error {
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "find folder")
	}
	cluster, err := jvharness.Start(jvharness.DefaultOptions(c.Bin, dir))
	if err != nil {
		return err
	}
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, p := range cluster.Options.Profiles {
		if err := cluster.Client.Topup(ctx, "first-"+p.Name, p.Name, fleetTokens); err != nil {
			return err
		}
	}
	say("callers' ports: %v", cluster.Routers())
	say("operator's command: bin/jvctl --platform %s --port %d status", cluster.PlatformURL(), cluster.OperatorsPort())
	for _, e := range cluster.Engines() {
		say("engine %s: http://%s", e.Name, e.Address)
	}
	say("workspace key: %s; profiles: drafts, quick, chat; service: %s", jvharness.Key, jvharness.Service)
	say("Interrupt with Ctrl-C to end all processes.")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}
