package jvfleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtarget"
)

// members holds the last VM list that was read and when each peer was last seen.
type members struct {
	mu     sync.Mutex
	vms    []jvplatform.VM
	readAt time.Time
	// failure is the error of the last read, or "".
	failure string
	loaded  bool
	// contacts holds the last contact with each VM.
	contacts map[string]contact
}

// contact is the last message from a VM: the origin that sent it and when it came.
type contact struct {
	origin string
	at     time.Time
}

func newMembers() *members { return &members{contacts: map[string]contact{}} }

// Member is one VM of the list with the last contact, for the dump.
type Member struct {
	jvplatform.VM
	Origin   string    `json:"origin,omitempty"`
	LastSeen time.Time `json:"heard"`
}

// updateMembers reads the VM list and pings peers; after a failed read the last list stays.
func (rt *Router) updateMembers() {
	ctx, cancel := context.WithTimeout(rt.ctx, 2*rt.options.Timing.MembersInterval)
	defer cancel()
	vms, err := rt.options.VMs.List(ctx)
	m := rt.members
	m.mu.Lock()
	if err != nil {
		m.failure = err.Error()
		m.mu.Unlock()
		return
	}
	changed := !slices.Equal(m.vms, vms)
	m.vms = vms
	m.readAt = rt.options.Timer.Now()
	m.failure = ""
	m.loaded = true
	m.mu.Unlock()
	if changed {
		rt.targets.SetLeaving(leavingTargets(vms), rt.Catalog())
		rt.options.Logger.Info("VM list changed", "vms", len(vms))
	}
	rt.pingPeers()
}

func leavingTargets(vms []jvplatform.VM) []string {
	var names []string
	for _, v := range vms {
		if v.Role == jvplatform.RoleTarget && v.State == jvplatform.VMLeaving {
			names = append(names, v.Name)
		}
	}
	return names
}

// peers returns the other live entry VMs, those of this zone first, each group by name.
func (rt *Router) peers() []jvpeer.Peer {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	var list []jvpeer.Peer
	for _, v := range rt.members.vms {
		if v.Role == jvplatform.RoleEntry && v.State == jvplatform.VMLive && v.Name != rt.options.VM {
			list = append(list, jvpeer.Peer{VM: v.Name, Zone: v.Zone, Address: v.Address})
		}
	}
	slices.SortFunc(list, func(a, b jvpeer.Peer) int {
		if near := rt.zoneRank(a.Zone) - rt.zoneRank(b.Zone); near != 0 {
			return near
		}
		return strings.Compare(a.VM, b.VM)
	})
	return list
}

func (rt *Router) zoneRank(zone string) int {
	if zone == rt.options.Zone {
		return 0
	}
	return 1
}

// peer returns the entry VM of a name, also one that is leaving.
func (rt *Router) peer(vm string) (jvpeer.Peer, bool) {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	for _, v := range rt.members.vms {
		if v.Name == vm && v.Role == jvplatform.RoleEntry {
			return jvpeer.Peer{VM: v.Name, Zone: v.Zone, Address: v.Address}, true
		}
	}
	return jvpeer.Peer{}, false
}

// markSeen stores that a VM sent a message under an origin.
func (rt *Router) markSeen(vm, origin string) {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	rt.members.contacts[vm] = contact{origin: origin, at: rt.options.Timer.Now()}
}

func (rt *Router) lastSeen(vm string) contact {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	return rt.members.contacts[vm]
}

// silentRounds is the number of intervals of the VM list without a message after which a peer
// counts as silent; peers are pinged once in each interval.
const silentRounds = 3

// seenRecently reports whether a peer was seen recently. A peer that is frozen or disconnected stays
// on the VM list for a while, and each message to it would cost a request the peer timeout.
func (rt *Router) seenRecently(vm string) bool {
	return rt.options.Timer.Since(rt.lastSeen(vm).at) <= silentRounds*rt.options.Timing.MembersInterval
}

// send sends a request to a peer and returns the response.
func (rt *Router) send(ctx context.Context, to jvpeer.Peer, r jvpeer.Request) (jvpeer.Response, error) {
	r.From = rt.current().origin
	response, err := rt.options.Network.Send(ctx, to, r)
	if err == nil {
		rt.markSeen(to.VM, response.From)
	}
	return response, err
}

// maxPings is the number of peers that a VM pings; it exceeds the number of witnesses so that
// replacements are known.
const maxPings = 4

// pingPeers pings the nearest peers.
func (rt *Router) pingPeers() {
	list := rt.peers()
	for _, p := range list[:min(len(list), maxPings)] {
		rt.spawn(func() {
			ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.MembersInterval)
			defer cancel()
			_, _ = rt.send(ctx, p, jvpeer.Request{Ping: &jvpeer.PingRequest{}})
		})
	}
}

// polledTarget is a target with the name of its pool.
type polledTarget struct {
	pool   string
	target jvconfig.Target
}

// pollLoads polls the load of the next few targets in round-robin order. Between two polls of a
// target its load is corrected by the requests that this router sends to it.
func (rt *Router) pollLoads() {
	var polls sync.WaitGroup
	for _, p := range rt.nextPolls() {
		polls.Add(1)
		go func() {
			defer polls.Done()
			ctx, cancel := context.WithTimeout(rt.ctx, rt.options.Timing.LoadInterval)
			defer cancel()
			l, err := rt.options.Targets.Load(ctx, p.target)
			if err != nil {
				rt.targets.RecordMissedPoll(p.pool, p.target.Name)
				return
			}
			rt.targets.RecordLoad(p.pool, p.target.Name, l)
		}()
	}
	polls.Wait()
	rt.crashes.advance(rt.options.Timer.Now().UnixMilli())
	rt.loadsPolled.Store(true)
}

func (rt *Router) nextPolls() []polledTarget {
	var all []polledTarget
	pools := rt.Catalog().Pools()
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		for _, t := range pools[name].Targets {
			all = append(all, polledTarget{pool: name, target: t})
		}
	}
	count := min(len(all), rt.options.Timing.LoadPolls)
	next := make([]polledTarget, count)
	for i := range next {
		next[i] = all[(rt.nextPoll+i)%len(all)]
	}
	rt.nextPoll += count
	return next
}

// Members returns the VM list with the last contact of each VM, for the dump.
func (rt *Router) Members() []Member {
	rt.members.mu.Lock()
	defer rt.members.mu.Unlock()
	list := make([]Member, len(rt.members.vms))
	for i, v := range rt.members.vms {
		c := rt.members.contacts[v.Name]
		list[i] = Member{VM: v, Origin: c.origin, LastSeen: c.at}
	}
	return list
}

// rendezvous returns the VM that a key hashes to by rendezvous hashing.
func rendezvous(key string, vms []string) string {
	candidates := make([]jvtarget.Candidate, len(vms))
	among := make([]int, len(vms))
	for i, v := range vms {
		candidates[i] = jvtarget.Candidate{Name: v}
		among[i] = i
	}
	return vms[jvtarget.Rendezvous(candidates, among, key)]
}
