package jvgrant

import (
	"context"
	"slices"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// memoryTopic is a topic in memory whose calls fail as the next outcome says.
type memoryTopic struct {
	records []jvkeyed.Record
	// kept is the offset of the oldest record that a read still gives.
	kept uint64
	// late are appends that are carried out when they are let through.
	late      []func()
	producers map[string]jvkeyed.Producer
}

func newMemoryTopic() *memoryTopic {
	return &memoryTopic{producers: map[string]jvkeyed.Producer{}}
}

// produce adds items as a producer's append; the kept producer names the next number.
func (m *memoryTopic) produce(p jvkeyed.Producer, items []jvkeyed.Record) jvkeyed.Kind {
	last, known := m.producers[p.Name]
	switch {
	case known && p.Epoch < last.Epoch:
		return jvkeyed.KindFenced
	case known && p.Epoch == last.Epoch && len(items) > 0 && p.Sequence < last.Sequence:
		return "" // Its first answer again.
	case known && p.Epoch == last.Epoch && len(items) > 0 && p.Sequence > last.Sequence:
		return jvkeyed.KindRefused
	}
	next := p
	if len(items) > 0 {
		next.Sequence++
	} else if known && p.Epoch == last.Epoch {
		next.Sequence = last.Sequence
	}
	m.producers[p.Name] = next
	m.add(m.end(), items)
	return ""
}

func (m *memoryTopic) end() uint64 { return uint64(len(m.records)) }

func (m *memoryTopic) add(at uint64, items []jvkeyed.Record) bool {
	if at != m.end() {
		return false
	}
	for n, i := range items {
		m.records = append(m.records, jvkeyed.Record{Key: i.Key, Value: slices.Clone(i.Value), Offset: at + uint64(n)})
	}
	return true
}

// release carries out the appends that were held up.
func (m *memoryTopic) release() {
	for _, carryOut := range m.late {
		carryOut()
	}
	m.late = nil
}

func (m *memoryTopic) newest() []jvkeyed.Record {
	last := map[string]jvkeyed.Record{}
	for _, r := range m.records {
		last[r.Key] = r
	}
	var list []jvkeyed.Record
	for _, r := range m.records {
		if last[r.Key].Offset == r.Offset {
			list = append(list, r)
		}
	}
	return list
}

// fate is what becomes of one router's calls.
type fate string

const (
	fateDone  fate = "done"
	fateLost  fate = "done, answer lost"
	fateLate  fate = "done later"
	fateCut   fate = "cut off"
	fateBusy  fate = "refused"
	fateReads fate = "reads only"
	fateRaced fate = "another router writes in between"
)

// line is one router's way to the topic.
type line struct {
	topic *memoryTopic
	fate  fate
	// next are the fates of the next numbered appends, before fate holds again.
	next []fate
	// race lets another router make a round.
	race func()
}

func (l *line) Newest(context.Context, string) (jvkeyed.Page, error) {
	if l.fate == fateCut {
		return jvkeyed.Page{}, jvfault.New[jvkeyed.Kind]("list", jvkeyed.KindUnknown, nil)
	}
	return jvkeyed.Page{Records: l.topic.newest(), End: l.topic.end()}, nil
}

func (l *line) Read(_ context.Context, from uint64, _ time.Duration) (jvkeyed.Page, error) {
	switch {
	case l.fate == fateCut:
		return jvkeyed.Page{}, jvfault.New[jvkeyed.Kind]("read", jvkeyed.KindUnknown, nil)
	case from < l.topic.kept:
		return jvkeyed.Page{}, jvfault.New[jvkeyed.Kind]("read", jvkeyed.KindCompacted, nil)
	}
	return jvkeyed.Page{Records: slices.Clone(l.topic.records[from:]), End: l.topic.end()}, nil
}

func (l *line) AppendAt(_ context.Context, at uint64, items []jvkeyed.Record) (uint64, error) {
	switch l.fate {
	case fateRaced:
		l.fate = fateDone
		l.race()
	case fateCut, fateReads:
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	case fateBusy:
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindRefused, nil)
	case fateLate:
		l.topic.late = append(l.topic.late, func() { l.topic.add(at, items) })
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	}
	if !l.topic.add(at, items) {
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindConflict, nil)
	}
	if l.fate == fateLost {
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	}
	return l.topic.end(), nil
}

func (l *line) Append(_ context.Context, p jvkeyed.Producer, items []jvkeyed.Record) (uint64, error) {
	met := l.fate
	if len(l.next) > 0 {
		met, l.next = l.next[0], l.next[1:]
	}
	switch met {
	case fateCut, fateReads:
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	case fateBusy:
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindRefused, nil)
	case fateLate:
		l.topic.late = append(l.topic.late, func() { l.topic.produce(p, items) })
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	}
	if kind := l.topic.produce(p, items); kind != "" {
		return 0, jvfault.New("append", kind, nil)
	}
	if met == fateLost {
		return 0, jvfault.New[jvkeyed.Kind]("append", jvkeyed.KindUnknown, nil)
	}
	return l.topic.end(), nil
}
