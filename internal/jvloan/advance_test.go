package jvloan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvescrow"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// linkTrial is what a borrower served while its link lost all packets for one second in two.
type linkTrial struct {
	served, refused, packets int
	used, committed          int64
}

func runLinkTrial(t *testing.T, span time.Duration) (result linkTrial) {
	synctest.Test(t, func(*testing.T) {
		n := &network{span: span, routers: map[string]*router{}, faults: []int{0}}
		for i := range testRouters {
			name := fmt.Sprint("r", i)
			n.routers[name] = &router{network: n, member: jvmember.Member{Name: name, Zone: "z", Weight: 1}, pot: &pot{escrow: jvescrow.NewEscrow()}}
			n.routers[name].pot.escrow.RaiseTotals(testWorkspace, 100*potTokens, 0)
		}
		for _, r := range n.routers {
			n.start(r)
		}
		var l *Loans
		for i := 0; l == nil; i++ {
			r := n.routers[fmt.Sprint("r", i)]
			if c := r.loans.Load(); !c.layout.Holds(r.member) {
				l = c
			}
		}
		ticks := l.options.Timer.Every(resendInterval, l.resend)
		var mu sync.Mutex
		var running sync.WaitGroup
		const perSecond = 50
		for i := range 6 * perSecond {
			time.Sleep(time.Second / perSecond)
			n.mu.Lock()
			n.faults[0] = i / perSecond % 2 // 1 loses each packet.
			n.mu.Unlock()
			running.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				r, err := l.Reserve(ctx, testWorkspace, 1000)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					result.refused++
					return
				}
				result.served++
				result.used += 100
				time.AfterFunc(100*time.Millisecond, func() { l.Settle(r, 100) })
			})
		}
		running.Wait()
		n.mu.Lock()
		result.packets = n.sent
		n.calm = true
		n.mu.Unlock()
		time.Sleep(time.Minute)
		for _, r := range n.routers {
			result.committed += r.pot.escrow.Account(testWorkspace).Committed()
		}
		ticks.Close()
		time.Sleep(time.Second)
	})
	return result
}

// TestCongestedLinkServesFromAdvances guards against requests that are refused with "no response" of all holders although
// budget is left, since a saturated link loses packets, and against tokens that such a link leaves reserved.
func TestCongestedLinkServesFromAdvances(t *testing.T) {
	alone, advance := runLinkTrial(t, 0), runLinkTrial(t, DefaultOptions().AdvanceSpan)
	t.Logf("one by one %+v, with advances %+v", alone, advance)
	require.Positive(t, alone.refused)
	require.Less(t, advance.refused, alone.refused/2)
	require.Less(t, advance.packets, alone.packets/4)
	require.Equal(t, alone.used, alone.committed)
	require.Equal(t, advance.used, advance.committed)
}

// fakePort notes what advances decide.
type fakePort struct {
	last      uint64
	asked     map[uint64]int64
	abandoned map[uint64]bool
	settled   map[uint64]int64
	repeats   int
}

func (p *fakePort) request(_ string, tokens int64) (uint64, bool) {
	p.last++
	p.asked[p.last] = tokens
	return p.last, true
}
func (p *fakePort) repeat(uint64)                    { p.repeats++ }
func (p *fakePort) abandon(number uint64)            { p.abandoned[number] = true }
func (p *fakePort) settle(number uint64, used int64) { p.settled[number] = used }

// decisions drives advances with a time of the test.
type decisions struct {
	*advances

	port *fakePort
	now  time.Time
	// grants is true if the holder grants each advance at once.
	grants bool
}

func newDecisions() *decisions {
	p := &fakePort{asked: map[uint64]int64{}, abandoned: map[uint64]bool{}, settled: map[uint64]int64{}}
	return &decisions{advances: newAdvances(DefaultOptions(), p), port: p, now: time.Unix(1000, 0)}
}

// offer begins and ends requests of 1000 tokens at a rate for a second.
func (d *decisions) offer(perSecond int) {
	for range perSecond {
		d.pass(time.Second / time.Duration(perSecond))
		if number := d.begin(d.now, testWorkspace, 1000); number != 0 {
			d.end(number, 1000)
		}
		if d.grants {
			d.granted(d.now, d.port.last)
		}
	}
}

// pass lets time pass.
func (d *decisions) pass(span time.Duration) {
	d.now = d.now.Add(span)
	d.tick(d.now)
}

