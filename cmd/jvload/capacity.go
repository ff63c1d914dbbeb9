package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfake"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// capacityCommand is the command "capacity".
type capacityCommand struct {
	Docs     string        `default:"docs" help:"Directory for CAPACITY-TABLE.md and capacity.svg."`
	Duration time.Duration `default:"8s" help:"Duration of each measurement with routers."`
}

// Run measures memory, snapshots, log traffic and processor time by number of budgets, keys
// and routers, and writes a table and a plot.
func (c *capacityCommand) Run() error {
	var page strings.Builder
	page.WriteString("# Measured slopes\n\nMade by `make capacity`; read with CAPACITY.md.\n")
	budgets := stateTable(&page)
	keyTable(&page)
	appends, err := c.routerTable(&page)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Docs, "CAPACITY-TABLE.md"), []byte(page.String()), 0o600); err != nil {
		return errors.Wrap(err, "write table")
	}
	plot := plotSVG([]series{
		{title: "snapshot, bytes by budgets", points: budgets},
		{title: "appends a second by routers", points: appends},
	})
	if err := os.WriteFile(filepath.Join(c.Docs, "capacity.svg"), []byte(plot), 0o600); err != nil {
		return errors.Wrap(err, "write plot")
	}
	fmt.Print(page.String())
	return nil
}

// heapBytes returns the size of the heap in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC() // Twice, since objects with finalizers are only freed by the second collection.
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stateTable measures the size of the shared state by number of budgets, where six origins
// hold a grant of each budget.
func stateTable(page *strings.Builder) []point {
	page.WriteString("\n## Shared state by budgets (six origins hold a part of each)\n\n| budgets | memory, bytes | snapshot, bytes | snapshot, ms |\n|---|---|---|---|\n")
	var points []point
	for _, n := range []int{1000, 5000, 20000} {
		before := heapBytes()
		s := stateWithBudgets(n)
		memory := heapBytes() - before
		started := time.Now()
		size := len(s.Snapshot())
		took := time.Since(started)
		fmt.Fprintf(page, "| %d | %d | %d | %.1f |\n", n, memory, size, float64(took.Microseconds())/1000)
		points = append(points, point{x: float64(n), y: float64(size)})
		runtime.KeepAlive(s)
	}
	return points
}

// stateWithBudgets returns a state with a number of budgets and grants of six origins on each.
func stateWithBudgets(budgets int) *jvledger.State {
	s := jvledger.NewState(jvledger.DefaultRules())
	apply := func(origin string, number uint64, records ...jvrecord.Record) {
		data := jvcodec.Encode(&jvrecord.Batch{Origin: origin, Number: number, Records: records})
		_, _ = s.Apply(jvledger.Entry{Offset: s.NextOffset(), Time: 1, Data: data})
	}
	var items []jvrecord.Item
	var topups []jvrecord.Record
	for n := range budgets {
		name := fmt.Sprint("profile-", n)
		body := fmt.Sprintf(`{"name":%q,"workspace":"w","pool":"e","work":"quick","model":"m","output":10,"deadline":1000,"priority":1,"attempts":2,"ahead":40}`, name)
		items = append(items, jvrecord.Item{Kind: jvrecord.ItemProfile, Name: name, Body: []byte(body)})
		topups = append(topups, jvrecord.Record{Topup: &jvrecord.Topup{ID: name, Profile: name, Tokens: 1 << 30, Expiry: 2}})
	}
	for i := 0; i < len(items); i += 500 {
		id := fmt.Sprint("items-", i)
		apply(id, 1, jvrecord.Record{Publish: &jvrecord.Publish{ID: id, Items: items[i:min(i+500, len(items))]}})
	}
	apply("topups", 1, topups...)
	for o := range 6 {
		origin := fmt.Sprintf("a%d-0123456789abcdef", o)
		records := []jvrecord.Record{{Hello: &jvrecord.Hello{VM: fmt.Sprint("a", o), Zone: "a"}}}
		for n := range budgets {
			records = append(records, jvrecord.Record{Claim: &jvrecord.Claim{Profile: fmt.Sprint("profile-", n), Need: 100, Want: 1000}})
		}
		apply(origin, 1, records...)
	}
	return s
}

// keyTable measures the memory of idempotency keys: of billed requests, and of run locks of
// calls that run once.
func keyTable(page *strings.Builder) {
	page.WriteString("\n## Memory of keys\n\n| keys | of bills, bytes | of calls that run once, bytes |\n|---|---|---|\n")
	for _, n := range []int{10000, 50000, 200000} {
		before := heapBytes()
		bills := jvledger.NewExpiringMap[jvledger.Key, bool](1)
		for i := range n {
			bills.Put(jvledger.NewKey(fmt.Sprint(i)), true)
		}
		billBytes := heapBytes() - before
		before = heapBytes()
		runLocks := jvledger.NewExpiringMap[jvledger.Key, jvledger.RunLock](1)
		for i := range n {
			k := jvledger.NewKey(fmt.Sprint(i))
			runLocks.Put(k, jvledger.RunLock{Digest: k[:], Holder: "a1-0123456789abcdef", RequestID: fmt.Sprintf("%016x", i), Outcome: jvrecord.OutcomeDone, Body: make([]byte, 100)})
		}
		runLockBytes := heapBytes() - before
		fmt.Fprintf(page, "| %d | %d | %d |\n", n, billBytes, runLockBytes)
		runtime.KeepAlive(bills)
		runtime.KeepAlive(runLocks)
	}
}

