package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvcaller"
	"github.com/jasminevale/jasminevale/internal/jvharness"
	"github.com/jasminevale/jasminevale/internal/jvledger"
)

// demoCommand is the command "demo".
type demoCommand struct {
	Bin  string  `default:"bin" help:"Directory of the built programs."`
	Out  string  `default:"out/demo" help:"Directory for settings and logs."`
	Rate float64 `default:"40" help:"Jobs per second under load."`
}

// prepaidTokens are the budgets by profile; the demo exhausts that of the profile small.
var prepaidTokens = map[string]int64{"drafts": 4_000_000, "quick": 2_000_000, "chat": 2_000_000, "small": 3_000}

// demo is one run of the demo on a fleet of its own.
type demo struct {
	cluster *jvharness.Cluster
	summary *jvcaller.Summary
	// rate is in jobs per second.
	rate float64
}

// Run starts a fleet, runs the steps of the demo and checks the fleet's guarantees.
func (c *demoCommand) Run() error {
	if err := os.RemoveAll(c.Out); err != nil {
		return errors.Wrap(err, "clear output directory")
	}
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "resolve output directory")
	}
	options := jvharness.DefaultOptions(c.Bin, dir)
	options.Profiles = append(options.Profiles, jvharness.Profile("small"))
	printLine("Starting the log, the VM list, 6 engines, 3 plain services and 6 routers in 3 availability zones.")
	cluster, err := jvharness.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, summary: &jvcaller.Summary{}, rate: c.Rate}
	for _, step := range []func(context.Context) error{d.topUp, d.sendCopies, d.sendLoad, d.exhaustBudget} {
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		err := step(ctx)
		cancel()
		if err != nil {
			return err
		}
	}
	return d.checkGuarantees()
}

func printLine(format string, arguments ...any) { fmt.Printf(format+"\n", arguments...) }

// caller returns a caller that sends each job up to maxAttempts times.
func (d *demo) caller(maxAttempts int) *jvcaller.Caller {
	return &jvcaller.Caller{
		Routers:     d.cluster.Routers(),
		Key:         jvharness.Key,
		HTTP:        callersClient(),
		MaxAttempts: maxAttempts,
		Pause:       300 * time.Millisecond,
	}
}

// topUp tops up each budget twice with the same ID, which must add its tokens once.
func (d *demo) topUp(ctx context.Context) error {
	for profile, tokens := range prepaidTokens {
		for range 2 {
			if err := d.cluster.Client.Topup(ctx, "invoice-"+profile, profile, tokens); err != nil {
				return err
			}
		}
	}
	printLine("Published 4 profiles and topped up each budget twice with the same id, which adds its tokens once.")
	return nil
}

// sendCopies sends each job concurrently through three routers in three zones, with the same key.
func (d *demo) sendCopies(ctx context.Context) error {
	before := len(d.summary.Results())
	var running sync.WaitGroup
	for n := range 8 {
		for zone := range 3 {
			for _, j := range []jvcaller.Job{
				{Kind: jvcaller.KindBooking, Service: jvharness.Service},
				{Kind: jvcaller.KindCharge, Service: jvharness.Service},
				{Kind: jvcaller.KindQuick, Profile: "quick", MaxTokens: 32, PromptBytes: 200},
			} {
				j.Number, j.Key, j.FirstRouter = n, fmt.Sprintf("copy-%s-%d", j.Kind, n), 2*zone
				running.Add(1)
				go func() {
					defer running.Done()
					d.summary.Add(d.caller(3).Run(ctx, j))
				}()
			}
		}
	}
	running.Wait()
	counts, err := d.cluster.Counts()
	if err != nil {
		return err
	}
	served := 0
	for _, r := range d.summary.Results()[before:] {
		if r.Served() {
			served++
		}
	}
	printLine("Sent 3 copies each of 8 bookings, 8 charges and 8 model requests concurrently through 3 zones: %d answers, the services executed %d calls, with %d duplicate executions.",
		served, len(counts.Executions), counts.DuplicateExecutions())
	return nil
}

// load returns a load of a mix of jobs.
func (d *demo) load(duration time.Duration) *jvcaller.Load {
	return &jvcaller.Load{
		Caller:   d.caller(6),
		Rate:     d.rate,
		Duration: duration,
		Mix: map[jvcaller.Kind]float64{
			jvcaller.KindDraft: 1, jvcaller.KindQuick: 3, jvcaller.KindChat: 3,
			jvcaller.KindLookup: 2, jvcaller.KindBooking: 1, jvcaller.KindCharge: 1,
		},
		Profiles:  map[jvcaller.Kind]string{jvcaller.KindDraft: "drafts", jvcaller.KindQuick: "quick", jvcaller.KindChat: "chat"},
		Service:   jvharness.Service,
		MaxTokens: 64,
		SlowShare: 0.1,
		SlowPause: 30 * time.Millisecond,
		Seed:      1,
		KeyPrefix: "load-",
	}
}

// sendLoad sends a mix of jobs while a target is drained, a router is stopped gracefully and
// another one is killed.
func (d *demo) sendLoad(ctx context.Context) error {
	before := len(d.summary.Results())
	load := d.load(12 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, d.summary)
	}()
	if err := d.injectFaults(ctx); err != nil {
		return err
	}
	<-done
	reports := (&jvcaller.Summary{}).WithResults(d.summary.Results()[before:]).Report()
	jvcaller.WriteText(os.Stdout, reports)
	return nil
}

