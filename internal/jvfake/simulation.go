package jvfake

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Step is a point between a router and the outside.
type Step string

// Steps, in the order in which one exchange passes them.
const (
	StepAppend   Step = "append"   // before an append reaches the log
	StepAppended Step = "appended" // after it took effect, before its answer
	StepRequest  Step = "ask"      // before a peer gets a message
	StepResponse Step = "answered" // after the peer acted, before its answer
	StepCall     Step = "call"     // before a service gets a call
	StepCalled   Step = "called"   // after it took effect, before its answer
	StepGenerate Step = "generate" // before an engine gets an attempt
	StepToken    Step = "token"    // before one token is passed on
	StepDone     Step = "done"     // after all tokens, before the last line
)

// Event is one step of one router.
type Event struct {
	VM   string
	Step Step
	// RecordKinds names the kinds of records of an append, Token counts within an answer.
	RecordKinds []string
	TokenIndex  int64
	Target      string
}

// Simulation is all that is outside of the routers.
type Simulation struct {
	Timer  *jvtimer.Service
	chance *jvchance.Source

	mu      sync.Mutex
	streams map[string]*jvstandin.Stream
	vms     []jvplatform.VM
	fleets  map[string]*jvfleet.Fleet
	paused  map[string]chan struct{}
	dead    map[string]bool
	cut     map[string]bool
	hook    func(Event)
	engines map[string]*engine
	runs    map[string]int
	tokens  map[string]int64
	calls   map[string]*service
	logDown bool
	lie     Mutant
	appends int
	bytes   int64
	token   time.Duration
}

// Times that the fakes take: a call, an append, and one way to a peer.
const (
	callTime   = 10 * time.Millisecond
	appendTime = 3 * time.Millisecond
	linkTime   = time.Millisecond / 2
)

// NewSimulation returns a world without routers; keep bounds each stream's entries, 0 for no bound.
func NewSimulation(seed string) *Simulation {
	return &Simulation{
		Timer:   jvtimer.NewService(),
		chance:  jvchance.NewSource(sha256.Sum256([]byte(seed))),
		streams: map[string]*jvstandin.Stream{},
		fleets:  map[string]*jvfleet.Fleet{},
		paused:  map[string]chan struct{}{},
		dead:    map[string]bool{},
		cut:     map[string]bool{},
		engines: map[string]*engine{},
		runs:    map[string]int{},
		tokens:  map[string]int64{},
		calls:   map[string]*service{},
		token:   5 * time.Millisecond,
	}
}

// Options returns a router's options with this world's fakes in them.
func (w *Simulation) Options(vm, zone string) jvfleet.Options {
	o := jvfleet.DefaultOptions()
	o.VM = vm
	o.Zone = zone
	o.Timer = w.Timer
	o.Chance = jvchance.NewSource(sha256.Sum256([]byte(vm + w.chance.ID())))
	o.Log = &logOf{world: w, vm: vm}
	o.VMs = &vmsOf{world: w, vm: vm}
	o.Network = &networkOf{world: w, vm: vm}
	o.Targets = &targetsOf{world: w, vm: vm}
	o.Logger = logr.Discard()
	o.Workers = 64
	return o
}

// Start starts a router on a VM and lists it.
func (w *Simulation) Start(o jvfleet.Options) *jvfleet.Fleet {
	w.mu.Lock()
	delete(w.dead, o.VM)
	w.unlist(o.VM)
	w.vms = append(w.vms, jvplatform.VM{Name: o.VM, Zone: o.Zone, Role: jvplatform.RoleEntry, State: jvplatform.VMLive, Address: o.VM})
	w.mu.Unlock()
	f := jvfleet.NewFleet(o)
	w.mu.Lock()
	w.fleets[o.VM] = f
	w.mu.Unlock()
	return f
}

// Router returns the router of a VM, or nil.
func (w *Simulation) Router(vm string) *jvfleet.Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleets[vm]
}

// Kill ends a router at once; the list drops its VM a little later.
func (w *Simulation) Kill(vm string) {
	w.mu.Lock()
	f := w.fleets[vm]
	delete(w.fleets, vm)
	w.dead[vm] = true
	if gate := w.paused[vm]; gate != nil {
		close(gate)
		delete(w.paused, vm)
	}
	w.mu.Unlock()
	if f == nil {
		return
	}
	go func() {
		f.Close()
		<-w.Timer.After(listLag)
		w.Unlist(vm)
	}()
}

