package jvmember

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvtopic"
)

// router is one router's members.
type router struct {
	*Members
	client *jvtopic.Client
	stop   func()
}

// fleet is some routers that share a topic.
type fleet struct {
	topic  *jvtopic.Topic
	timer  *jvtimer.Service
	random *jvchance.Source
}

// inFleet runs a test with n routers on a fake clock.
func inFleet(t *testing.T, n int, test func(f *fleet, routers []*router)) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{topic: jvtopic.New(), timer: jvtimer.NewService(), random: jvchance.NewSource([32]byte{1})}
		var routers []*router
		for i := range n {
			routers = append(routers, f.start(fmt.Sprint("router-", i), fmt.Sprint("10.0.0.1:", i)))
		}
		time.Sleep(2 * time.Second)
		test(f, routers)
		for _, r := range routers {
			r.stop()
		}
		f.timer.Close()
	})
}

// start starts a router's process.
func (f *fleet) start(name, address string) *router {
	r := &router{client: jvtopic.NewClient(f.topic, jvtopic.MutantNone)}
	o := DefaultOptions()
	o.Name, o.Topic, o.Timer, o.Random = "members", r.client, f.timer, f.random.Float
	o.Self = Member{Name: name, Zone: "z", Address: address}
	o.NewSecret = func() []byte { return bytes.Repeat([]byte(name)[len(name)-1:], SecretBytes) }
	r.Members = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	r.stop = func() {
		cancel()
		running.Wait()
	}
	return r
}

// TestMembers checks that routers know each other, that one that stops is removed, and that one without an address
// is no member.
func TestMembers(t *testing.T) {
	inFleet(t, 3, func(f *fleet, routers []*router) {
		nameless := f.start("router-x", "")
		time.Sleep(time.Second)
		require.Len(t, nameless.Others(), 3)
		require.Equal(t, []Member{{Name: "router-1", Zone: "z", Address: "10.0.0.1:1"}, {Name: "router-2", Zone: "z", Address: "10.0.0.1:2"}}, routers[0].Others())
		routers[1].Close(context.Background())
		time.Sleep(time.Second)
		require.Len(t, routers[0].Others(), 1)
		nameless.stop()
	})
}

// TestSilentMemberIsRemoved checks that a router that does not register for long is no member any more, and that one
// that is removed by mistake registers again.
func TestSilentMemberIsRemoved(t *testing.T) {
	inFleet(t, 2, func(_ *fleet, routers []*router) {
		routers[1].client.Set(true, false)
		time.Sleep(routers[0].options.MaxAge + routers[0].options.Interval)
		require.Empty(t, routers[0].Others())
		routers[1].client.Set(false, false)
		time.Sleep(10 * time.Second)
		require.Len(t, routers[0].Others(), 1)
	})
}

// TestOneSecret guards against routers that start at the same time and each give the fleet a secret: they would not
// accept each other's packets.
func TestOneSecret(t *testing.T) {
	inFleet(t, 83, func(f *fleet, routers []*router) {
		packet, ok := routers[0].Seal([]byte("payload"))
		require.True(t, ok)
		late := f.start("router-late", "10.0.0.1:99")
		time.Sleep(time.Second)
		for _, r := range append(routers[1:], late) {
			payload, err := r.Open(packet)
			require.NoError(t, err)
			require.Equal(t, "payload", string(payload))
		}
		late.stop()
	})
}

// TestForgedPackets guards against messages of anyone who finds the port.
func TestForgedPackets(t *testing.T) {
	inFleet(t, 1, func(f *fleet, routers []*router) {
		r := routers[0]
		packet, _ := r.Seal([]byte("payload"))
		for n := range packet {
			forged := bytes.Clone(packet)
			forged[n] ^= 1
			_, err := r.Open(forged)
			require.Error(t, err)
		}
		for _, forged := range [][]byte{nil, packet[:tagBytes-1], bytes.Repeat([]byte{0}, tagBytes)} {
			_, err := r.Open(forged)
			require.Error(t, err)
		}
		stranger := New(r.options) // It has not read the secret.
		_, ok := stranger.Seal([]byte("payload"))
		require.False(t, ok)
		_, err := stranger.Open(packet)
		require.Error(t, err)
	})
}

// FuzzDecodeMember guards against records that end the process, or name a router without an address.
func FuzzDecodeMember(f *testing.F) {
	f.Add("router-1", encodeMember(Member{Name: "router-1", Zone: "z", Address: "10.0.0.1:7340"}, 5).Value)
	f.Add("", []byte{0xff})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		if m, _, err := decodeMember(name, value); err == nil {
			require.NotEmpty(t, m.Name)
			require.NotEmpty(t, m.Address)
		}
	})
}
