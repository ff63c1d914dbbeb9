package jvgrant

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// laggingClient is a connection to a topic whose appends take a time.
type laggingClient struct {
	*topicClient
	delay time.Duration
}

func (c *laggingClient) Append(ctx context.Context, p jvkeyed.Producer, records []jvkeyed.Record) (uint64, error) {
	end, err := c.topicClient.Append(ctx, p, records)
	select {
	case <-time.After(c.delay):
		return end, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *laggingClient) AppendAt(ctx context.Context, at uint64, records []jvkeyed.Record) (uint64, error) {
	end, err := c.topicClient.AppendAt(ctx, at, records)
	select {
	case <-time.After(c.delay):
		return end, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestCloseBesideARound guards against spending beyond the statement in the topic: if a round of Close publishes
// while one of Run waits for its append, both statements have one number, the topic keeps the first, and the
// router takes the second for published.
func TestCloseBesideARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{grants: newFakeTopic(), statements: newFakeTopic(), prepaid: testPrepaid}
		o := &node{name: "r", booted: time.Now(), grants: &topicClient{topic: h.grants, result: callDone}, statements: &topicClient{topic: h.statements, result: callDone}}
		h.nodes = []*node{o}
		h.start(o)
		time.Sleep(2 * time.Second)
		h.round(o)
		o.allocator.options.Statements = &laggingClient{topicClient: o.statements, delay: 300 * time.Millisecond}
		h.reserve(o, 500)
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.allocator.Run(ctx)
		}()
		synctest.Wait()
		h.reserve(o, 700)
		time.Sleep(160 * time.Millisecond)
		o.allocator.Close(t.Context())
		newest := h.statements.newest()
		require.Len(t, newest, 1)
		s, err := decodeStatement(newest[0])
		require.NoError(t, err)
		require.Equal(t, s, *o.allocator.publisher.published, "the published statement is the one in the topic")
		cancel()
		<-done
	})
}