// injectFaults drains engine-a1, stops router b2 gracefully and kills router c2.
func (d *demo) injectFaults(ctx context.Context) error {
	time.Sleep(2 * time.Second)
	if _, err := d.cluster.Client.Drain(ctx, "drain-1", "engine-a1", "demo", false); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	started := time.Now()
	inTime := d.cluster.Process("b2").Stop(30 * time.Second)
	printLine("Drained engine-a1. Stopped router b2 gracefully under load: exited in time=%t after %.1f s.", inTime, time.Since(started).Seconds())
	if err := d.cluster.RemoveVM("b2"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	d.cluster.Process("c2").Kill()
	printLine("Killed router c2 under load; its callers retry with the same key at another router.")
	return d.cluster.RemoveVM("c2")
}

// exhaustBudget sends requests on the profile small until five are refused for its budget, at
// most 200.
func (d *demo) exhaustBudget(ctx context.Context) error {
	served, refused := 0, 0
	for n := 0; n < 200 && refused < 5; n++ {
		r := d.caller(1).Run(ctx, jvcaller.Job{
			Kind: jvcaller.KindQuick, Profile: "small", Number: n, MaxTokens: 32, PromptBytes: 120, FirstRouter: n,
		})
		d.summary.Add(r)
		switch {
		case r.Served():
			served++
		case r.Problem == "budget":
			refused++
		}
	}
	printLine("Exhausted the budget of profile small: %d answers, then refused for the budget.", served)
	return nil
}

// demoReport is the report of the command, written as its last line.
type demoReport struct {
	// Served counts the jobs with a complete answer, NotServed all others. NotRun, Unknown and
	// Unanswered count the latter by outcome.
	Served     int `json:"served"`
	NotServed  int `json:"refused"`
	NotRun     int `json:"notrun"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"unanswered"`
	// Prepaid and Spent are tokens over all profiles, Spent as counted by the engines. Overspend
	// is the tokens used beyond the budgets.
	Prepaid   int64 `json:"prepaid"`
	Spent     int64 `json:"spent"`
	Overspend int64 `json:"overspend"`
	// FalseRefusals counts the jobs refused for a budget that had enough tokens left at the end.
	FalseRefusals int `json:"falserefusals"`
	// DuplicateExecutions counts the executions of calls beyond the first one of each key,
	// FalseNotRun the calls that ran although their caller got the outcome notrun.
	DuplicateExecutions int64 `json:"doubled"`
	FalseNotRun         int   `json:"falsenotrun"`
	// Cut counts incomplete answers, Crossed those that belong to another request or mix
	// executions.
	Cut     int `json:"cut"`
	Crossed int `json:"crossed"`
	// Billed counts the requests that are billed in the log, Billable the distinct model
	// requests that were served.
	Billed   int64 `json:"billed"`
	Billable int64 `json:"due"`
	// Breaches counts reports and loans of more tokens than the router held.
	Breaches int64 `json:"breaches"`
}

// checkGuarantees compares the callers' results with the stand-ins' own counts, writes the
// report and returns an error if a guarantee was violated.
func (d *demo) checkGuarantees() error {
	counts, err := d.cluster.Counts()
	if err != nil {
		return err
	}
	report := demoReport{DuplicateExecutions: counts.DuplicateExecutions()}
	billable := map[string]bool{}
	for _, r := range d.summary.Results() {
		report.add(r, &counts)
		if r.Served() && r.Job.IsModel() {
			billable[fmt.Sprintf("%s/%s/%d", r.Job.Profile, r.Job.Key, r.Job.Number)] = true
		}
	}
	report.Billable = int64(len(billable))
	audit := jvcaller.NewAudit(d.summary.Results(), prepaidTokens, counts.Tokens)
	report.Overspend, report.FalseRefusals = audit.Overspend, audit.FalseRefusals
	for profile, tokens := range prepaidTokens {
		report.Prepaid += tokens
		report.Spent += counts.Tokens[profile]
	}
	d.waitBills(&report)
	line, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Println(string(line))
	return report.violation()
}

// add counts the result of one job.
func (r *demoReport) add(result jvcaller.Result, counts *jvharness.Counts) {
	switch {
	case result.Served():
		r.Served++
	case result.Outcome == "":
		r.Unanswered++
	case result.Outcome == "notrun":
		r.NotRun++
		if !result.Job.IsModel() && counts.Executions[result.Job.Key] > 0 {
			r.FalseNotRun++
		}
	default:
		r.Unknown++
	}
	if !result.Served() {
		r.NotServed++
	}
	if result.Defect != "" && result.Defect[:3] == "cut" {
		r.Cut++
	} else if result.Defect != "" {
		r.Crossed++
	}
}

// waitBills waits until the log has the bills of all served requests, or for 20 seconds.
func (d *demo) waitBills(r *demoReport) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		r.Billed = 0
		d.cluster.Client.View(func(s *jvledger.State) {
			r.Breaches = s.Breaches
			for _, b := range s.BillTotals[jvharness.Workspace] {
				r.Billed += b.Requests
			}
		})
		if r.Billed >= r.Billable {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// violation returns an error for the first guarantee that was violated. More bills than served
// requests are not a violation, since a request may be billed although its caller never got
// the end of the answer.
func (r *demoReport) violation() error {
	switch {
	case r.Overspend > 0:
		return errors.New("a budget was overspent")
	case r.DuplicateExecutions > 0:
		return errors.New("a booking or charge ran more than once")
	case r.FalseNotRun > 0:
		return errors.New("a request ran although its caller got the outcome notrun")
	case r.Cut > 0, r.Crossed > 0:
		return errors.New("a caller got an incomplete answer or content of another request")
	case r.Breaches > 0:
		return errors.New("a router reported or lent more tokens than it held")
	case r.Billed < r.Billable:
		return errors.New("a served request was not billed")
	case r.Served == 0:
		return errors.New("no request was served")
	}
	return nil
}
