package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvharness"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// runCommand plays callers.
type runCommand struct {
	Router    []string           `required:"" help:"Base URLs of callers' ports."`
	Key       string             `required:"" help:"The workspace's key."`
	Rate      float64            `default:"20" help:"Jobs a second."`
	Duration  time.Duration      `default:"10s" help:"How long new jobs start."`
	Mix       map[string]float64 `default:"draft=1;quick=4;chat=2;lookup=2;booking=0.5;charge=0.5" help:"Weight of each kind."`
	Profiles  map[string]string  `default:"draft=drafts;quick=quick;chat=chat" help:"Profile of each model kind."`
	Service   string             `default:"desk" help:"Pool of the plain service."`
	Output    int64              `default:"64" help:"Largest answer in tokens."`
	SlowShare float64            `default:"0.1" help:"Share of callers on a slow line."`
	SlowPause time.Duration      `default:"50ms" help:"Pause of a slow line after each event."`
	Tries     int                `default:"4" help:"How often a job is sent, each time to the next router."`
	Pause     time.Duration      `default:"200ms" help:"Pause between tries."`
	Seed      uint64             `default:"1" help:"Seed of the mix."`
	Prefix    string             `default:"" help:"Beginning of all keys; by default the time."`
	Platform  string             `help:"Base URL of the log, to compare with the budgets; needs --engine."`
	Stream    string             `default:"fleet" help:"The fleet's stream on the log."`
	Engine    []string           `help:"Base URLs of the stand-in engines, whose own counts are compared with the budgets."`
	JSON      bool               `help:"Write JSON."`
}

// Run implements the command.
func (c *runCommand) Run() error {
	prefix := c.Prefix
	if prefix == "" {
		prefix = fmt.Sprintf("%x-", time.Now().UnixNano())
	}
	mix, profiles := map[jvcaller.Kind]float64{}, map[jvcaller.Kind]string{}
	for k, w := range c.Mix {
		mix[jvcaller.Kind(k)] = w
	}
	for k, p := range c.Profiles {
		profiles[jvcaller.Kind(k)] = p
	}
	load := &jvcaller.Load{
		Caller:    &jvcaller.Caller{Routers: c.Router, Key: c.Key, HTTP: callersClient(), MaxAttempts: c.Tries, Pause: c.Pause},
		Rate:      c.Rate,
		Duration:  c.Duration,
		Mix:       mix,
		Profiles:  profiles,
		Service:   c.Service,
		MaxTokens:    c.Output,
		SlowShare: c.SlowShare,
		SlowPause: c.SlowPause,
		Seed:      c.Seed,
		KeyPrefix:    prefix,
	}
	var summary jvcaller.Summary
	load.Run(context.Background(), &summary)
	reports := summary.Report()
	var audit *jvcaller.Audit
	if c.Platform != "" {
		a, err := c.audit(summary.Results())
		if err != nil {
			return err
		}
		audit = &a
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(runReport{Kinds: reports, Audit: audit})
	}
	jvcaller.WriteText(os.Stdout, reports)
	if audit != nil {
		say("overspend %d tokens, false refusals %d", audit.Overspend, audit.FalseRefusals)
	}
	return nil
}

// runReport is the result of a run in JSON.
type runReport struct {
	Kinds map[string]*jvcaller.KindReport `json:"kinds"`
	Audit *jvcaller.Audit                 `json:"audit,omitempty"`
}

// audit reads budgets from the log and use from the engines, which count by model.
func (c *runCommand) audit(results []jvcaller.Result) (jvcaller.Audit, error) {
	client := jvoperator.NewClient(jvoperator.Options{
		Stream: c.Stream,
		Log:    jvplatform.NewClient(c.Platform, &http.Client{}),
		Timer:  jvtimer.NewService(),
		Chance: jvchance.NewSource(sha256.Sum256([]byte(time.Now().String()))),
		Logger: logr.Discard(),
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	if err := client.WaitReady(ctx); err != nil {
		return jvcaller.Audit{}, err
	}
	models, err := jvharness.EngineTokens(c.Engine)
	if err != nil {
		return jvcaller.Audit{}, err
	}
	prepaid, used := map[string]int64{}, map[string]int64{}
	client.View(func(s *jvledger.State) {
		for name, p := range s.Catalog().Profiles() {
			prepaid[name] = s.BudgetTotals(name).Prepaid
			used[name] = models[p.Model]
		}
	})
	return jvcaller.NewAudit(results, prepaid, used), nil
}

// auditTimeout bounds the reading of budgets and counts.
const auditTimeout = 20 * time.Second

// callersClient keeps connections as many callers' clients together would.
func callersClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}}
}
