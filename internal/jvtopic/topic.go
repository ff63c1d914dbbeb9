package jvtopic

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// Topic is a keyed topic in memory.
type Topic struct {
	mu      sync.Mutex
	records []jvkeyed.Record
	changed chan struct{}
	appends int
	reads   int
	// era rises each time that the topic is set back.
	era uint64
}

// New returns an empty topic.
func New() *Topic { return &Topic{changed: make(chan struct{}), era: 1} }

// Newest returns the newest record of each key that has a value.
func (t *Topic) Newest() []jvkeyed.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := map[string]jvkeyed.Record{}
	for _, r := range t.records {
		last[r.Key] = r
	}
	var list []jvkeyed.Record
	for _, r := range last {
		if len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b jvkeyed.Record) int { return int(a.Offset) - int(b.Offset) })
	return list
}

// End returns the offset after the last record.
func (t *Topic) End() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// SetBack makes the topic lose its records from an offset on, and begins an era.
func (t *Topic) SetBack(end int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = slices.Clone(t.records[:end])
	t.era++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Calls returns the numbers of appends and of reads so far.
func (t *Topic) Calls() (appends, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appends, t.reads
}

// Client is one router's connection to a topic. It implements jvkeyed.Topic.
type Client struct {
	topic *Topic
	mu    sync.Mutex
	// away makes all calls fail, lost makes appends take effect without a response.
	away   bool
	lost   bool
	mutant Mutant
}

// NewClient returns a connection with a fault that is injected on purpose, or MutantNone.
func NewClient(t *Topic, m Mutant) *Client { return &Client{topic: t, mutant: m} }

// Mutant is a fault that is injected on purpose, to show that a test detects it.
type Mutant string

// Mutants of a connection.
const (
	MutantNone     Mutant = ""
	MutantUnshared Mutant = "records are not shared"
	MutantSkips    Mutant = "a read skips a record"
)

// Set makes all calls fail, or appends take effect without a response.
func (c *Client) Set(away, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away, c.lost = away, lost
}

func (c *Client) failure() (away, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away, c.lost
}

// Newest implements jvkeyed.Topic.
func (c *Client) Newest(context.Context, string) (jvkeyed.Page, error) {
	if away, _ := c.failure(); away {
		return jvkeyed.Page{}, jvfault.Newf("list", jvkeyed.KindUnknown, "away")
	}
	list := c.topic.Newest()
	c.topic.mu.Lock()
	defer c.topic.mu.Unlock()
	c.topic.reads++
	return jvkeyed.Page{Records: list, End: uint64(len(c.topic.records)), Era: c.topic.era}, nil
}

// Read implements jvkeyed.Topic.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration) (jvkeyed.Page, error) {
	timeout := time.After(wait)
	for {
		if away, _ := c.failure(); away {
			return jvkeyed.Page{}, jvfault.Newf("read", jvkeyed.KindUnknown, "away")
		}
		c.topic.mu.Lock()
		end := uint64(len(c.topic.records))
		if from > end {
			c.topic.mu.Unlock()
			return jvkeyed.Page{}, jvfault.Newf("read", jvkeyed.KindCompacted, "the topic ends at %d", end)
		}
		page := jvkeyed.Page{Records: slices.Clone(c.topic.records[from:]), End: end, Era: c.topic.era}
		changed := c.topic.changed
		c.topic.mu.Unlock()
		if len(page.Records) > 1 && c.mutant == MutantSkips {
			page.Records = page.Records[1:]
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			c.topic.mu.Lock()
			c.topic.reads++
			c.topic.mu.Unlock()
			return page, nil
		case <-ctx.Done():
			return page, jvfault.New("read", jvkeyed.KindUnknown, ctx.Err())
		}
	}
}

// AppendAt implements jvkeyed.Topic.
func (c *Client) AppendAt(_ context.Context, at uint64, records []jvkeyed.Record) (jvkeyed.Mark, error) {
	return c.append(&at, records)
}

// Append implements jvkeyed.Topic.
func (c *Client) Append(_ context.Context, _ jvkeyed.Producer, records []jvkeyed.Record) (jvkeyed.Mark, error) {
	return c.append(nil, records)
}

// append appends records, if at is nil or the topic ends there.
func (c *Client) append(at *uint64, records []jvkeyed.Record) (jvkeyed.Mark, error) {
	away, lost := c.failure()
	if away {
		return jvkeyed.Mark{}, jvfault.Newf("append", jvkeyed.KindUnknown, "away")
	}
	c.topic.mu.Lock()
	defer c.topic.mu.Unlock()
	if at != nil && *at != uint64(len(c.topic.records)) {
		return jvkeyed.Mark{}, jvfault.Newf("append", jvkeyed.KindConflict, "the topic ends at %d", len(c.topic.records))
	}
	c.topic.appends++
	if c.mutant == MutantUnshared {
		return c.topic.end(), nil
	}
	for _, r := range records {
		r.Offset = uint64(len(c.topic.records))
		c.topic.records = append(c.topic.records, r)
	}
	close(c.topic.changed)
	c.topic.changed = make(chan struct{})
	if lost {
		return jvkeyed.Mark{}, jvfault.Newf("append", jvkeyed.KindUnknown, "the response was lost")
	}
	return c.topic.end(), nil
}

// end returns where the topic ends; t.mu must be held.
func (t *Topic) end() jvkeyed.Mark { return jvkeyed.Mark{Era: t.era, Offset: uint64(len(t.records))} }
