package jvoutbox

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// plainSealer marks payloads in place of authenticating them.
type plainSealer struct{}

const sealMark = "sealed "

func (plainSealer) Seal(payload []byte) ([]byte, bool) {
	return append([]byte(sealMark), payload...), true
}

func (plainSealer) Open(sealed []byte) ([]byte, error) {
	payload, ok := bytes.CutPrefix(sealed, []byte(sealMark))
	if !ok {
		return nil, fmt.Errorf("%d bytes without a mark", len(sealed))
	}
	return payload, nil
}

// pair is two routers that answer each message once.
type pair struct {
	mu       sync.Mutex
	received map[string]int
	boxes    []*Outbox
	members  []jvmember.Member
}

func newPair(t *testing.T) *pair {
	timer := jvtimer.NewService()
	t.Cleanup(timer.Close)
	p := &pair{received: map[string]int{}}
	for n := range 2 {
		name := fmt.Sprint("r", n)
		o := New(Options{
			Self: name, Sealer: plainSealer{}, Transport: http.DefaultTransport, Timer: timer, Logger: logr.Discard(),
			Others: func() []jvmember.Member { return p.members },
			ReadAll: func(_ string, body io.Reader) ([]byte, func(), error) {
				data, err := io.ReadAll(body)
				return data, func() {}, err
			},
			Receive: func(message []byte, reply func([]byte)) error {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.received[name+" "+string(message)]++
				if !strings.HasPrefix(string(message), "re ") {
					reply([]byte("re " + string(message)))
				}
				return nil
			},
		})
		server := httptest.NewServer(o)
		t.Cleanup(server.Close)
		p.boxes = append(p.boxes, o)
		p.members = append(p.members, jvmember.Member{Name: name, Address: server.Listener.Addr().String(), Deliveries: true})
	}
	return p
}

func (p *pair) count(message string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[message]
}

// TestDelivery guards against messages or replies that don't arrive although the routers reach each other.
func TestDelivery(t *testing.T) {
	p := newPair(t)
	const messages = 3000 // More than a queue holds: senders repeat what has no answer.
	for n := range messages {
		message := fmt.Sprint("m", n)
		require.Eventually(t, func() bool {
			p.boxes[0].Post(p.members[1], []byte(message))
			return n%100 > 0 || p.count("r0 re "+message) > 0
		}, 20*time.Second, time.Millisecond)
	}
}

// TestStrangeDeliveries guards against deliveries of strangers, and those for another router.
func TestStrangeDeliveries(t *testing.T) {
	p := newPair(t)
	for _, body := range []string{"", "x", sealMark, sealMark + "vpacket", sealMark + deliveryPrefix, strings.Repeat("x", 1<<20)} {
		r, err := http.Post("http://"+p.members[0].Address+Path, "", strings.NewReader(body))
		if err == nil {
			_ = r.Body.Close()
		}
		require.Error(t, err, "%.20q", body)
	}
	require.Error(t, p.boxes[0].send(jvmember.Member{Name: "other", Address: p.members[1].Address}, [][]byte{[]byte("m")}))
	require.Zero(t, p.count("r1 m"))
}
