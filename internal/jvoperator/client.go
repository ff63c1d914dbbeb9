package jvoperator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvjournal"
	"github.com/jasminevale/jasminevale/internal/jvledger"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// topupExpiry is how long a top-up's record may take to reach the log, and how long the fleet
// keeps its ID.
const topupExpiry = 24 * time.Hour

// Client reads the fleet's state from the log and appends operators' records to it.
type Client struct {
	operator string
	origin   string
	timer    *jvtimer.Service
	journal  *jvjournal.Journal
}

// Options are the settings and dependencies of a Client.
type Options struct {
	// Operator is the operator's name, which others see when their change conflicts with this one's.
	Operator string
	// Stream is the fleet's stream on the log.
	Stream string
	Log    jvplatform.Log
	Timer  *jvtimer.Service
	Random *jvchance.Source
	Logger logr.Logger
}

// NewClient returns a client that reads the log until Close.
func NewClient(o Options) *Client {
	j := jvjournal.DefaultOptions()
	j.Stream = o.Stream
	j.Log = o.Log
	j.Timer = o.Timer
	j.Random = o.Random.Float
	j.Logger = o.Logger
	return &Client{
		operator: o.Operator,
		origin:   "operator-" + o.Random.ID(),
		timer:    o.Timer,
		journal:  jvjournal.NewJournal(j),
	}
}

// Close stops reading the log.
func (c *Client) Close() { c.journal.Close() }

// WaitReady waits until the client has read all records of the log. It returns an error of
// KindUnreachable when ctx ends first.
func (c *Client) WaitReady(ctx context.Context) error {
	for {
		changed := c.journal.Changed()
		s := c.journal.Status()
		if s.Loaded && !s.LastSeen.IsZero() && s.Offset >= s.Head {
			return nil
		}
		select {
		case <-changed:
		case <-c.timer.After(10 * time.Millisecond):
		case <-ctx.Done():
			return jvfault.Newf("read log", KindUnreachable, "the log was not read in time: %s", s.Failure)
		}
	}
}

// View calls read with the state, which read must not retain or modify.
func (c *Client) View(read func(s *jvledger.State)) { c.journal.View(read) }

// Publish publishes the changes of a bundle under an ID and returns the version in force. A repeated
// ID returns the version of the first publication. If from is not 0, it is the version that the
// operator's changes are based on; an item changed after it is a conflict.
func (c *Client) Publish(ctx context.Context, id string, b Bundle, from uint64) (uint64, error) {
	const op = "publish"
	var items []jvrecord.Item
	var err error
	var version uint64
	c.View(func(s *jvledger.State) {
		if published, ok := s.Publications.Get(jvledger.NewKey("publish", id)); ok {
			version = published
			return
		}
		if err = b.CheckAgainst(s.Catalog()); err == nil {
			items, err = b.Changes(s)
		}
		for _, i := range items {
			if from != 0 && i.Base > from {
				err = jvfault.Newf(op, KindConflict, "%s %s is at version %d by %s, later than your version %d", i.Kind, i.Name, i.Base, s.Items[string(i.Kind)][i.Name].Operator, from)
			}
		}
		if err == nil && len(items) == 0 {
			version = s.Version
		}
	})
	if err != nil || version != 0 {
		return version, err
	}
	return c.publish(ctx, op, id, items)
}

func (c *Client) publish(ctx context.Context, op, id string, items []jvrecord.Item) (uint64, error) {
	record := jvrecord.Record{Publish: &jvrecord.Publish{ID: id, Operator: c.operator, Items: items}}
	v, err := c.submit(ctx, op, record)
	return v.Version, err
}

// Topup adds tokens to a profile's budget. A repeated ID has no effect while the fleet keeps it.
func (c *Client) Topup(ctx context.Context, id, profile string, tokens int64) error {
	record := jvrecord.Record{Topup: &jvrecord.Topup{
		ID:       id,
		Operator: c.operator,
		Profile:  profile,
		Tokens:   tokens,
		Expiry:   c.timer.Now().Add(topupExpiry).UnixMilli(),
	}}
	_, err := c.submit(ctx, "top up", record)
	return err
}

// Drain takes a target out of service, or with restore puts it back, and returns the version in
// force. Without restore it fails if no pool has the target.
func (c *Client) Drain(ctx context.Context, id, target, reason string, restore bool) (uint64, error) {
	const op = "drain target"
	item := jvrecord.Item{Kind: jvrecord.ItemDrain, Name: target}
	if !restore {
		body, err := json.Marshal(jvconfig.Drain{Target: target, Reason: reason})
		if err != nil {
			return 0, jvfault.New(op, KindInvalid, err)
		}
		item.Body = body
	}
	known := false
	c.View(func(s *jvledger.State) {
		item.Base = s.Items[string(jvrecord.ItemDrain)][target].Version
		known = s.Catalog().HasTarget(target)
	})
	if !known && !restore {
		return 0, jvfault.Newf(op, KindInvalid, "no pool has a target %q", target)
	}
	return c.publish(ctx, op, id, []jvrecord.Item{item})
}

// submit appends a record and returns the state machine's verdict, with an error if the record was refused.
func (c *Client) submit(ctx context.Context, op string, r jvrecord.Record) (jvledger.Verdict, error) {
	verdicts, err := c.journal.Submit(ctx, c.origin, r)
	if err != nil {
		return jvledger.Verdict{}, jvfault.New(op, KindUnknown, err)
	}
	v := verdicts[0]
	switch {
	case v.Accepted():
		return v, nil
	case v.Reason == jvledger.ReasonConflict:
		return v, jvfault.Newf(op, KindConflict, "%s", v.Detail)
	}
	return v, jvfault.Newf(op, KindRefused, "%s: %s", v.Reason, v.Detail)
}
