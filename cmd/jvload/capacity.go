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

// capacityCommand measures the slopes that docs/CAPACITY.md works with.
type capacityCommand struct {
	Docs     string        `default:"docs" help:"Folder for CAPACITY-TABLE.md and capacity.svg."`
	Duration time.Duration `default:"8s" help:"Length of each part with routers."`
}

// Run implements the command.
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

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC() // Twice, since the first collection only readies what has finalizers.
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stateTable measures the shared state by number of budgets, each drawn on by six origins.
func stateTable(page *strings.Builder) []point {
	page.WriteString("\n## Shared state by budgets (six origins hold a part of each)\n\n| budgets | memory, bytes | snapshot, bytes | snapshot, ms |\n|---|---|---|---|\n")
	var points []point
	for _, n := range []int{1000, 5000, 20000} {
		before := heap()
		s := filledState(n)
		memory := heap() - before
		started := time.Now()
		size := len(s.Snapshot())
		took := time.Since(started)
		fmt.Fprintf(page, "| %d | %d | %d | %.1f |\n", n, memory, size, float64(took.Microseconds())/1000)
		points = append(points, point{x: float64(n), y: float64(size)})
		runtime.KeepAlive(s)
	}
	return points
}

func filledState(budgets int) *jvledger.State {
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

// keyTable measures the memory of request keys.
func keyTable(page *strings.Builder) {
	page.WriteString("\n## Memory of keys\n\n| keys | of bills, bytes | of calls that run once, bytes |\n|---|---|---|\n")
	for _, n := range []int{10000, 50000, 200000} {
		before := heap()
		bills := jvledger.NewExpiringMap[jvledger.Key, bool](1)
		for i := range n {
			bills.Put(jvledger.NewKey(fmt.Sprint(i)), true)
		}
		ofBills := heap() - before
		before = heap()
		takes := jvledger.NewExpiringMap[jvledger.Key, jvledger.RunLock](1)
		for i := range n {
			k := jvledger.NewKey(fmt.Sprint(i))
			takes.Put(k, jvledger.RunLock{Digest: k[:], Holder: "a1-0123456789abcdef", RequestID: fmt.Sprintf("%016x", i), Outcome: jvrecord.OutcomeDone, Body: make([]byte, 100)})
		}
		ofTakes := heap() - before
		fmt.Fprintf(page, "| %d | %d | %d |\n", n, ofBills, ofTakes)
		runtime.KeepAlive(bills)
		runtime.KeepAlive(takes)
	}
}

// routerTable measures the log's traffic and the processor time by number of routers, at rest
// and under a load of ten requests a second for each router.
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

// routerSample is one row of the routers' table.
type routerSample struct {
	appends float64
	bytes   float64
	percent float64
}

// measureRouters runs routers in real time in this process; the processor time includes the
// fakes and the load.
func (c *capacityCommand) measureRouters(routers, rate int) (routerSample, error) {
	w := jvfake.NewSimulation("capacity")
	defer w.Close()
	w.SetTokenTime(10 * time.Millisecond)
	zones := []string{"a", "b", "c"}
	var fleets []*jvfleet.Router
	for n := range routers {
		zone := zones[n%len(zones)]
		fleets = append(fleets, w.Start(w.Options(fmt.Sprintf("%s%d", zone, n), zone)))
	}
	client := jvoperator.NewClient(jvoperator.Options{
		Operator: "capacity", Stream: "fleet", Log: w.Log(), Timer: w.Timer,
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
	count, bytes := w.Appends()
	before, started := cpu(), time.Now()
	end := started.Add(c.Duration)
	for n := 0; time.Now().Before(end); n++ {
		if rate == 0 {
			time.Sleep(time.Until(end))
			break
		}
		go ask(fleets[n%len(fleets)], n)
		time.Sleep(time.Second / time.Duration(rate*routers))
	}
	seconds := time.Since(started).Seconds()
	used := cpu() - before
	after, afterBytes := w.Appends()
	return routerSample{
		appends: float64(after-count) / seconds,
		bytes:   float64(afterBytes-bytes) / seconds,
		percent: 100 * used.Seconds() / seconds / float64(routers),
	}, nil
}

// ask sends one model request and reads its answer.
func ask(f *jvfleet.Router, n int) {
	body := fmt.Sprintf(`{"model":"quick","messages":[{"role":"user","content":"request %d"}]}`, n)
	q, _, p := f.AdmitChat(jvfleet.Incoming{Authorization: "Bearer key", Body: []byte(body)})
	if p != nil {
		return
	}
	fl, p := f.Serve(q)
	if p != nil {
		return
	}
	defer fl.Detach()
	for from := int64(0); ; {
		events, end, err := fl.Read(context.Background(), from)
		if err != nil || end != nil {
			return
		}
		from += int64(len(events))
	}
}

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
