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

// vmLog is one VM's access to the log.
type vmLog struct {
	sim *Simulation
	vm  string
}

// stream returns the stream of a name, and creates it at its first use.
func (sm *Simulation) stream(name string) *jvstandin.Stream {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	s := sm.streams[name]
	if s == nil {
		s = jvstandin.NewStream(0, 0)
		sm.streams[name] = s
	}
	return s
}

// Log returns an operator's access to the log.
func (sm *Simulation) Log() jvplatform.Log { return &vmLog{sim: sm, vm: "operator"} }

// Appends returns the number of appends that took effect and their total size in bytes.
func (sm *Simulation) Appends() (count int, bytes int64) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.appends, sm.bytes
}

func (sm *Simulation) isLogDown() bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.logDown
}

// checkLog returns an error while the VM can't reach the log or the log is down.
func (l *vmLog) checkLog(ctx context.Context, op string) error {
	err := l.sim.checkReachable(ctx, l.vm, "log")
	if err == nil && l.sim.isLogDown() {
		err = errUnreachable
	}
	if err != nil {
		return jvfault.New(op, jvplatform.KindUnknown, err)
	}
	return nil
}

// Append implements jvplatform.Log.
func (l *vmLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	const op = "append"
	event := Event{VM: l.vm, Step: StepAppend, RecordKinds: recordKinds(data)}
	if err := l.sim.runStep(ctx, event); err != nil {
		return 0, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	if err := l.checkLog(ctx, op); err != nil {
		return 0, err
	}
	_ = l.sim.sleep(ctx, appendTime)
	if l.sim.hasMutant(MutantDuplicateBill) {
		data = duplicateBills(data)
	}
	e := l.sim.stream(stream).Append(data, l.sim.Timer.Now())
	l.sim.mu.Lock()
	l.sim.appends++
	l.sim.bytes += int64(len(data))
	l.sim.mu.Unlock()
	event.Step = StepAppended
	if err := l.sim.runStep(ctx, event); err != nil {
		return 0, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	if err := l.checkLog(ctx, op); err != nil {
		return 0, err // The append took effect, but its response is lost.
	}
	return e.Offset, nil
}

// Read implements jvplatform.Log.
func (l *vmLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (jvplatform.Page, error) {
	const op = "read log"
	if err := l.checkLog(ctx, op); err != nil {
		return jvplatform.Page{}, err
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	page, err := l.sim.stream(stream).Read(limited, from)
	if err != nil {
		return page, err
	}
	if err := l.sim.runStep(ctx, Event{VM: l.vm, Step: "read"}); err != nil {
		return jvplatform.Page{}, jvfault.New(op, jvplatform.KindUnknown, err)
	}
	return page, l.checkLog(ctx, op)
}

// recordKinds returns the kinds of the run-lock, finish, claim, report and hello records in an
// encoded batch.
func recordKinds(data []byte) []string {
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

// vmList is one VM's access to the VM list.
type vmList struct {
	sim *Simulation
	vm  string
}

// List implements jvplatform.VMs.
func (v *vmList) List(ctx context.Context) ([]jvplatform.VM, error) {
	if err := v.sim.runStep(ctx, Event{VM: v.vm, Step: "list"}); err != nil {
		return nil, err
	}
	if err := v.sim.checkReachable(ctx, v.vm, "vms"); err != nil {
		return nil, err
	}
	v.sim.mu.Lock()
	defer v.sim.mu.Unlock()
	return append([]jvplatform.VM(nil), v.sim.vms...), nil
}

// vmNetwork is one VM's access to its peers.
type vmNetwork struct {
	sim *Simulation
	vm  string
}

// Send implements jvpeer.Network.
func (n *vmNetwork) Send(ctx context.Context, to jvpeer.Peer, request jvpeer.Request) (jvpeer.Response, error) {
	const op = "ask peer"
	unreachable := func(err error) (jvpeer.Response, error) {
		return jvpeer.Response{}, jvfault.New(op, jvpeer.KindUnreachable, err)
	}
	if err := n.sim.runStep(ctx, Event{VM: n.vm, Step: StepRequest, Target: to.VM}); err != nil {
		return unreachable(err)
	}
	for _, part := range []string{"peers", to.VM} {
		if err := n.sim.checkReachable(ctx, n.vm, part); err != nil {
			return unreachable(err)
		}
	}
	if err := n.sim.checkReachable(ctx, to.VM, "peers"); err != nil {
		return unreachable(err)
	}
	_ = n.sim.sleep(ctx, peerLatency)
	router := n.sim.Router(to.VM)
	if router == nil {
		return unreachable(errUnreachable)
	}
	if err := n.sim.runStep(ctx, Event{VM: to.VM, Step: "asked"}); err != nil {
		return unreachable(err)
	}
	response := router.HandlePeer(ctx, request)
	if err := n.sim.runStep(ctx, Event{VM: n.vm, Step: StepResponse, Target: to.VM}); err != nil {
		return unreachable(err)
	}
	if err := n.sim.checkReachable(ctx, n.vm, "peers"); err != nil {
		return unreachable(err)
	}
	_ = n.sim.sleep(ctx, peerLatency)
	return response, ctx.Err()
}

// Trim drops all but the newest keep entries of a stream, as its retention does.
func (sm *Simulation) Trim(name string, keep int) { sm.stream(name).Trim(keep) }

// duplicateBills returns a batch whose bills are repeated under other serials.
func duplicateBills(data []byte) []byte {
	b, err := jvcodec.Decode[jvrecord.Batch](data)
	if err != nil {
		return data
	}
	for _, r := range b.Records {
		if r.Report == nil {
			continue
		}
		for _, g := range r.Report.Bills {
			duplicate := g
			duplicate.Lines = slices.Clone(g.Lines)
			for i := range duplicate.Lines {
				duplicate.Lines[i].Serial += 1_000_000
			}
			r.Report.Bills = append(r.Report.Bills, duplicate)
		}
	}
	return jvcodec.Encode(&b)
}
