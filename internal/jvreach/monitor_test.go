package jvreach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// knownWithin is how long after a cut begins or ends a router has to know it.
const knownWithin = time.Second

// TestCut guards against a router that goes on with targets that it does not reach, or stays away from them after the
// cut (incident RECOVER, issue 24): one, or most, of 6 and 83 routers are cut off from all targets.
func TestCut(t *testing.T) {
	for _, routers := range []int{6, 83} {
		for _, hang := range []bool{false, true} {
			for _, cut := range []int{1, routers - 2} {
				t.Run(fmt.Sprintf("%d of %d, hang=%t", cut, routers, hang), func(t *testing.T) {
					inFleet(t, routers, 20, func(f *fleet) {
						f.drive(time.Second)
						f.change(func(n *network) { n.hang = hang })
						for _, r := range f.routers[:cut] {
							f.cutOff(r, f.targets)
						}
						f.drive(knownWithin)
						for n, r := range f.routers {
							require.Equal(t, n < cut, r.Cut(), "router %d", n)
						}
						f.drive(3 * time.Second)
						for n, r := range f.routers {
							require.Equal(t, n < cut, r.Cut(), "router %d", n)
							require.False(t, r.Stranded())
							if peer, ok := r.SelectPeer(nil); n < cut {
								require.True(t, ok)
								require.False(t, f.routers[0].knownCut(peer.Name), "a router that is cut off itself")
							}
						}
						for _, r := range f.routers {
							f.cutOff(r, nil)
						}
						f.drive(knownWithin)
						for n, r := range f.routers {
							require.Zero(t, r.Count(), "router %d", n)
						}
						require.Len(t, f.routers[0].recovered, len(f.targets))
					})
				})
			}
		}
	}
}

// TestPartialCut guards against taking a cut from some targets for one from all, or for the targets' fault.
func TestPartialCut(t *testing.T) {
	inFleet(t, 6, 20, func(f *fleet) {
		r, lost := f.routers[0], f.targets[:7]
		f.cutOff(r, lost)
		f.drive(2 * time.Second)
		require.False(t, r.Cut())
		for n, g := range f.targets {
			require.Equal(t, n < len(lost), r.Unreachable(g.Name), g.Name)
		}
		require.False(t, r.Down(lost[0]))
		f.cutOff(r, nil)
		f.drive(knownWithin)
		require.Zero(t, r.Count())
	})
}

// TestDownIsNoCut guards against taking targets that are down, or silent, for a cut of the own link.
func TestDownIsNoCut(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for _, down := range []int{1, 5, 20} {
			inFleet(t, 6, 20, func(f *fleet) {
				f.change(func(n *network) { n.hang = hang })
				f.change(func(n *network) {
					for _, g := range f.targets[:down] {
						n.down[g.Name] = true
					}
				})
				f.drive(3 * time.Second)
				for _, r := range f.routers {
					require.Zero(t, r.Count())
					require.True(t, r.Down(f.targets[0]))
				}
			})
		}
	}
}

// TestLoneRouter checks that a router without others finds a cut by its own connections, is stranded, and that a
// single target that refuses connections is down.
func TestLoneRouter(t *testing.T) {
	inFleet(t, 2, 3, func(f *fleet) {
		f.change(func(n *network) { n.dead["router-1"] = true })
		r := f.routers[0]
		f.change(func(n *network) { n.down["target-0"] = true })
		require.True(t, r.Down(f.targets[0]), "others are reached from here")
		f.change(func(n *network) { clear(n.down) })
		f.cutOff(r, f.targets)
		require.False(t, r.Down(f.targets[0]), "no other is reached from here")
		f.drive(3 * time.Second)
		require.True(t, r.Cut())
		require.True(t, r.Stranded())
		f.cutOff(r, nil)
		f.drive(knownWithin)
		require.False(t, r.Stranded())
	})
}

// TestSelectPeer checks that requests go to routers with room, and not to those that failed or are full.
func TestSelectPeer(t *testing.T) {
	inFleet(t, 4, 3, func(f *fleet) {
		r := f.routers[0]
		now := f.timer.Now()
		r.hear(answer{From: "router-1", Room: 2})
		r.hear(answer{From: "router-2", Cut: true})
		r.hear(answer{From: "router-3", Room: 0})
		for range 2 {
			peer, ok := r.SelectPeer(nil)
			require.True(t, ok)
			require.Equal(t, "router-1", peer.Name)
		}
		_, ok := r.SelectPeer(nil)
		require.False(t, ok, "no router has room")
		r.DonePeer("router-1", false)
		_, ok = r.SelectPeer([]string{"router-1"})
		require.False(t, ok, "it is to be avoided")
		_, ok = r.SelectPeer(nil)
		require.True(t, ok)
		r.DonePeer("router-1", true)
		_, ok = r.SelectPeer(nil)
		require.False(t, ok, "it has failed")
		time.Sleep(statusAge)
		_, ok = r.SelectPeer(nil)
		require.True(t, ok, "nothing is known any more since %s", now)
	})
}

// reachEvent is a disturbance of a history.
type reachEvent struct {
	Kind   int
	Router int
}

// TestReachHistories guards against histories after which a router does not know what it reaches: cuts of routers
// from some targets or all, targets that are down, and routers that don't answer.
func TestReachHistories(t *testing.T) {
	jvproperty.CheckSlow(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) reachEvent {
			return reachEvent{Kind: rapid.IntRange(0, 6).Draw(rt, "kind"), Router: rapid.IntRange(0, 50).Draw(rt, "router")}
		}), 1, 10).Draw(rt, "events")
		hang := rapid.Bool().Draw(rt, "hang")
		inFleet(t, 6, 12, func(f *fleet) {
			f.change(func(n *network) { n.hang = hang })
			for _, e := range events {
				r := f.routers[e.Router%len(f.routers)]
				switch e.Kind {
				case 0:
					f.cutOff(r, f.targets)
				case 1:
					f.cutOff(r, f.targets[:4])
				case 2:
					f.change(func(n *network) { n.down[f.targets[e.Router%len(f.targets)].Name] = true })
				case 3:
					f.change(func(n *network) { clear(n.down) })
				case 4:
					f.change(func(n *network) { n.dead[r.member.Name] = true })
				case 5:
					f.change(func(n *network) { clear(n.dead) })
				default:
					f.cutOff(r, nil)
				}
				f.drive(500 * time.Millisecond)
			}
			f.change(func(n *network) { clear(n.lost); clear(n.down); clear(n.dead) })
			f.drive(2 * knownWithin)
			for n, r := range f.routers {
				require.Zero(rt, r.Count(), "router %d", n)
			}
			f.cutOff(f.routers[0], f.targets)
			f.drive(2 * knownWithin)
			require.True(rt, f.routers[0].Cut())
			_, ok := f.routers[0].SelectPeer(nil)
			require.True(rt, ok)
		})
	})
}

// FuzzReceive guards against messages that end the process, or that make a router connect to many targets.
func FuzzReceive(f *testing.F) {
	f.Add(jvcodec.Encode(message{Question: &question{Number: 1, Targets: []string{"target-0"}}}))
	f.Add(jvcodec.Encode(message{Answer: &answer{Number: 1, From: "router-1", Room: 5, Reached: []string{"target-0"}}}))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err == nil && m.Question != nil {
			require.LessOrEqual(t, len(m.Question.Targets), maxProbed+1)
		}
	})
}
