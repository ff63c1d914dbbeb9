package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// budgetCommand is the command "budget".
type budgetCommand struct {
	JSON bool `help:"Write JSON."`
}

// Run writes the totals of each budget.
func (c *budgetCommand) Run(a *arguments) error {
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.close()
	totals := map[string]jvledger.BudgetTotals{}
	var names []string
	s.client.View(func(state *jvledger.State) {
		names = state.Profiles()
		for _, n := range names {
			totals[n] = state.BudgetTotals(n)
		}
	})
	if c.JSON {
		return writeJSON(totals)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PROFILE\tPREPAID\tSPENT\tGRANTED\tSTRANDED\tFREE")
	for _, n := range names {
		t := totals[n]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", n, t.Prepaid, t.Spent, t.Granted, t.Stranded, t.Free)
	}
	return w.Flush()
}

func writeJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// statusCommand is the command "status".
type statusCommand struct {
	JSON bool `help:"Write JSON."`
}

// vmStatus is the status of one VM.
type vmStatus struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// State is the state on the platform's VM list.
	State string `json:"state"`
	// Ready is what the VM reports of its readiness, or why it could not be queried.
	Ready string `json:"ready"`
	// Offset is the VM's position in the log, Version that of its configuration.
	Offset  uint64 `json:"offset"`
	Version uint64 `json:"version"`
	// Active is the number of requests in progress.
	Active int `json:"active"`
}

// Run writes one row for each entry VM on the platform's VM list.
func (c *statusCommand) Run(a *arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	defer cancel()
	vms, err := a.platformClient().List(ctx)
	if err != nil {
		return err
	}
	var rows []vmStatus
	for _, v := range vms {
		if v.Role == jvplatform.RoleEntry {
			rows = append(rows, a.queryStatus(ctx, v))
		}
	}
	if c.JSON {
		return writeJSON(rows)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tZONE\tSTATE\tOFFSET\tVERSION\tACTIVE\tREADY")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.VM, r.Zone, r.State, r.Offset, r.Version, r.Active, r.Ready)
	}
	return w.Flush()
}

// vmTimeout bounds the query to one VM, so that an unreachable VM does not hold up the rest.
const vmTimeout = 2 * time.Second

func (a *arguments) queryStatus(ctx context.Context, v jvplatform.VM) vmStatus {
	row := vmStatus{VM: v.Name, Zone: v.Zone, State: string(v.State)}
	data, err := a.fetchDump(ctx, v, jvfleet.DumpQuery{})
	var d jvfleet.Dump
	if err == nil {
		err = json.Unmarshal(data, &d)
	}
	if err != nil {
		row.Ready = "dump failed: " + err.Error()
		return row
	}
	row.Ready, row.Active = d.Ready, d.Active
	if d.Log != nil && d.Config != nil {
		row.Offset, row.Version = d.Log.Offset, d.Config.Version
	}
	return row
}

func (a *arguments) fetchDump(ctx context.Context, v jvplatform.VM, q jvfleet.DumpQuery) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	host, _, err := net.SplitHostPort(v.Address)
	if err != nil {
		return nil, errors.Wrap(err, "split address of VM "+v.Name)
	}
	values := url.Values{"part": {q.Part}, "request": {q.Request}}
	dumpURL := "http://" + net.JoinHostPort(host, strconv.Itoa(a.Port)) + "/dump?" + values.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, dumpURL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "get dump of VM "+v.Name)
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// dumpCommand is the command "dump".
type dumpCommand struct {
	VM      string `arg:"" help:"Name of the VM."`
	Part    string `help:"Show only this part: log, config, grants, budgets, pools, members or decisions."`
	Request string `help:"Show only the decisions on the request with this id."`
}

// Run writes the dump of one VM as JSON.
func (c *dumpCommand) Run(a *arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	defer cancel()
	vms, err := a.platformClient().List(ctx)
	if err != nil {
		return err
	}
	for _, v := range vms {
		if v.Name != c.VM {
			continue
		}
		data, err := a.fetchDump(ctx, v, jvfleet.DumpQuery{Part: c.Part, Request: c.Request})
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(data)
		return err
	}
	return errors.Errorf("no VM %q on the platform's VM list", c.VM)
}
