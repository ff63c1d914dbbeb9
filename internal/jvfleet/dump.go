package jvfleet

import (
	"time"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
	"github.com/jasminevale/jasminevale/internal/jvtrace"
)

// Dump is a router's state as the operators' port returns it. Active is the number of flights in
// progress, Retries what is left of the retry budget, Unsettled the number of bills that the log does
// not have yet, and Breaches the number of reports and loans of more tokens than the account held.
type Dump struct {
	VM        string                                     `json:"vm"`
	Zone      string                                     `json:"zone"`
	At        time.Time                                  `json:"at"`
	Ready     string                                     `json:"ready"`
	Log       *jvjournal.Status                          `json:"log,omitempty"`
	Config    *ConfigView                                `json:"config,omitempty"`
	Grants    *GrantsView                                `json:"grants,omitempty"`
	Budgets   map[string]jvledger.BudgetTotals           `json:"budgets,omitempty"`
	Billed    map[string]map[string]*jvledger.BillTotals `json:"billed,omitempty"`
	Pools     map[string]jvtarget.PoolView               `json:"pools,omitempty"`
	Members   []Member                                   `json:"members,omitempty"`
	Active    int                                        `json:"active"`
	Retries   float64                                    `json:"retries"`
	Unsettled int                                        `json:"unsettled"`
	Breaches  int64                                      `json:"breaches"`
	Decisions []jvtrace.Decision                         `json:"decisions,omitempty"`
}

// ConfigView summarizes the configuration in force.
type ConfigView struct {
	Version  uint64 `json:"version"`
	Profiles int    `json:"profiles"`
	Pools    int    `json:"pools"`
}

// GrantsView lists this VM's accounts and witnesses.
type GrantsView struct {
	Origin    string                      `json:"origin"`
	Witnesses []string                    `json:"witnesses"`
	Accounts  map[string]jvescrow.Account `json:"accounts"`
}

// DumpQuery selects a part of the state.
type DumpQuery struct {
	// Part is empty for all, or one of log, config, grants, budgets, pools, members, decisions.
	Part string
	// Request limits the decisions to one request.
	Request string
}

// Dump returns the selected part of the router's state.
func (rt *Router) Dump(q DumpQuery) Dump {
	d := Dump{
		VM:        rt.options.VM,
		Zone:      rt.options.Zone,
		At:        rt.options.Timer.Now(),
		Ready:     rt.NotReadyReason(),
		Active:    rt.flights.Active(),
		Retries:   rt.retries.Saved(),
		Unsettled: rt.bills.len(),
	}
	if d.Ready == "" {
		d.Ready = "ready"
	}
	wants := func(part string) bool { return q.Request == "" && (q.Part == "" || q.Part == part) }
	if wants("log") {
		s := rt.journal.Status()
		d.Log = &s
	}
	if wants("config") {
		c := rt.Catalog()
		d.Config = &ConfigView{Version: c.Version(), Profiles: len(c.Profiles()), Pools: len(c.Pools())}
	}
	if wants("grants") {
		d.Grants = rt.grantsView()
	}
	if wants("budgets") {
		rt.dumpBudgets(&d)
	}
	if wants("pools") {
		d.Pools = rt.targets.Views()
	}
	if wants("members") {
		d.Members = rt.Members()
	}
	if q.Request != "" || wants("decisions") {
		d.Decisions = rt.trace.List(func(t jvtrace.Decision) bool { return q.Request == "" || t.Request == q.Request })
	}
	return d
}

func (rt *Router) grantsView() *GrantsView {
	s := rt.current()
	return &GrantsView{Origin: s.origin, Witnesses: originsOf(s.witnessList()), Accounts: s.escrow.Snapshot()}
}

func (rt *Router) dumpBudgets(d *Dump) {
	d.Budgets = map[string]jvledger.BudgetTotals{}
	d.Billed = map[string]map[string]*jvledger.BillTotals{}
	rt.journal.View(func(s *jvledger.State) {
		d.Breaches = s.Breaches
		for _, p := range s.Profiles() {
			d.Budgets[p] = s.BudgetTotals(p)
		}
		for w, profiles := range s.BillTotals {
			d.Billed[w] = map[string]*jvledger.BillTotals{}
			for p, b := range profiles {
				copied := *b
				d.Billed[w][p] = &copied
			}
		}
	})
}

// NotReadyReason returns the reason why this VM should get no requests, or "" if it is ready.
func (rt *Router) NotReadyReason() string {
	status := rt.journal.Status()
	switch {
	case rt.stopping.Load():
		return "the VM is stopping"
	case !status.Loaded && status.Failure != "":
		return "the VM has no state: " + status.Failure
	case !status.Loaded:
		return "the VM is reading the log"
	case rt.Catalog().Version() == 0:
		return "no configuration has been published"
	case !rt.loadsPolled.Load():
		return "the VM has not polled its targets yet"
	}
	return ""
}

// RegisterGauges registers the metrics whose values are read when the metrics are written.
func (rt *Router) RegisterGauges() {
	rt.meter.Gauge("jv_log_lag_records", func() float64 {
		s := rt.journal.Status()
		return float64(s.Head) - float64(s.Offset)
	})
	rt.meter.Gauge("jv_log_contact_age_seconds", func() float64 {
		return rt.options.Timer.Since(rt.journal.Status().LastSeen).Seconds()
	})
	rt.meter.Gauge("jv_log_diverged_total", func() float64 { return float64(rt.journal.Status().Diverged) })
	rt.meter.Gauge("jv_config_version", func() float64 { return float64(rt.Catalog().Version()) })
	rt.meter.Gauge("jv_requests_active", func() float64 { return float64(rt.flights.Active()) })
	rt.meter.Gauge("jv_bills_unsettled", func() float64 { return float64(rt.bills.len()) })
	rt.meter.Gauge("jv_retries_left", rt.retries.Saved)
	rt.meter.Gauge("jv_tokens_available", func() float64 {
		var sum int64
		for _, a := range rt.current().escrow.Snapshot() {
			sum += a.Available()
		}
		return float64(sum)
	})
	rt.meter.Gauge("jv_tokens_stranded", func() float64 {
		var sum int64
		rt.journal.View(func(s *jvledger.State) {
			for _, p := range s.Profiles() {
				sum += s.BudgetTotals(p).Stranded
			}
		})
		return float64(sum)
	})
}

// Accounts returns this VM's account of each budget, by its own count.
func (rt *Router) Accounts() map[string]jvescrow.Account { return rt.current().escrow.Snapshot() }
