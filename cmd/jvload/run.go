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

// runCommand is the command "run".
type runCommand struct {
	Router    []string           `required:"" help:"Base URLs of the routers' ports for callers."`
	Key       string             `required:"" help:"API key of the workspace."`
	Rate      float64            `default:"20" help:"Jobs per second."`
	Duration  time.Duration      `default:"10s" help:"Time during which new jobs start."`
	Mix       map[string]float64 `default:"draft=1;quick=4;chat=2;lookup=2;booking=0.5;charge=0.5" help:"Relative frequency of each kind of job."`
	Profiles  map[string]string  `default:"draft=drafts;quick=quick;chat=chat" help:"Profile of each kind of model job."`
	Service   string             `default:"desk" help:"Pool of the plain service, for all other kinds of job."`
	Output    int64              `default:"64" help:"Largest answer of a model job in tokens."`
	SlowShare float64            `default:"0.1" help:"Share of callers with a slow connection, from 0 to 1."`
	SlowPause time.Duration      `default:"50ms" help:"Time that a slow connection pauses after each event."`
	Tries     int                `default:"4" help:"Largest number of attempts for a job, each at the next router."`
	Pause     time.Duration      `default:"200ms" help:"Pause between attempts."`
	Seed      uint64             `default:"1" help:"Seed of the random choice of kinds, prompts, routers and slow connections."`
	Prefix    string             `default:"" help:"Prefix of all idempotency keys; by default the current time."`
	Platform  string             `help:"Base URL of the platform's log; compares the budgets in it with the engines' counts; needs --engine."`
	Stream    string             `default:"fleet" help:"Stream of the fleet on the log."`
	Engine    []string           `help:"Base URLs of the stand-in engines, whose token counts are compared with the budgets."`
	JSON      bool               `help:"Write JSON."`
}

// Run sends the load, writes a report of the results and, if requested, compares token use
// with the budgets.
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
		MaxTokens: c.Output,
		SlowShare: c.SlowShare,
		SlowPause: c.SlowPause,
		Seed:      c.Seed,
		KeyPrefix: prefix,
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
		printLine("overspend %d tokens, false refusals %d", audit.Overspend, audit.FalseRefusals)
	}
	return nil
}

// runReport is the JSON report of the command.
type runReport struct {
	Kinds map[string]*jvcaller.KindReport `json:"kinds"`
	Audit *jvcaller.Audit                 `json:"audit,omitempty"`
}

// audit compares the budgets in the log with the tokens that the engines counted by model.
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

// auditTimeout bounds the time to read the budgets from the log.
const auditTimeout = 20 * time.Second

// callersClient returns an HTTP client that keeps enough idle connections to stand for the
// clients of many callers.
func callersClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}}
}
