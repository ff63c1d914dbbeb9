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

// benchCommand is the command "bench".
type benchCommand struct {
	Bin      string        `default:"bin" help:"Directory of the built programs."`
	Out      string        `default:"out/bench" help:"Directory for settings and logs."`
	Rate     float64       `default:"300" help:"Requests per second."`
	Duration time.Duration `default:"10s" help:"Duration of each of the two loads."`
}

// maxOutputTokens is the maximum number of tokens in an answer.
const maxOutputTokens = 16

// benchReport is the report of the command, written as its last line.
type benchReport struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Direct and Router are the times to the first token, in milliseconds.
	Direct jvcaller.Quantiles `json:"direct"`
	Router jvcaller.Quantiles `json:"router"`
	// DirectGap and RouterGap are the times between tokens, in milliseconds.
	DirectGap jvcaller.Quantiles `json:"directgap"`
	RouterGap jvcaller.Quantiles `json:"routergap"`
	// AddedP50 and AddedP99 are the differences in the time to the first token, in milliseconds.
	AddedP50 float64 `json:"addedp50"`
	AddedP99 float64 `json:"addedp99"`
	// RatioP50 is the median time to the first token through a router, relative to direct requests.
	RatioP50 float64 `json:"ratiop50"`
	// Served and Sent count the requests through routers.
	Served int `json:"served"`
	Sent   int `json:"sent"`
}

// Run sends the same load directly to the engines and then through the routers of one fleet,
// and reports the difference in latency.
func (c *benchCommand) Run() error {
	if err := os.RemoveAll(c.Out); err != nil {
		return errors.Wrap(err, "clear output directory")
	}
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "resolve output directory")
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
	c.measureRouted(ctx, cluster, 2*time.Second, "warm")
	direct := c.measureDirect(ctx, cluster)
	routed := c.measureRouted(ctx, cluster, c.Duration, "run")
	report := benchReport{
		Rate:      c.Rate,
		Direct:    jvcaller.QuantilesOf(direct.firstTokens),
		DirectGap: jvcaller.QuantilesOf(direct.gaps),
		Router:    routed.FirstToken,
		RouterGap: routed.Gap,
		Served:    routed.Served,
		Sent:      routed.Sent,
	}
	report.AddedP50 = report.Router.P50 - report.Direct.P50
	report.AddedP99 = report.Router.P99 - report.Direct.P99
	report.RatioP50 = report.Router.P50 / report.Direct.P50
	printLine("first token ms: direct p50 %.2f p99 %.2f; through a router p50 %.2f p99 %.2f", report.Direct.P50, report.Direct.P99, report.Router.P50, report.Router.P99)
	printLine("between tokens ms: direct p50 %.2f p99 %.2f; through a router p50 %.2f p99 %.2f", report.DirectGap.P50, report.DirectGap.P99, report.RouterGap.P50, report.RouterGap.P99)
	return json.NewEncoder(os.Stdout).Encode(report)
}

// measureRouted sends the load through the routers and returns the report on all its jobs.
func (c *benchCommand) measureRouted(ctx context.Context, cluster *jvharness.Cluster, d time.Duration, prefix string) *jvcaller.KindReport {
	load := &jvcaller.Load{
		Caller:    &jvcaller.Caller{Routers: cluster.Routers(), Key: jvharness.Key, HTTP: callersClient(), MaxAttempts: 1},
		Rate:      c.Rate,
		Duration:  d,
		Mix:       map[jvcaller.Kind]float64{jvcaller.KindChat: 1},
		Profiles:  map[jvcaller.Kind]string{jvcaller.KindChat: "chat"},
		MaxTokens: maxOutputTokens,
		Seed:      1,
		KeyPrefix: prefix + "-",
	}
	var summary jvcaller.Summary
	load.Run(ctx, &summary)
	return summary.Report()["all"]
}

// samples are the latencies of the direct load. It is safe for concurrent use.
type samples struct {
	mu          sync.Mutex
	firstTokens []time.Duration
	gaps        []time.Duration
}

// measureDirect sends the load to the engines in turn, without a router.
func (c *benchCommand) measureDirect(ctx context.Context, cluster *jvharness.Cluster) *samples {
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
			s.measure(ctx, client, engines[n%len(engines)])
		}()
	}
	running.Wait()
	return s
}

// measure sends one request and adds its latencies; a request that fails adds none.
func (s *samples) measure(ctx context.Context, client *jvengine.Client, target jvconfig.Target) {
	// The prompts share a prefix, as those of jvcaller do, so that both loads use the prefix cache alike.
	text := string(bytes.Repeat([]byte("x"), 574)) + rand.Text()
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": text}})
	if err != nil {
		return
	}
	started := time.Now()
	last := started
	var firstToken time.Duration
	var gaps []time.Duration
	attempt := jvengine.Attempt{ID: rand.Text(), Model: "straight", Messages: messages, MaxOutput: maxOutputTokens, Priority: 5}
	_, err = client.Generate(ctx, target, attempt, func(string) {
		now := time.Now()
		if firstToken == 0 {
			firstToken = now.Sub(started)
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
	s.firstTokens = append(s.firstTokens, firstToken)
	s.gaps = append(s.gaps, gaps...)
}
