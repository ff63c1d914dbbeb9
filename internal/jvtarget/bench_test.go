package jvtarget

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// BenchmarkTurns measures a slot that is given to one of 144 waiting requests of 40 workspaces.
func BenchmarkTurns(b *testing.B) {
	var l waitQueue
	for n := range 144 {
		l.push(&waiter{request: Request{Workspace: fmt.Sprint("workspace", n%40), Deadline: time.Unix(int64(n), 0)}})
	}
	u := newTurns()
	b.ReportAllocs()
	for b.Loop() {
		serveNext(&u, &l, func(Request) float64 { return 10 }, true, time.Unix(0, 0))
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct {
		targets int
		figure  float64
	}{{6, 0}, {60, 0}, {60, 100}, {600, 0}} {
		b.Run(fmt.Sprintf("%dtargets,figure%g", c.targets, c.figure), func(b *testing.B) {
			timer := jvtimer.NewService()
			defer timer.Close()
			table := NewTable("a", timer, func() float64 { return 0.4 })
			body := `{"name":"e","kind":"engine","targets":[`
			for n := range c.targets {
				if n > 0 {
					body += ","
				}
				body += fmt.Sprintf(`{"name":"e%d","zone":"a","address":"127.0.0.1:1","slots":16}`, n)
			}
			catalog, err := jvconfig.NewCatalog().With(1, jvrecord.Item{Kind: jvrecord.ItemPool, Name: "e", Body: []byte(body + "]}")})
			if err != nil {
				b.Fatal(err)
			}
			table.Configure(catalog)
			for n := range c.targets {
				table.RecordLoad("e", fmt.Sprint("e", n), Load{Busy: 3, Figure: c.figure, ReportedAt: time.Now()})
			}
			request := Request{
				Pool: "e", Attempt: "r.1", Prefix: "prefix", Deadline: time.Now().Add(time.Hour),
				PromptTokens: 3000, OutputTokens: 200, SharedTokens: 2000, CapacityTokens: 700_000,
			}
			b.ReportAllocs()
			for b.Loop() {
				l, err := table.Acquire(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				l.Release(ResultSucceeded)
			}
		})
	}
}
