package jvreach

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvproperty"
)

// knownWithin is how long after a cut begins or ends a router has to know it, knownAmongDead how long it may take to
// find one while most targets are down.
const (
	knownWithin    = time.Second
	knownAmongDead = 3 * time.Second
	// muteWithin is how long a router may take to find a cut in which connections are accepted on the way.
	muteWithin = 3 * time.Second
)

// TestCut guards against a router that goes on with targets that it does not reach, or stays away from them after the
// cut (incident RECOVER, issue 24): one, or most, of 6 and 83 routers are cut off from all targets.
func TestCut(t *testing.T) {
	for _, routers := range []int{6, 83} {
		for _, hang := range []bool{false, true} {
			for _, cut := range []int{1, routers - 2} {
				t.Run(fmt.Sprintf("%d of %d, hang=%t", cut, routers, hang), func(t *testing.T) {
					inFleet(t, routers, 20, func(t *testing.T, f *fleet) {
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

// TestMiddlebox guards against a router that goes on with targets to which something on the way accepts its connections,
// and then resets them or is silent (issue 28), while all targets are sound, or most are down.
func TestMiddlebox(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for _, cut := range []int{1, 4} {
			for _, down := range []int{0, 1, 12, 22} {
				t.Run(fmt.Sprintf("%d of 6, hang=%t, down=%d", cut, hang, down), func(t *testing.T) {
					inFleet(t, 6, 25, func(t *testing.T, f *fleet) {
						f.change(func(n *network) {
							n.hang = hang
							for _, g := range f.targets[:down] {
								n.down[g.Name] = true
							}
						})
						f.drive(time.Second)
						f.change(func(n *network) {
							for _, r := range f.routers[:cut] {
								n.muted[r.member.Name] = true
							}
						})
						f.drive(muteWithin)
						for range 10 {
							for n, r := range f.routers {
								require.Equal(t, n < cut, r.Cut(), "router %d", n)
								require.False(t, r.Stranded())
								_, ok := r.SelectPeer(nil)
								require.True(t, ok)
							}
							f.drive(500 * time.Millisecond)
						}
						f.change(func(n *network) { clear(n.muted) })
						f.drive(knownWithin)
						for n, r := range f.routers {
							require.Zero(t, r.Count(), "router %d", n)
						}
					})
				})
			}
		}
	}
}

// TestMuteIsNoCut guards against taking targets that are silent or overloaded for a cut of the own link: they accept
// connections, and send nothing or reset them.
func TestMuteIsNoCut(t *testing.T) {
	for _, overload := range []float64{0, 0.1, 0.5, 0.8, 0.9, 1} {
		for _, frozen := range []int{0, 1, 20, 25} {
			for _, idle := range []bool{false, true} {
				t.Run(fmt.Sprintf("overload=%g, frozen=%d, idle=%t", overload, frozen, idle), func(t *testing.T) {
					inFleet(t, 6, 25, func(t *testing.T, f *fleet) {
						f.change(func(n *network) {
							n.overload = overload
							for _, g := range f.targets[:frozen] {
								n.frozen[g.Name] = true
							}
						})
						if idle { // Its only attempt is one that takes long.
							f.idle = f.routers[0]
							f.idle.Begin()
							defer f.idle.End()
						}
						f.drive(20 * time.Second)
						for n, r := range f.routers {
							require.Zero(t, f.findings(r), "router %d", n)
						}
					})
				})
			}
		}
	}
}

// TestPartialCut guards against taking a cut from some targets for one from all, or for the targets' fault.
func TestPartialCut(t *testing.T) {
	inFleet(t, 6, 20, func(t *testing.T, f *fleet) {
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

// TestLoneFailure guards against a router that never finds that a target is unreachable from here, since its connection
// fails alone: those to the targets that are known to be unreachable failed long before, or the last check has just ended.
func TestLoneFailure(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, hang := range []bool{false, true} {
		for after := time.Duration(0); after <= failureAge+2*checkPause; after += step {
			t.Run(fmt.Sprintf("%s later, hang=%t", after, hang), func(t *testing.T) {
				inFleet(t, 6, 20, func(t *testing.T, f *fleet) {
					r, lost := f.routers[0], f.targets[:7]
					f.change(func(n *network) { n.hang = hang })
					f.cutOff(r, lost[:6])
					for range 3 { // A check takes longer than a second if connections hang.
						for _, g := range lost[:6] {
							go f.request(r, g)
						}
						time.Sleep(knownWithin)
					}
					require.Equal(t, 6, r.Count())
					time.Sleep(after)
					f.cutOff(r, lost)
					f.request(r, lost[6])
					time.Sleep(2 * knownWithin)
					require.True(t, r.Unreachable(lost[6].Name))
					require.False(t, r.Cut())
				})
			})
		}
	}
}

// TestDownIsNoCut guards against taking targets that are down, or silent, for a cut of the own link.
func TestDownIsNoCut(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for _, down := range []int{1, 5, 20} {
			inFleet(t, 6, 20, func(t *testing.T, f *fleet) {
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
	inFleet(t, 2, 3, func(t *testing.T, f *fleet) {
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
	inFleet(t, 4, 3, func(t *testing.T, f *fleet) {
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

// TestDeadTargetsAreNoCut guards against taking many targets that are down for a cut of the own link, by which a sound
// target is lost sight of (issue 27, odd entries): one of 25 is sound, and the router has other routers or none.
func TestDeadTargetsAreNoCut(t *testing.T) {
	for _, routers := range []int{1, 3, 6} {
		for _, hang := range []bool{false, true} {
			for _, work := range []time.Duration{0, 600 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d routers, hang=%t, work=%s", routers, hang, work), func(t *testing.T) {
					inFleet(t, routers, 25, func(t *testing.T, f *fleet) {
						f.change(func(n *network) {
							n.hang, n.work = hang, work
							for _, g := range f.targets[1:] {
								n.down[g.Name] = true
							}
						})
						f.drive(20 * time.Second)
						for n, r := range f.routers {
							require.Zero(t, f.findings(r), "router %d", n)
						}
					})
				})
			}
		}
	}
}

// TestCutAmongDeadTargets guards against a router that does not find a cut, or its end, since most targets are down: it
// tried random ones.
func TestCutAmongDeadTargets(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang=%t", hang), func(t *testing.T) {
			inFleet(t, 6, 25, func(t *testing.T, f *fleet) {
				f.change(func(n *network) {
					n.hang = hang
					for _, g := range f.targets[2:] {
						n.down[g.Name] = true
					}
				})
				f.drive(2 * time.Second)
				r := f.routers[0]
				f.cutOff(r, f.targets)
				f.drive(knownAmongDead)
				require.True(t, r.Unreachable("target-0"))
				require.True(t, r.Unreachable("target-1"))
				f.cutOff(r, nil)
				f.drive(knownWithin)
				require.Zero(t, r.Count())
				require.Subset(t, r.recovered, []string{"target-0", "target-1"})
			})
		})
	}
}

// TestIdleRouterFindsCut guards against a router that does not find a cut, since it knows no target that has answered
// it and most are down.
func TestIdleRouterFindsCut(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang=%t", hang), func(t *testing.T) {
			inFleet(t, 6, 25, func(t *testing.T, f *fleet) {
				r := f.routers[0]
				f.idle = r
				f.change(func(n *network) {
					n.hang = hang
					for _, g := range f.targets[2:] {
						n.down[g.Name] = true
					}
				})
				f.cutOff(r, f.targets)
				f.drive(time.Second)
				f.idle = nil
				f.drive(knownAmongDead)
				require.True(t, r.Unreachable("target-0") || r.Unreachable("target-1"))
			})
		})
	}
}

// TestUnreachableEnds guards against holding a target that is down for everyone for unreachable, after it was
// unreachable from here: requests would go through other routers, and its crash would not be known.
func TestUnreachableEnds(t *testing.T) {
	inFleet(t, 6, 20, func(t *testing.T, f *fleet) {
		r := f.routers[0]
		f.cutOff(r, f.targets[:3])
		f.drive(2 * time.Second)
		require.Equal(t, 3, r.Count())
		f.change(func(n *network) { n.down["target-0"] = true })
		f.drive(2 * downInterval)
		require.False(t, r.Unreachable("target-0"))
		require.True(t, r.Unreachable("target-1"))
	})
}

// TestFailuresDuringPause guards against a cut that is found late or never, since connections failed in the pause after
// a check without result and none fail any more.
func TestFailuresDuringPause(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		r := f.routers[0]
		r.options.StoreReachable = func() bool { return false }
		f.change(func(n *network) { n.dead["router-1"] = true })
		f.cutOff(r, f.targets)
		fail := func() {
			for _, g := range f.targets {
				r.Failed(g.Name)
			}
		}
		fail()
		time.Sleep(answerTimeout + contactWait)
		require.False(t, r.Cut())
		f.change(func(n *network) { clear(n.dead) })
		fail()
		time.Sleep(knownWithin)
		require.True(t, r.Cut())
	})
}

// TestMessagesOfOtherBuilds guards against messages that routers of the release before this one can't read, or of
// which a router of this one concludes too much: those don't name the targets that responded.
func TestMessagesOfOtherBuilds(t *testing.T) {
	type oldAnswer struct {
		Number  uint64   `cbor:"number"`
		From    string   `cbor:"from"`
		Cut     bool     `cbor:"cut,omitempty"`
		Room    int64    `cbor:"room"`
		Reached []string `cbor:"reached,omitempty"`
		Contact bool     `cbor:"contact,omitempty"`
	}
	type oldMessage struct {
		Question *question  `cbor:"ask,omitempty"`
		Answer   *oldAnswer `cbor:"answer,omitempty"`
	}
	old, err := jvcodec.Decode[oldMessage](jvcodec.Encode(message{Answer: &answer{Number: 7, From: "router-1", Room: 3, Contact: true, Responded: []string{"target-0"}, Exchanged: true, Mute: []string{"target-1"}}}))
	require.NoError(t, err)
	require.Equal(t, &oldAnswer{Number: 7, From: "router-1", Room: 3, Contact: true}, old.Answer)
	m, err := decodeMessage(jvcodec.Encode(oldMessage{Answer: old.Answer}))
	require.NoError(t, err)
	require.Equal(t, &answer{Number: 7, From: "router-1", Room: 3, Contact: true}, m.Answer)

	for _, sound := range []bool{true, false} { // The router reaches one target of 25, or none.
		t.Run(fmt.Sprintf("sound=%t", sound), func(t *testing.T) {
			inFleet(t, 2, 25, func(t *testing.T, f *fleet) {
				r := f.routers[0]
				f.change(func(n *network) { n.dead["router-1"] = true }) // It answers as follows instead.
				r.options.Send = func(_ jvmember.Member, data []byte) {
					m, err := decodeMessage(data)
					require.NoError(t, err)
					a := &oldAnswer{Number: m.Question.Number, From: "router-1", Room: 3, Contact: m.Question.Contact > 0, Reached: m.Question.Targets}
					time.AfterFunc(time.Millisecond, func() { _ = r.Receive(jvcodec.Encode(oldMessage{Answer: a}), nil) })
				}
				f.cutOff(r, f.targets[1:])
				if !sound {
					f.cutOff(r, f.targets)
				}
				f.drive(3 * time.Second)
				require.Equal(t, !sound, r.Cut())
			})
		})
	}
}

// TestMuteOfOtherBuilds guards against a cut that a router finds by what earlier releases answer: the targets that they
// name as reached may only have accepted a connection, also on the way.
func TestMuteOfOtherBuilds(t *testing.T) {
	for _, hang := range []bool{false, true} {
		inFleet(t, 3, 25, func(t *testing.T, f *fleet) {
			r := f.routers[0]
			for _, other := range f.routers[1:] {
				other.options.Exchange = nil
				other.options.Connect = func(context.Context, Target) bool { return true }
			}
			f.change(func(n *network) {
				n.hang = hang
				n.muted[r.member.Name] = true
			})
			f.drive(10 * time.Second)
			require.False(t, r.Cut())
			require.Zero(t, f.findings(r))
		})
	}
}

// TestQuestionAfterManyTargets guards against a question that other routers don't answer, since it names more targets
// than they try: three routers name up to eight each that have responded to them.
func TestQuestionAfterManyTargets(t *testing.T) {
	inFleet(t, 2, askedRouters*maxResponded, func(t *testing.T, f *fleet) {
		others := f.routers[0].askRouters([]jvmember.Member{f.routers[1].member}, f.targets)
		require.Equal(t, 1, others.answers)
		require.Len(t, others.reached, maxProbed)
	})
}

// reachEvent is a disturbance of a history.
type reachEvent struct {
	Kind   int
	Router int
	// Share is a percentage of targets.
	Share int
}

// apply makes the event happen.
func (e reachEvent) apply(f *fleet) {
	r := f.routers[e.Router%len(f.routers)]
	some := f.targets[:max(1, len(f.targets)*e.Share/100)]
	downOf := func(targets []Target) func(n *network) {
		return func(n *network) {
			for _, t := range targets {
				n.down[t.Name] = true
			}
		}
	}
	switch e.Kind {
	case 0:
		f.cutOff(r, f.targets)
	case 1:
		f.cutOff(r, f.targets[:4])
	case 2:
		f.change(downOf([]Target{f.targets[e.Router%len(f.targets)]}))
	case 3:
		f.change(func(n *network) { clear(n.down) })
	case 4:
		f.change(func(n *network) { n.dead[r.member.Name] = true })
	case 5:
		f.change(func(n *network) { clear(n.dead) })
	case 6, 7: // Dead entries, or a pool that is down.
		f.change(downOf(some))
	case 8: // Slow or overloaded servers.
		f.change(func(n *network) { n.work = time.Duration(e.Share) * 20 * time.Millisecond })
	case 9:
		f.change(func(n *network) { n.work = 0 })
	case 11: // Connections are accepted on the way.
		f.change(func(n *network) { n.muted[r.member.Name] = true })
	case 12:
		f.change(func(n *network) { clear(n.muted); clear(n.frozen); n.overload = 0 })
	case 13:
		f.change(func(n *network) { n.overload = float64(e.Share) / 100 })
	case 14: // A pool that is silent.
		f.change(func(n *network) {
			for _, t := range some {
				n.frozen[t.Name] = true
			}
		})
	default:
		f.cutOff(r, nil)
	}
}

// mayFind reports whether a router may find that targets are unreachable: others reach some that it does not, or no
// target is sound.
func (f *fleet) mayFind(r *router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	sound := slices.ContainsFunc(f.targets, func(t Target) bool { return !f.down[t.Name] && !f.frozen[t.Name] })
	return len(f.lost[r.member.Name]) > 0 || f.muted[r.member.Name] || !sound
}

// TestReachHistories guards against histories after which a router does not know what it reaches, or in which it finds a
// cut that there is not: cuts of routers from some targets or all, dead targets among sound ones, a pool that is down,
// slow servers, and routers that don't answer.
func TestReachHistories(t *testing.T) {
	jvproperty.CheckSlow(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) reachEvent {
			return reachEvent{
				Kind: rapid.IntRange(0, 14).Draw(rt, "kind"), Router: rapid.IntRange(0, 50).Draw(rt, "router"), Share: rapid.IntRange(1, 90).Draw(rt, "share"),
			}
		}), 1, 10).Draw(rt, "events")
		hang := rapid.Bool().Draw(rt, "hang")
		targets := rapid.IntRange(5, 30).Draw(rt, "targets")
		var fault string // A failure inside of inFleet is not one of rt.
		inFleet(t, 6, targets, func(_ *testing.T, f *fleet) {
			f.change(func(n *network) { n.hang = hang })
			if fault = f.playHistory(events); fault == "" {
				fault = f.endHistory()
			}
		})
		require.Empty(rt, fault)
	})
}

// playHistory makes events happen. It returns a false finding of a router, or "".
func (f *fleet) playHistory(events []reachEvent) string {
	const step = 500 * time.Millisecond
	couldFind := make([]int, len(f.routers)) // The step in which the router last was allowed to.
	for n := range couldFind {
		couldFind[n] = -len(events)
	}
	before := make([]int, len(f.routers))
	for at, e := range events {
		noteFindable := func() {
			for n, r := range f.routers {
				if f.mayFind(r) {
					couldFind[n] = at
				}
			}
		}
		noteFindable()
		for n, r := range f.routers {
			before[n] = f.findings(r)
		}
		e.apply(f)
		noteFindable()
		f.drive(step)
		for n, r := range f.routers {
			// What is found soon after may be from before.
			if time.Duration(at-couldFind[n])*step > knownWithin && f.findings(r) > before[n] {
				return fmt.Sprintf("false finding of router %d after event %d", n, at)
			}
		}
	}
	return ""
}

// endHistory heals the network, and then cuts a router off. It returns what the routers don't know of that, or "".
func (f *fleet) endHistory() string {
	f.change(func(n *network) {
		clear(n.lost)
		clear(n.down)
		clear(n.dead)
		clear(n.muted)
		clear(n.frozen)
		n.work, n.overload = 0, 0
	})
	f.drive(2 * knownWithin)
	for n, r := range f.routers {
		if r.Count() > 0 {
			return fmt.Sprintf("router %d does not know that it reaches all targets", n)
		}
	}
	f.cutOff(f.routers[0], f.targets)
	f.drive(2 * knownWithin)
	if !f.routers[0].Cut() {
		return "a router does not know that it is cut off"
	}
	if _, ok := f.routers[0].SelectPeer(nil); !ok {
		return "a router knows of none that takes its requests"
	}
	f.cutOff(f.routers[0], nil)
	f.change(func(n *network) { n.muted[f.routers[0].member.Name] = true })
	f.drive(muteWithin)
	if !f.routers[0].Cut() {
		return "a router does not know that its connections are accepted on the way"
	}
	f.change(func(n *network) { clear(n.muted) })
	f.drive(knownWithin)
	if f.routers[0].Count() > 0 {
		return "a router does not know that its connections reach targets again"
	}
	return ""
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
