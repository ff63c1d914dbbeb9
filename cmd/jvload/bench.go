package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvharness"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// benchCommand measures what a router adds.
type benchCommand struct {
	Bin      string        `default:"bin" help:"Folder of the programs."`
	Out      string        `default:"out/bench" help:"Folder for settings and logs."`
	Rate     float64       `default:"300" help:"Requests a second."`
	Duration time.Duration `default:"10s" help:"Length of each part."`
}

// benchOutput is the largest answer in tokens.
const benchOutput = 16

// benchReport is the bench's last line.
type benchReport struct {
	Rate   float64            `json:"rate"`
	Direct jvcaller.Quantiles `json:"direct"`
	Router jvcaller.Quantiles `json:"router"`
	// Gaps are the times between tokens.
	DirectGap jvcaller.Quantiles `json:"directgap"`
	RouterGap jvcaller.Quantiles `json:"routergap"`
	// AddedP50 and AddedP99 are added to the first token, in milliseconds.
	AddedP50 float64 `json:"addedp50"`
	AddedP99 float64 `json:"addedp99"`
	RatioP50 float64 `json:"ratiop50"`
	Served   int     `json:"served"`
	Sent     int     `json:"sent"`
}

// Run implements the command: the same load straight at the engines and through the routers,
// one after the other, on one fleet.
func (c *benchCommand) Run() error {
	if err := os.RemoveAll(c.Out); err != nil {
		return errors.Wrap(err, "clear folder")
	}
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "find folder")
	}
	options := jvharness.DefaultOptions(c.Bin, dir)
	for i := range options.Profiles {
		options.Profiles[i].AheadPercent = 80
	}
	cluster, err := jvharness.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	ctx := context.Background()
	if err := cluster.Client.Topup(ctx, "bench", "chat", 1_000_000_000); err != nil {
		return err
	}
	c.throughRouters(ctx, cluster, 2*time.Second, "warm")
	direct := c.straight(ctx, cluster)
	routed := c.throughRouters(ctx, cluster, c.Duration, "run")
	report := benchReport{
		Rate:      c.Rate,
		Direct:    jvcaller.QuantilesOf(direct.first),
		DirectGap: jvcaller.QuantilesOf(direct.gaps),
		Router:    routed.FirstToken,
		RouterGap: routed.Gap,
		Served:    routed.Served,
		Sent:      routed.Sent,
	}
	report.AddedP50 = report.Router.P50 - report.Direct.P50
	report.AddedP99 = report.Router.P99 - report.Direct.P99
	report.RatioP50 = report.Router.P50 / report.Direct.P50
	say("first token ms: straight p50 %.2f p99 %.2f; through a router p50 %.2f p99 %.2f", report.Direct.P50, report.Direct.P99, report.Router.P50, report.Router.P99)
	say("between tokens ms: straight p50 %.2f p99 %.2f; through a router p50 %.2f p99 %.2f", report.DirectGap.P50, report.DirectGap.P99, report.RouterGap.P50, report.RouterGap.P99)
	return json.NewEncoder(os.Stdout).Encode(report)
}

func (c *benchCommand) throughRouters(ctx context.Context, cluster *jvharness.Cluster, d time.Duration, prefix string) *jvcaller.KindReport {
	load := &jvcaller.Load{
		Caller:   &jvcaller.Caller{Routers: cluster.Routers(), Key: jvharness.Key, HTTP: callersClient(), MaxAttempts: 1},
		Rate:     c.Rate,
		Duration: d,
		Mix:      map[jvcaller.Kind]float64{jvcaller.KindChat: 1},
		Profiles: map[jvcaller.Kind]string{jvcaller.KindChat: "chat"},
		MaxTokens:   benchOutput,
		Seed:     1,
		KeyPrefix:   prefix + "-",
	}
	var summary jvcaller.Summary
	load.Run(ctx, &summary)
	return summary.Report()["all"]
}

// samples are times of the straight load.
type samples struct {
	mu    sync.Mutex
	first []time.Duration
	gaps  []time.Duration
}

// straight sends the load to the engines in turn, without a router.
func (c *benchCommand) straight(ctx context.Context, cluster *jvharness.Cluster) *samples {
	timer := jvtimer.NewService()
	defer timer.Close()
	transport := &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}
	client := jvengine.NewClient(transport, timer, time.Minute)
	engines := cluster.Engines()
	s := &samples{}
	var running sync.WaitGroup
	started := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / c.Rate * float64(time.Second))
		if due >= c.Duration {
			break
		}
		time.Sleep(due - time.Since(started))
		running.Add(1)
		go func() {
			defer running.Done()
			s.one(ctx, client, engines[n%len(engines)])
		}()
	}
	running.Wait()
	return s
}

func (s *samples) one(ctx context.Context, client *jvengine.Client, target jvconfig.Target) {
	// The prompts begin alike, as those of the callers do, so that both fill the prefix cache.
	text := string(bytes.Repeat([]byte("x"), 574)) + rand.Text()
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	if err != nil {
		return
	}
	started := time.Now()
	last := started
	var first time.Duration
	var gaps []time.Duration
	attempt := jvengine.Attempt{ID: rand.Text(), Model: "straight", Messages: messages, MaxOutput: benchOutput, Priority: 5}
	_, err = client.Generate(ctx, target, attempt, func(string) {
		now := time.Now()
		if first == 0 {
			first = now.Sub(started)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "straight:", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = append(s.first, first)
	s.gaps = append(s.gaps, gaps...)
}