// listLag is how long the VM list shows a VM that is gone.
const listLag = 2 * time.Second

// Unlist takes a VM off the list, unless it was started again.
func (w *Simulation) Unlist(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fleets[vm] != nil {
		return
	}
	w.unlist(vm)
}

func (w *Simulation) unlist(vm string) {
	kept := []jvplatform.VM{}
	for _, v := range w.vms {
		if v.Name != vm {
			kept = append(kept, v)
		}
	}
	w.vms = kept
}

// ListTarget puts a target on the VM list in a state.
func (w *Simulation) ListTarget(name, zone string, state jvplatform.VMState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = append(w.vms, jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleTarget, State: state})
}

// Pause holds up everything that a VM does towards the outside until Resume.
func (w *Simulation) Pause(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused[vm] == nil {
		w.paused[vm] = make(chan struct{})
	}
}

// Resume lets a paused VM go on.
func (w *Simulation) Resume(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if gate := w.paused[vm]; gate != nil {
		close(gate)
		delete(w.paused, vm)
	}
}

// Disconnect separates a VM from the log, from peers or from a zone's peers until Heal; parts are
// "log", "vms", "peers" and "targets".
func (w *Simulation) Disconnect(vm string, parts ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range parts {
		w.cut[vm+"/"+p] = true
	}
}

// DisconnectPair separates two VMs from each other.
func (w *Simulation) DisconnectPair(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[a+"/"+b] = true
	w.cut[b+"/"+a] = true
}

// Heal ends all cuts and pauses and a log that is down.
func (w *Simulation) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = map[string]bool{}
	for vm, gate := range w.paused {
		close(gate)
		delete(w.paused, vm)
	}
	w.logDown = false
	for _, e := range w.engines {
		e.down = false
	}
	for _, s := range w.calls {
		s.down = false
	}
}

// SetLogDown makes the log answer nothing.
func (w *Simulation) SetLogDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logDown = down
}

// Mutant is a deliberate fault of the world, by which tests show that they would notice one of
// the fleet's own.
type Mutant string

// Lies that a world can tell.
const (
	MutantDuplicateCall Mutant = "each call runs twice"
	MutantWrongAnswer   Mutant = "answers are of another prompt"
	MutantShortAnswer   Mutant = "answers lack their last token"
	MutantExcessUsage   Mutant = "engines use far more than they were allowed"
	MutantDuplicateBill Mutant = "each bill comes again under another serial"
)

// SetMutant makes the world tell a lie from now on.
func (w *Simulation) SetMutant(l Mutant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lie = l
}

func (w *Simulation) tells(l Mutant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lie == l
}

// SetTokenTime says how long one token takes from now on.
func (w *Simulation) SetTokenTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token = d
}

func (w *Simulation) tokenTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// Hook has every step of every router passed to h, on the goroutine that takes the step.
func (w *Simulation) Hook(h func(Event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = h
}

// Close ends all routers.
func (w *Simulation) Close() {
	w.Hook(nil)
	w.Heal()
	w.mu.Lock()
	fleets := w.fleets
	w.fleets = map[string]*jvfleet.Fleet{}
	w.mu.Unlock()
	for _, f := range fleets {
		f.Close()
	}
	w.Timer.Close()
}

// errCut is what a VM sees of a partition once it stops waiting.
var errCut = errors.New("no answer: partition")

// pass is taken at each step: it runs the hook, then waits while the VM is paused.
func (w *Simulation) pass(ctx context.Context, e Event) error {
	w.mu.Lock()
	hook := w.hook
	w.mu.Unlock()
	if hook != nil {
		hook(e)
	}
	for {
		w.mu.Lock()
		gate, dead := w.paused[e.VM], w.dead[e.VM]
		w.mu.Unlock()
		if dead {
			return errCut
		}
		if gate == nil {
			return nil
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reach fails, once ctx ends, where a VM is cut from a part.
func (w *Simulation) reach(ctx context.Context, vm, part string) error {
	w.mu.Lock()
	cut := w.cut[vm+"/"+part]
	w.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-w.Timer.After(cutTimeout):
	}
	return errCut
}

// cutTimeout is how long a connection into a partition takes to fail by itself.
const cutTimeout = 10 * time.Second

func (w *Simulation) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-w.Timer.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
