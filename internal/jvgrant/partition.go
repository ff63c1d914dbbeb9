package jvgrant

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// partition is one partition of the topic of holdings; it has the budgets whose workspaces hash to
// it. Routers that take from budgets in different partitions don't contend for the same topic end.
type partition struct {
	topic    jvkeyed.Topic
	follower *jvkeyed.Follower
	// lastPolled is when it was last read, or a read was attempted; the allocator's lock guards it.
	lastPolled time.Time
	// lacking are the holdings that the partition has lost, by key; completeEra is the era up to which it is known to have all,
	// or 0. The allocator's lock guards both.
	lacking     map[string]jvkeyed.Record
	completeEra uint64
}

// partitionOf returns the number of the partition that a workspace's budget is in. The number of
// partitions and the hash function are part of the stored data: with others, stored holdings would
// not be found.
func partitionOf(workspace string, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace)) // A hash never returns an error.
	return int(h.Sum32() % uint32(partitions))
}

func (a *Allocator) partitionOf(workspace string) int {
	return partitionOf(workspace, len(a.partitions))
}

// budgetsIn lists the budgets of one partition; a.mu must be held.
func (a *Allocator) budgetsIn(number int) []string {
	var list []string
	for _, w := range a.budgets() {
		if a.partitionOf(w) == number {
			list = append(list, w)
		}
	}
	return list
}

// eachPartition calls use concurrently with each of the given partitions and reports whether any
// call returned true.
func (a *Allocator) eachPartition(ctx context.Context, numbers []int, use func(context.Context, int) bool) bool {
	results := make([]bool, len(numbers))
	var all sync.WaitGroup
	for n, p := range numbers {
		all.Go(func() { results[n] = use(ctx, p) })
	}
	all.Wait()
	for _, r := range results {
		if r {
			return true
		}
	}
	return false
}

// allPartitions lists the numbers of all partitions.
func (a *Allocator) allPartitions() []int {
	list := make([]int, len(a.partitions))
	for n := range list {
		list[n] = n
	}
	return list
}

// offsets returns the offset up to which each partition has been read.
func (a *Allocator) offsets() []uint64 {
	list := make([]uint64, len(a.partitions))
	for n, p := range a.partitions {
		list[n] = p.follower.NextOffset()
	}
	return list
}