// routerTable measures log traffic and processor time by number of routers, without load and
// with ten requests per second for each router.
func (c *capacityCommand) routerTable(page *strings.Builder) ([]point, error) {
	page.WriteString("\n## Log and processor by routers, real routers on fakes\n\n" +
		"| routers | requests/s each | appends/s | log bytes/s | processor, % of a core for each router |\n|---|---|---|---|---|\n")
	var points []point
	for _, routers := range []int{3, 6, 12} {
		for _, rate := range []int{0, 10} {
			m, err := c.measureRouters(routers, rate)
			if err != nil {
				return nil, err
			}
			fmt.Fprintf(page, "| %d | %d | %.1f | %.0f | %.2f |\n", routers, rate, m.appends, m.bytes, m.percent)
			if rate > 0 {
				points = append(points, point{x: float64(routers), y: m.appends})
			}
		}
	}
	return points, nil
}

// routerSample is one measurement of a number of routers.
type routerSample struct {
	// appends and bytes are those to the log per second, over all routers.
	appends float64
	bytes   float64
	// percent is the processor time for each router, in percent of one core.
	percent float64
}

// measureRouters runs routers in real time in this process. The processor time includes that
// of the fakes and of the load.
func (c *capacityCommand) measureRouters(count, rate int) (routerSample, error) {
	simulation := jvfake.NewSimulation("capacity")
	defer simulation.Close()
	simulation.SetTokenTime(10 * time.Millisecond)
	zones := []string{"a", "b", "c"}
	var routers []*jvfleet.Router
	for n := range count {
		zone := zones[n%len(zones)]
		routers = append(routers, simulation.Start(simulation.Options(fmt.Sprintf("%s%d", zone, n), zone)))
	}
	client := jvoperator.NewClient(jvoperator.Options{
		Operator: "capacity", Stream: "fleet", Log: simulation.Log(), Timer: simulation.Timer,
		Chance: jvchance.NewSource(sha256.Sum256([]byte("capacity"))), Logger: logr.Discard(),
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := client.WaitReady(ctx); err != nil {
		return routerSample{}, err
	}
	if _, err := client.Publish(ctx, "capacity", capacityBundle(), 0); err != nil {
		return routerSample{}, err
	}
	if err := client.Topup(ctx, "capacity", "quick", 1<<40); err != nil {
		return routerSample{}, err
	}
	time.Sleep(4 * time.Second)
	appends, bytes := simulation.Appends()
	before, started := processorTime(), time.Now()
	end := started.Add(c.Duration)
	for n := 0; time.Now().Before(end); n++ {
		if rate == 0 {
			time.Sleep(time.Until(end))
			break
		}
		go sendRequest(routers[n%len(routers)], n)
		time.Sleep(time.Second / time.Duration(rate*count))
	}
	seconds := time.Since(started).Seconds()
	used := processorTime() - before
	appendsAfter, bytesAfter := simulation.Appends()
	return routerSample{
		appends: float64(appendsAfter-appends) / seconds,
		bytes:   float64(bytesAfter-bytes) / seconds,
		percent: 100 * used.Seconds() / seconds / float64(count),
	}, nil
}

// sendRequest sends one model request and reads its answer to the end.
func sendRequest(r *jvfleet.Router, n int) {
	body := fmt.Sprintf(`{"model":"quick","messages":[{"role":"user","content":"request %d"}]}`, n)
	request, _, problem := r.AdmitChat(jvfleet.Incoming{Authorization: "Bearer key", Body: []byte(body)})
	if problem != nil {
		return
	}
	flight, problem := r.Serve(request)
	if problem != nil {
		return
	}
	defer flight.Detach()
	for from := int64(0); ; {
		events, end, err := flight.Read(context.Background(), from)
		if err != nil || end != nil {
			return
		}
		from += int64(len(events))
	}
}

// capacityBundle returns a configuration of one profile on a pool of 20 engines.
func capacityBundle() jvoperator.Bundle {
	pool := jvconfig.Pool{Name: "engines", Kind: jvconfig.PoolEngine}
	for n := range 20 {
		name := fmt.Sprint("engine-", n)
		pool.Targets = append(pool.Targets, jvconfig.Target{Name: name, Zone: []string{"a", "b", "c"}[n%3], Address: name + ":1", Slots: 64})
	}
	return jvoperator.Bundle{
		Workspaces: []jvconfig.Workspace{{Name: "w", Keys: []string{jvconfig.KeyDigest("key")}, Services: []string{}}},
		Pools:      []jvconfig.Pool{pool},
		Profiles: []jvconfig.Profile{{
			Name: "quick", Workspace: "w", Pool: "engines", Work: jvconfig.WorkQuick, Model: "quick",
			MaxOutput: 20, DeadlineMillis: 10_000, Priority: 5, MaxAttempts: 3, AheadPercent: 20,
		}},
	}
}
