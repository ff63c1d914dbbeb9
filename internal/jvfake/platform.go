package jvfake

import (
	"context"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// logOf is the log as one VM reaches it.
type logOf struct {
	world *Simulation
	vm    string
}

func (w *Simulation) stream(name string) *jvstandin.Stream {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.streams[name]
	if s == nil {
		s = jvstandin.NewStream(0, 0)
		w.streams[name] = s
	}
	return s
}

// Log returns the log as an operator's machine reaches it.
func (w *Simulation) Log() jvplatform.Log { return &logOf{world: w, vm: "operator"} }

// Appends returns how many appends took effect and their size in bytes.
func (w *Simulation) Appends() (count int, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends, w.bytes
}

func (w *Simulation) logAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logDown
}

func (l *logOf) open(ctx context.Context, op string) error {
	err := l.world.reach(ctx, l.vm, "log")
	if err == nil && l.world.logAway() {
		err = errCut
	}
	if err != nil {
		return jvfault.New(op, jvplatform.KindUnknown, err)
	}
	return nil
}

// Append implements jvplatform.Log.
func (l *logOf) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	const op = "append"
	event := Event{VM: l.vm, Step: StepAppend, RecordKinds: kindsOf(data)}
	if err := l.world.pass(ctx, event); err != nil {
		return 0, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	if err := l.open(ctx, op); err != nil {
		return 0, err
	}
	_ = l.world.sleep(ctx, appendTime)
	if l.world.tells(MutantDuplicateBill) {
		data = billTwice(data)
	}
	e := l.world.stream(stream).Append(data, l.world.Timer.Now())
	l.world.mu.Lock()
	l.world.appends++
	l.world.bytes += int64(len(data))
	l.world.mu.Unlock()
	event.Step = StepAppended
	if err := l.world.pass(ctx, event); err != nil {
		return 0, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	if err := l.open(ctx, op); err != nil {
		return 0, err // The append took effect, and its answer is lost.
	}
	return e.Offset, nil
}

// Read implements jvplatform.Log.
func (l *logOf) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (jvplatform.Page, error) {
	const op = "read log"
	if err := l.open(ctx, op); err != nil {
		return jvplatform.Page{}, err
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	page, err := l.world.stream(stream).Read(limited, from)
	if err != nil {
		return page, err
	}
	if err := l.world.pass(ctx, Event{VM: l.vm, Step: "read"}); err != nil {
		return jvplatform.Page{}, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	return page, l.open(ctx, op)
}

// kindsOf names the kinds of records in a batch.
func kindsOf(data []byte) []string {
	b, err := jvcodec.Decode[jvrecord.Batch](data)
	if err != nil {
		return nil
	}
	var kinds []string
	for _, r := range b.Records {
		switch {
		case r.RunLock != nil:
			kinds = append(kinds, "take")
		case r.Finish != nil:
			kinds = append(kinds, "finish")
		case r.Claim != nil:
			kinds = append(kinds, "claim")
		case r.Report != nil:
			kinds = append(kinds, "report")
		case r.Hello != nil:
			kinds = append(kinds, "hello")
		}
	}
	return kinds
}

// vmsOf is the VM list as one VM reaches it.
type vmsOf struct {
	world *Simulation
	vm    string
}

// List implements jvplatform.VMs.
func (v *vmsOf) List(ctx context.Context) ([]jvplatform.VM, error) {
	if err := v.world.pass(ctx, Event{VM: v.vm, Step: "list"}); err != nil {
		return nil, err
	}
	if err := v.world.reach(ctx, v.vm, "vms"); err != nil {
		return nil, err
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return append([]jvplatform.VM(nil), v.world.vms...), nil
}

// networkOf is the peers as one VM reaches them.
type networkOf struct {
	world *Simulation
	vm    string
}

// Send implements jvpeer.Network.
func (n *networkOf) Send(ctx context.Context, to jvpeer.Peer, ask jvpeer.Request) (jvpeer.Response, error) {
	const op = "ask peer"
	unreachable := func(err error) (jvpeer.Response, error) {
		return jvpeer.Response{}, jvfault.New(op, jvpeer.KindUnreachable, err)
	}
	if err := n.world.pass(ctx, Event{VM: n.vm, Step: StepRequest, Target: to.VM}); err != nil {
		return unreachable(err)
	}
	for _, part := range []string{"peers", to.VM} {
		if err := n.world.reach(ctx, n.vm, part); err != nil {
			return unreachable(err)
		}
	}
	if err := n.world.reach(ctx, to.VM, "peers"); err != nil {
		return unreachable(err)
	}
	_ = n.world.sleep(ctx, linkTime)
	f := n.world.Router(to.VM)
	if f == nil {
		return unreachable(errCut)
	}
	if err := n.world.pass(ctx, Event{VM: to.VM, Step: "asked"}); err != nil {
		return unreachable(err)
	}
	answer := f.Answer(ctx, ask)
	if err := n.world.pass(ctx, Event{VM: n.vm, Step: StepResponse, Target: to.VM}); err != nil {
		return unreachable(err)
	}
	if err := n.world.reach(ctx, n.vm, "peers"); err != nil {
		return unreachable(err)
	}
	_ = n.world.sleep(ctx, linkTime)
	return answer, ctx.Err()
}

// Trim drops all but the newest entries of a stream, as its retention does.
func (w *Simulation) Trim(name string, keep int) { w.stream(name).Trim(keep) }

// billTwice repeats the bills of a batch under other serials.
func billTwice(data []byte) []byte {
	b, err := jvcodec.Decode[jvrecord.Batch](data)
	if err != nil {
		return data
	}
	for _, r := range b.Records {
		if r.Report == nil {
			continue
		}
		for _, g := range r.Report.Bills {
			again := g
			again.Lines = slices.Clone(g.Lines)
			for i := range again.Lines {
				again.Lines[i].Serial += 1_000_000
			}
			r.Report.Bills = append(r.Report.Bills, again)
		}
	}
	return jvcodec.Encode(&b)
}
