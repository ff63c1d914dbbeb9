package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvharness"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// buildsCommand is the command "builds".
type buildsCommand struct {
	From  string  `arg:"" help:"Commit of this repository whose router runs first."`
	To    string  `help:"Commit whose router replaces it; by default the router in --bin."`
	Bin   string  `default:"bin" help:"Directory of the built programs."`
	Out   string  `default:"out/builds" help:"Directory for builds, settings and logs."`
	Rate  float64 `default:"40" help:"Jobs per second."`
	Zones int     `default:"3" help:"Number of zones, with two routers each."`
}

// settleTime is the time before a kill in which a router names new witnesses for those that were replaced before. Until then,
// builds up to landing 9 have no copies of its bills.
const settleTime = 3 * time.Second

// replaceTimeout bounds the replacement of a router: its stop, and the start of the next process until it is ready.
const replaceTimeout = 40 * time.Second

// Run starts a fleet on one build and replaces its routers one by one by another build and back, under load. Some of them
// are killed rather than stopped, and the log is slow for a part of the time. It returns an error if a guarantee was
// violated, or if a router could not read what another one wrote.
func (c *buildsCommand) Run() error {
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "resolve output directory")
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Wrap(err, "clear output directory")
	}
	from, err := buildRouter(c.From, filepath.Join(dir, "from"))
	if err != nil {
		return err
	}
	to := c.Bin
	if c.To != "" {
		if to, err = buildRouter(c.To, filepath.Join(dir, "to")); err != nil {
			return err
		}
	}
	options := jvharness.DefaultOptions(c.Bin, filepath.Join(dir, "run"))
	options.Zones = options.Zones[:min(c.Zones, len(options.Zones))]
	options.RouterBin = from
	options.Profiles = append(options.Profiles, jvharness.Profile("small"))
	printLine("Starting a fleet of %d routers of %s.", len(options.Zones)*options.Routers, c.From)
	cluster, err := jvharness.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, summary: &jvcaller.Summary{}, rate: c.Rate}
	if err := d.topUp(context.Background()); err != nil {
		return err
	}
	err = d.loadDuring(context.Background(), func(ctx context.Context) error { return d.replaceAll(ctx, from, to) })
	if err != nil {
		return err
	}
	if err := checkLogs(options.Dir); err != nil {
		return err
	}
	return d.checkGuarantees()
}

// buildRouter builds the router of a commit into a directory, and returns the directory of the program.
func buildRouter(commit, dir string) (string, error) {
	source, bin := filepath.Join(dir, "source"), filepath.Join(dir, "bin")
	if err := os.MkdirAll(source, 0o700); err != nil {
		return "", errors.Wrap(err, "create directory")
	}
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", errors.Wrap(err, "find the repository")
	}
	archive := exec.Command("sh", "-c", `git archive "$0" internal platform cmd go.work go.work.sum | tar -x -C "$1"`, commit, source)
	archive.Dir = strings.TrimSpace(string(top))
	if out, err := archive.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "read commit %s: %s", commit, out)
	}
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/jvrouter")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build commit %s: %s", commit, out)
	}
	return bin, nil
}

// loadDuring sends load until run returns.
func (d *demo) loadDuring(ctx context.Context, run func(context.Context) error) error {
	const part = 2 * time.Second // The load goes on in parts, as its length is not known.
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := uint64(1); ; n++ {
			load := d.load(part)
			load.Seed, load.KeyPrefix = n, fmt.Sprintf("load-%d-", n)
			load.Run(ctx, d.summary)
			select {
			case <-ended:
				return
			default:
			}
		}
	}()
	err := run(ctx)
	close(ended)
	<-done
	jvcaller.WriteText(os.Stdout, d.summary.Report())
	return err
}

// replacement is the replacement of a router by one of another build.
type replacement struct {
	name string
	bin  string
	// build names the build in the output.
	build string
	kill  bool
	// slow makes the log slow meanwhile.
	slow bool
}

// replacements returns the replacements of all routers, of half of them back, and of one of these again. No router is
// stopped soon after another one was killed while both are of the earlier build: builds up to landing 9 lose the copies of
// bills that they hold when they stop.
func replacements(names []string, from, to string) []replacement {
	var all []replacement
	for i, n := range names {
		all = append(all, replacement{name: n, bin: to, build: "later", slow: i%2 == 1})
	}
	for i, n := range names[:len(names)/2] {
		all = append(all, replacement{name: n, bin: from, build: "earlier", kill: i == 0, slow: i%2 == 1})
	}
	return append(all, replacement{name: names[0], bin: to, build: "later", kill: true})
}

// replaceAll replaces routers one by one.
func (d *demo) replaceAll(ctx context.Context, from, to string) error {
	for _, r := range replacements(d.cluster.RouterNames(), from, to) {
		if r.slow {
			if err := d.cluster.SetFaults("platform", jvstandin.Faults{SlowMs: 100}); err != nil {
				return err
			}
		}
		if r.kill {
			time.Sleep(settleTime)
		}
		started := time.Now()
		limited, cancel := context.WithTimeout(ctx, replaceTimeout)
		err := d.cluster.ReplaceRouter(limited, r.name, r.bin, r.kill)
		cancel()
		if err != nil {
			return err
		}
		printLine("Replaced router %s by one of the %s build: killed=%t, log slow=%t, ready after %.1f s.", r.name, r.build, r.kill, r.slow, time.Since(started).Seconds())
		if err := d.cluster.SetFaults("platform", jvstandin.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// checkLogs returns an error if a router's log shows a message or a record of another build that it can't read, or a panic.
func checkLogs(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return errors.Wrap(err, "list logs")
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		for line := range strings.Lines(string(data)) {
			for _, bad := range []string{"can't be decoded", "malformed", "panic:"} {
				if strings.Contains(line, bad) {
					return errors.Errorf("%s: %s", filepath.Base(f), strings.TrimSpace(line))
				}
			}
		}
	}
	return nil
}
