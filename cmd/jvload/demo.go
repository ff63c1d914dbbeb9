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

// demoCommand runs the demo.
type demoCommand struct {
	Bin  string  `default:"bin" help:"Folder of the programs."`
	Out  string  `default:"out/demo" help:"Folder for settings and logs."`
	Rate float64 `default:"40" help:"Jobs a second under load."`
}

// prepaid are the demo's budgets in tokens; that of the profile small is used up.
var prepaid = map[string]int64{"drafts": 4_000_000, "quick": 2_000_000, "chat": 2_000_000, "small": 3_000}

// demo is one run of the demo.
type demo struct {
	cluster *jvharness.Cluster
	summary *jvcaller.Summary
	rate    float64
}

// Run implements the command: it starts a fleet, goes through the acts, and judges.
func (c *demoCommand) Run() error {
	if err := os.RemoveAll(c.Out); err != nil {
		return errors.Wrap(err, "clear folder")
	}
	dir, err := filepath.Abs(c.Out)
	if err != nil {
		return errors.Wrap(err, "find folder")
	}
	options := jvharness.DefaultOptions(c.Bin, dir)
	options.Profiles = append(options.Profiles, jvharness.Profile("small"))
	say("Starting the log, the VM list, 6 engines, 3 order desks and 6 routers in 3 availability zones.")
	cluster, err := jvharness.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, summary: &jvcaller.Summary{}, rate: c.Rate}
	for _, act := range []func(context.Context) error{d.topUp, d.sendCopies, d.load, d.useUp} {
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		err := act(ctx)
		cancel()
		if err != nil {
			return err
		}
	}
	return d.judge()
}

func say(format string, arguments ...any) { fmt.Printf(format+"\n", arguments...) }

func (d *demo) caller(tries int) *jvcaller.Caller {
	return &jvcaller.Caller{
		Routers: d.cluster.Routers(),
		Key:     jvharness.Key,
		HTTP:    callersClient(),
		MaxAttempts:   tries,
		Pause:   300 * time.Millisecond,
	}
}

// topUp fills the budgets, each with the same id twice.
func (d *demo) topUp(ctx context.Context) error {
	for profile, tokens := range prepaid {
		for range 2 {
			if err := d.cluster.Client.Topup(ctx, "invoice-"+profile, profile, tokens); err != nil {
				return err
			}
		}
	}
	say("Published 4 profiles and topped each up, twice with the same id, which counts once.")
	return nil
}