// TestAdvancesStaySmall guards against advances that withhold tokens from requests at other routers: of workspaces with
// few requests, of more than half a second of demand, while holders refuse, and after the last request.
func TestAdvancesStaySmall(t *testing.T) {
	d := newDecisions()
	d.offer(9)
	require.Empty(t, d.port.asked, "few requests")
	d.pass(2 * time.Second)
	d.grants = true
	for range 5 {
		d.offer(50)
		_, rest := d.snapshot()
		require.LessOrEqual(t, rest, int64(50*500))
	}
	require.Greater(t, d.counts.Draws, 10*d.counts.Granted)
	for _, tokens := range d.port.asked {
		require.LessOrEqual(t, tokens, int64(50*350))
	}
	d.pass(maxIdle)
	d.pass(maxIdle)
	_, rest := d.snapshot()
	require.Zero(t, rest, "idle")

	d = newDecisions()
	d.offer(16)
	d.refused(d.now, d.port.last)
	asked := d.port.last
	d.offer(50)
	require.Equal(t, asked, d.port.last, "after a refusal")
	d.offer(50)
	require.Equal(t, asked+1, d.port.last)
	require.Less(t, d.port.asked[asked+1], int64(50*350))
	d.scarce(d.now, testWorkspace)
	require.True(t, d.port.abandoned[asked+1], "a request was refused")
	d.offer(50)
	require.Equal(t, asked+1, d.port.last)
}

// TestLateAdvanceIsReturned guards against tokens that stay reserved, and against their use, where a holder grants an
// advance after it was given up.
func TestLateAdvanceIsReturned(t *testing.T) {
	d := newDecisions()
	d.offer(16)
	number := d.port.last
	for range 6 {
		d.pass(advanceResend)
	}
	require.Positive(t, d.port.repeats)
	require.True(t, d.port.abandoned[number])
	require.False(t, d.granted(d.now, number))
	require.Zero(t, d.begin(d.now, testWorkspace, 1))
}

// TestLongRequestReleasesItsAdvance guards against a long response that keeps a whole advance from other routers, and
// against tokens that count as used since their request outlived the advance.
func TestLongRequestReleasesItsAdvance(t *testing.T) {
	d := newDecisions()
	d.offer(16)
	first := d.port.last
	require.True(t, d.granted(d.now, first))
	long := d.begin(d.now, testWorkspace, 1000)
	require.NotZero(t, long)
	d.pass(maxIdle)
	require.NotEqual(t, first, d.port.last)
	require.EqualValues(t, 1000, d.port.asked[d.port.last])
	require.NotContains(t, d.port.settled, first)
	require.True(t, d.granted(d.now, d.port.last))
	require.EqualValues(t, 0, d.port.settled[first])
	require.Contains(t, d.port.settled, first)
	d.end(long, 300)
	d.end(long, 300)
	require.EqualValues(t, 300, d.port.settled[d.port.last])

	d.offer(16)
	require.True(t, d.granted(d.now, d.port.last))
	long = d.begin(d.now, testWorkspace, 1000)
	d.settleAll()
	require.EqualValues(t, 1000, d.port.settled[d.port.last], "the process ends")
	d.end(long, 1)
	require.EqualValues(t, 1000, d.port.settled[d.port.last])
}

// TestLongRequestsWithholdLittle guards against advances of which much is out of reach beside requests of different length:
// 50 a second run for 0.3 s, and each twentieth for 20 s. They use all, half and a tenth of their worst cases.
func TestLongRequestsWithholdLittle(t *testing.T) {
	for _, used := range []int64{1000, 500, 100} {
		d := newDecisions()
		ends := map[uint64]time.Time{}
		var most, sum int64
		const requests = 3000
		for i := range requests {
			d.pass(20 * time.Millisecond)
			number := d.begin(d.now, testWorkspace, 1000)
			for asked := range d.requests {
				d.granted(d.now, asked)
			}
			if number != 0 && i%20 == 0 {
				ends[number] = d.now.Add(20 * time.Second)
			} else if number != 0 {
				ends[number] = d.now.Add(300 * time.Millisecond)
			}
			for n, at := range ends {
				if !at.After(d.now) {
					d.end(n, used)
					delete(ends, n)
				}
			}
			_, rest := d.snapshot()
			most, sum = max(most, rest), sum+rest
		}
		t.Logf("%d used of 1000: out of reach %d at most, %d on average; %d requests to holders, %+v", used, most, sum/requests, d.port.last, d.counts)
		require.Less(t, most, int64(50*650))
		require.Less(t, sum/requests, int64(50*500))
		require.Less(t, d.port.last, uint64(requests/8))
	}
}
