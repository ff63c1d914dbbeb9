package jvsign

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// TestSharing checks that all other routers get what one announces although two of three messages are lost, that nothing is
// sent without end, and that many targets fit.
func TestSharing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := jvtimer.NewService()
		defer timer.Close()
		const targets, parts = 2*maxProcesses + 1, 3
		messages := 0
		received := map[string]map[Process]int{}
		others := []jvmember.Member{{Name: "r2"}, {Name: "r3"}}
		lost := (sends - 1) * parts * len(others)
		s := New(Options{
			Timer:  timer,
			Others: func() []jvmember.Member { return others },
			Send: func(to jvmember.Member, data []byte) {
				messages++
				if messages <= lost {
					return
				}
				if received[to.Name] == nil {
					received[to.Name] = map[Process]int{}
				}
				receiver := &Sharing{options: Options{Received: func(p Process) { received[to.Name][p]++ }}}
				require.NoError(t, receiver.Receive(data, nil))
			},
		})
		for n := range targets {
			s.Announce(Process{Target: fmt.Sprint("t", n, strings.Repeat("x", maxNameBytes-4)), StartedAtMillis: int64(n)})
		}
		s.Announce(Process{Target: strings.Repeat("x", maxNameBytes+1)})
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, parts*sends*len(others), messages)
		for _, m := range others {
			require.Len(t, received[m.Name], targets)
		}
	})
}

// TestReceive checks that malformed messages are errors, and that fields of later builds are passed over.
func TestReceive(t *testing.T) {
	var received []Process
	s := &Sharing{options: Options{Received: func(p Process) { received = append(received, p) }}}
	for _, m := range []any{
		[]string{"x"},
		"x",
		message{Leaving: make([]Process, maxProcesses+1)},
		message{Leaving: []Process{{}}},
		message{Leaving: []Process{{Target: strings.Repeat("x", maxNameBytes+1)}}},
	} {
		require.Error(t, s.Receive(jvcodec.Encode(m), nil))
	}
	require.Error(t, s.Receive([]byte("\xff"), nil))
	require.Empty(t, received)
	later := map[string]any{"leaving": []map[string]any{{"target": "t1", "born": 5, "why": "upgrade"}}, "resting": []string{"t2"}}
	require.NoError(t, s.Receive(jvcodec.Encode(later), nil))
	require.Equal(t, []Process{{Target: "t1", StartedAtMillis: 5}}, received)
	require.NoError(t, s.Receive(jvcodec.Encode(map[string]any{"resting": 1}), nil))
}

// FuzzReceive checks that no message makes a router fail, and that names are bounded.
func FuzzReceive(f *testing.F) {
	f.Add(jvcodec.Encode(message{Leaving: []Process{{Target: "t", StartedAtMillis: 1}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &Sharing{options: Options{Received: func(p Process) { require.LessOrEqual(t, len(p.Target), maxNameBytes) }}}
		_ = s.Receive(data, nil)
	})
}
