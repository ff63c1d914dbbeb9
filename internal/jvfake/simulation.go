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

// Step is a point in an exchange between a router and an outside system.
type Step string

// Steps of an append, a message between VMs, a call and a model request, each in order.
const (
	StepAppend   Step = "append"   // before an append reaches the log
	StepAppended Step = "appended" // after it took effect, before its response
	StepRequest  Step = "ask"      // before a peer receives a request
	StepResponse Step = "answered" // after the peer handled it, before its response
	StepCall     Step = "call"     // before a service receives a call
	StepCalled   Step = "called"   // after it took effect, before its response
	StepGenerate Step = "generate" // before an engine receives an attempt
	StepToken    Step = "token"    // before one token is passed on
	StepDone     Step = "done"     // after all tokens, before the last line
)

// Event is a step of one router.
type Event struct {
	VM   string
	Step Step
	// RecordKinds are the kinds of the records in an append. TokenIndex is the index of a
	// token in its answer. Target is the name of the target, or the VM of the peer.
	RecordKinds []string
	TokenIndex  int64
	Target      string
}

// Simulation is a set of routers with fakes of the systems outside them.
type Simulation struct {
	Timer  *jvtimer.Service
	random *jvchance.Source

	mu      sync.Mutex
	streams map[string]*jvstandin.Stream
	vms     []jvplatform.VM
	routers map[string]*jvfleet.Router
	// paused has a channel for each paused VM, which is closed to resume it. disconnected has
	// the keys "vm/part" of the parts that are unreachable for a VM.
	paused       map[string]chan struct{}
	killed       map[string]bool
	disconnected map[string]bool
	hook         func(Event)
	engines      map[string]*engine
	// executions counts the executed calls by key, usedTokens the tokens used by model.
	executions map[string]int
	usedTokens map[string]int64
	services   map[string]*service
	logDown    bool
	mutant     Mutant
	appends    int
	bytes      int64
	tokenTime  time.Duration
}

// Simulated durations of a call, of an append, and of one way to a peer.
const (
	callTime    = 10 * time.Millisecond
	appendTime  = 3 * time.Millisecond
	peerLatency = time.Millisecond / 2
)

// NewSimulation returns a simulation without routers, whose random values follow from seed.
func NewSimulation(seed string) *Simulation {
	return &Simulation{
		Timer:        jvtimer.NewService(),
		random:       jvchance.NewSource(sha256.Sum256([]byte(seed))),
		streams:      map[string]*jvstandin.Stream{},
		routers:      map[string]*jvfleet.Router{},
		paused:       map[string]chan struct{}{},
		killed:       map[string]bool{},
		disconnected: map[string]bool{},
		engines:      map[string]*engine{},
		executions:   map[string]int{},
		usedTokens:   map[string]int64{},
		services:     map[string]*service{},
		tokenTime:    5 * time.Millisecond,
	}
}

// Options returns options for a router that uses the simulation's fakes.
func (sm *Simulation) Options(vm, zone string) jvfleet.Options {
	o := jvfleet.DefaultOptions()
	o.VM = vm
	o.Zone = zone
	o.Timer = sm.Timer
	o.Random = jvchance.NewSource(sha256.Sum256([]byte(vm + sm.random.ID())))
	o.Log = &vmLog{sim: sm, vm: vm}
	o.VMs = &vmList{sim: sm, vm: vm}
	o.Network = &vmNetwork{sim: sm, vm: vm}
	o.Targets = &vmTargets{sim: sm, vm: vm}
	o.Logger = logr.Discard()
	o.Workers = 64
	return o
}

// Start starts a router and puts its VM on the VM list.
func (sm *Simulation) Start(o jvfleet.Options) *jvfleet.Router {
	sm.mu.Lock()
	delete(sm.killed, o.VM)
	sm.unlist(o.VM)
	sm.vms = append(sm.vms, jvplatform.VM{Name: o.VM, Zone: o.Zone, Role: jvplatform.RoleEntry, State: jvplatform.VMLive, Address: o.VM})
	sm.mu.Unlock()
	r := jvfleet.NewRouter(o)
	sm.mu.Lock()
	sm.routers[o.VM] = r
	sm.mu.Unlock()
	return r
}

// Router returns the router of a VM, or nil.
func (sm *Simulation) Router(vm string) *jvfleet.Router {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.routers[vm]
}

// Kill ends a router at once. Its VM leaves the VM list after listLag.
func (sm *Simulation) Kill(vm string) {
	sm.mu.Lock()
	r := sm.routers[vm]
	delete(sm.routers, vm)
	sm.killed[vm] = true
	if gate := sm.paused[vm]; gate != nil {
		close(gate)
		delete(sm.paused, vm)
	}
	sm.mu.Unlock()
	if r == nil {
		return
	}
	go func() {
		r.Close()
		<-sm.Timer.After(listLag)
		sm.Unlist(vm)
	}()
}