// sendCopies sends each job through three routers of three zones at once, with one key.
func (d *demo) sendCopies(ctx context.Context) error {
	before := len(d.summary.Results())
	var running sync.WaitGroup
	for n := range 8 {
		for nth := range 3 {
			for _, j := range []jvcaller.Job{
				{Kind: jvcaller.KindBooking, Service: jvharness.Service},
				{Kind: jvcaller.KindCharge, Service: jvharness.Service},
				{Kind: jvcaller.KindQuick, Profile: "quick", MaxTokens: 32, PromptBytes: 200},
			} {
				j.Number, j.Key, j.FirstRouter = n, fmt.Sprintf("copy-%s-%d", j.Kind, n), 2*nth
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
	say("Sent 8 bookings, 8 charges and 8 questions in 3 copies each, through 3 zones at once: %d answers, the desks ran %d calls, %d of them twice.",
		served, len(counts.Executions), counts.DuplicateExecutions())
	return nil
}

// load runs the mix of callers while a target is drained, a router is stopped as planned and
// another one is killed.
func (d *demo) load(ctx context.Context) error {
	before := len(d.summary.Results())
	l := &jvcaller.Load{
		Caller:   d.caller(6),
		Rate:     d.rate,
		Duration: 12 * time.Second,
		Mix: map[jvcaller.Kind]float64{
			jvcaller.KindDraft: 1, jvcaller.KindQuick: 3, jvcaller.KindChat: 3,
			jvcaller.KindLookup: 2, jvcaller.KindBooking: 1, jvcaller.KindCharge: 1,
		},
		Profiles:  map[jvcaller.Kind]string{jvcaller.KindDraft: "drafts", jvcaller.KindQuick: "quick", jvcaller.KindChat: "chat"},
		Service:   jvharness.Service,
		MaxTokens:    64,
		SlowShare: 0.1,
		SlowPause: 30 * time.Millisecond,
		Seed:      1,
		KeyPrefix:    "load-",
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, d.summary)
	}()
	if err := d.disturb(ctx); err != nil {
		return err
	}
	<-done
	reports := (&jvcaller.Summary{}).WithResults(d.summary.Results()[before:]).Report()
	jvcaller.WriteText(os.Stdout, reports)
	return nil
}

// disturb drains engine-a1, stops router b2 as planned and kills router c2.
func (d *demo) disturb(ctx context.Context) error {
	time.Sleep(2 * time.Second)
	if _, err := d.cluster.Client.Drain(ctx, "drain-1", "engine-a1", "demo", false); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	at := time.Now()
	clean := d.cluster.Process("b2").Stop(30 * time.Second)
	say("Drained engine-a1. Stopped router b2 as planned under load: ended in time=%t after %.1f s.", clean, time.Since(at).Seconds())
	if err := d.cluster.RemoveVM("b2"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	d.cluster.Process("c2").Kill()
	say("Killed router c2 under load; its callers come back with the same key at another router.")
	return d.cluster.RemoveVM("c2")
}

// useUp sends questions on the profile small until its budget is gone.
func (d *demo) useUp(ctx context.Context) error {
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
	say("Used up profile small: %d answers, then refused for its budget.", served)
	return nil
}

// outcome is the demo's last line.
type outcome struct {
	Served     int   `json:"served"`
	Refused    int   `json:"refused"`
	NotRun     int   `json:"notrun"`
	Unknown    int   `json:"unknown"`
	Unanswered int   `json:"unanswered"`
	Prepaid    int64 `json:"prepaid"`
	Spent      int64 `json:"spent"`
	Overspend  int64 `json:"overspend"`
	// FalseRefusals were refused for a budget that had enough left at the end.
	FalseRefusals int   `json:"falserefusals"`
	Doubled       int64 `json:"doubled"`
	FalseNotRun   int   `json:"falsenotrun"`
	Cut           int   `json:"cut"`
	Crossed       int   `json:"crossed"`
	// Billed counts the bills in the log, Due the distinct requests that were served.
	Billed   int64 `json:"billed"`
	Due      int64 `json:"due"`
	Breaches int64 `json:"breaches"`
}

// judge compares what callers were told with what the stand-ins did.
func (d *demo) judge() error {
	counts, err := d.cluster.Counts()
	if err != nil {
		return err
	}
	o := outcome{Doubled: counts.DuplicateExecutions()}
	due := map[string]bool{}
	for _, r := range d.summary.Results() {
		o.add(r, &counts)
		if r.Served() && r.Job.IsModel() {
			due[fmt.Sprintf("%s/%s/%d", r.Job.Profile, r.Job.Key, r.Job.Number)] = true
		}
	}
	o.Due = int64(len(due))
	audit := jvcaller.NewAudit(d.summary.Results(), prepaid, counts.Tokens)
	o.Overspend, o.FalseRefusals = audit.Overspend, audit.FalseRefusals
	for profile, tokens := range prepaid {
		o.Prepaid += tokens
		o.Spent += counts.Tokens[profile]
	}
	d.awaitBills(&o)
	line, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	fmt.Println(string(line))
	return o.verdict()
}

func (o *outcome) add(r jvcaller.Result, counts *jvharness.Counts) {
	switch {
	case r.Served():
		o.Served++
	case r.Outcome == "":
		o.Unanswered++
	case r.Outcome == "notrun":
		o.NotRun++
		if !r.Job.IsModel() && counts.Executions[r.Job.Key] > 0 {
			o.FalseNotRun++
		}
	default:
		o.Unknown++
	}
	if !r.Served() {
		o.Refused++
	}
	if r.Defect != "" && r.Defect[:3] == "cut" {
		o.Cut++
	} else if r.Defect != "" {
		o.Crossed++
	}
}

// awaitBills waits until the log has the bills of all served requests.
func (d *demo) awaitBills(o *outcome) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		o.Billed = 0
		d.cluster.Client.View(func(s *jvledger.State) {
			o.Breaches = s.Breaches
			for _, b := range s.BillTotals[jvharness.Workspace] {
				o.Billed += b.Requests
			}
		})
		if o.Billed >= o.Due {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// verdict names the promises that were broken. A request may be billed although its caller
// never saw the end of the answer, so more bills than served requests are no breach here.
func (o *outcome) verdict() error {
	switch {
	case o.Overspend > 0:
		return errors.New("a budget was overspent")
	case o.Doubled > 0:
		return errors.New("a booking or charge ran twice")
	case o.FalseNotRun > 0:
		return errors.New("a caller was told notrun and the request ran")
	case o.Cut > 0, o.Crossed > 0:
		return errors.New("a caller got an answer that was not whole or not its own")
	case o.Breaches > 0:
		return errors.New("a router reported more than it held")
	case o.Billed < o.Due:
		return errors.New("a served request was not billed")
	case o.Served == 0:
		return errors.New("nothing was served")
	}
	return nil
}
