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

// fleetCommand is the command "fleet".
type fleetCommand struct {
	Bin string `default:"bin" help:"Directory of the built programs."`
	Out string `default:"out/fleet" help:"Directory for settings and logs."`
}

// fleetTokens is the number of tokens in each profile's budget.
const fleetTokens = 1_000_000

// Run starts a fleet of the default size and leaves it running until it is interrupted.
func (c *fleetCommand) Run() error {
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "resolve output directory")
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
	printLine("callers' ports: %v", cluster.Routers())
	printLine("operators' command line: bin/jvctl --platform %s --port %d status", cluster.PlatformURL(), cluster.OperatorsPort())
	for _, e := range cluster.Engines() {
		printLine("engine %s: http://%s", e.Name, e.Address)
	}
	printLine("workspace key: %s; profiles: drafts, quick, chat; service: %s", jvharness.Key, jvharness.Service)
	printLine("Press Ctrl-C to stop all processes.")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}