// listLag is the time for which the VM list still shows a VM after its end.
const listLag = 2 * time.Second

// Unlist removes a VM from the VM list, unless its router was started again.
func (sm *Simulation) Unlist(vm string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if sm.routers[vm] != nil {
		return
	}
	sm.unlist(vm)
}

// unlist removes a VM from the VM list. sm.mu must be held.
func (sm *Simulation) unlist(vm string) {
	kept := []jvplatform.VM{}
	for _, v := range sm.vms {
		if v.Name != vm {
			kept = append(kept, v)
		}
	}
	sm.vms = kept
}

// ListTarget puts a target on the VM list with a state.
func (sm *Simulation) ListTarget(name, zone string, state jvplatform.VMState) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.vms = append(sm.vms, jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleTarget, State: state})
}

// Pause blocks every step of a VM until Resume.
func (sm *Simulation) Pause(vm string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if sm.paused[vm] == nil {
		sm.paused[vm] = make(chan struct{})
	}
}

// Resume unblocks a paused VM.
func (sm *Simulation) Resume(vm string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if gate := sm.paused[vm]; gate != nil {
		close(gate)
		delete(sm.paused, vm)
	}
}

// Disconnect makes parts unreachable for a VM until Heal. A part is "log", "vms", "peers",
// "targets" or the name of another VM.
func (sm *Simulation) Disconnect(vm string, parts ...string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	for _, part := range parts {
		sm.disconnected[vm+"/"+part] = true
	}
}

// DisconnectPair makes two VMs unreachable for each other until Heal.
func (sm *Simulation) DisconnectPair(a, b string) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.disconnected[a+"/"+b] = true
	sm.disconnected[b+"/"+a] = true
}

// Heal reconnects and resumes all VMs, and brings the log and all targets up again.
func (sm *Simulation) Heal() {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.disconnected = map[string]bool{}
	for vm, gate := range sm.paused {
		close(gate)
		delete(sm.paused, vm)
	}
	sm.logDown = false
	for _, e := range sm.engines {
		e.down = false
	}
	for _, s := range sm.services {
		s.down = false
	}
}

// SetLogDown sets whether every access to the log fails.
func (sm *Simulation) SetLogDown(down bool) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.logDown = down
}

// Mutant is a fault injected into the fakes in a sensitivity test, which shows that the tests
// would detect such a fault in the fleet.
type Mutant string

// Mutants of a simulation.
const (
	MutantDuplicateCall Mutant = "each call is executed twice"
	MutantWrongAnswer   Mutant = "answers are of another prompt"
	MutantShortAnswer   Mutant = "answers lack their last token"
	MutantExcessUsage   Mutant = "engines use far more tokens than allowed"
	MutantDuplicateBill Mutant = "each bill is repeated under another serial"
)

// SetMutant injects a mutant in place of an earlier one; "" is none.
func (sm *Simulation) SetMutant(m Mutant) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.mutant = m
}

func (sm *Simulation) hasMutant(m Mutant) bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.mutant == m
}

// SetTokenTime sets the time to generate one token.
func (sm *Simulation) SetTokenTime(d time.Duration) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.tokenTime = d
}

func (sm *Simulation) currentTokenTime() time.Duration {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.tokenTime
}

// Hook makes every step of every router call h, on the goroutine that performs the step.
func (sm *Simulation) Hook(h func(Event)) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.hook = h
}

// Close closes all routers and the timer service.
func (sm *Simulation) Close() {
	sm.Hook(nil)
	sm.Heal()
	sm.mu.Lock()
	routers := sm.routers
	sm.routers = map[string]*jvfleet.Router{}
	sm.mu.Unlock()
	for _, r := range routers {
		r.Close()
	}
	sm.Timer.Close()
}

// errUnreachable is the error of an exchange with a system that is disconnected, down or
// crashed.
var errUnreachable = errors.New("no response")

// runStep calls the hook, then waits while the VM is paused. It fails where the VM was killed
// or ctx ends.
func (sm *Simulation) runStep(ctx context.Context, e Event) error {
	sm.mu.Lock()
	hook := sm.hook
	sm.mu.Unlock()
	if hook != nil {
		hook(e)
	}
	for {
		sm.mu.Lock()
		gate, killed := sm.paused[e.VM], sm.killed[e.VM]
		sm.mu.Unlock()
		if killed {
			return errUnreachable
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

// checkReachable returns an error where part is unreachable for a VM, once ctx ends or
// partitionTimeout has passed.
func (sm *Simulation) checkReachable(ctx context.Context, vm, part string) error {
	sm.mu.Lock()
	unreachable := sm.disconnected[vm+"/"+part]
	sm.mu.Unlock()
	if !unreachable {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-sm.Timer.After(partitionTimeout):
	}
	return errUnreachable
}

// partitionTimeout is the time after which a connection across a partition fails.
const partitionTimeout = 10 * time.Second

// sleep waits for d or until ctx ends.
func (sm *Simulation) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-sm.Timer.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
