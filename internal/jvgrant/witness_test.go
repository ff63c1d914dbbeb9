package jvgrant

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakingsWithoutMessages guards against tokens that are never spent since no message between routers arrives: requests
// keep raising the holding, and each raise must not begin the wait for witnesses anew.
func TestTakingsWithoutMessages(t *testing.T) {
	for lost, limit := range map[float64]time.Duration{0: time.Second, 0.9: 2 * time.Second, 1: 2 * time.Second} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				h := &history{grants: newFakeTopic(), statements: newFakeTopic(), prepaid: testPrepaid, lost: lost}
				for n := range testRouters {
					o := &node{name: fmt.Sprint("r", n), booted: time.Now(), grants: &topicClient{topic: h.grants, result: callDone}, statements: &topicClient{topic: h.statements, result: callDone}}
					h.nodes = append(h.nodes, o)
					h.start(o)
				}
				h.prepaid = 100 * testPrepaid
				for start := time.Now(); time.Since(start) < limit; {
					for _, o := range h.nodes {
						h.reserve(o, 1000)
						require.Empty(t, h.check())
						time.Sleep(10 * time.Millisecond)
					}
				}
				for _, o := range h.nodes {
					require.Positive(t, o.used, o.name)
				}
			})
		})
	}
}
