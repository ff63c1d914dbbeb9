package jvgrant

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// shelf is one partition of the holdings: the budgets whose names hash to it. Routers that take
// from budgets on different shelves never meet at the same end of a topic.
type shelf struct {
	topic    jvkeyed.Topic
	follower *jvkeyed.Follower
	// asked is when it was last read, or tried to be; the keeper's lock guards it.
	asked time.Time
}

// shelfOf returns the place of a workspace's budget among a number of partitions. The number
// and the hash are part of what the topic holds: with others, holdings would be lost sight of.
func shelfOf(workspace string, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace)) // A hash takes all.
	return int(h.Sum32() % uint32(partitions))
}

// shelfOf returns the number of the shelf that a budget is on.
func (k *Allocator) shelfOf(workspace string) int { return shelfOf(workspace, len(k.shelves)) }

// budgetsOn lists the budgets of one shelf; k.mu must be held.
func (k *Allocator) budgetsOn(shelf int) []string {
	var list []string
	for _, w := range k.budgets() {
		if k.shelfOf(w) == shelf {
			list = append(list, w)
		}
	}
	return list
}

// eachShelf runs a use of every shelf that is named, all at once, and returns whether any of
// them returned true.
func (k *Allocator) eachShelf(ctx context.Context, shelves []int, use func(context.Context, int) bool) bool {
	done := make([]bool, len(shelves))
	var all sync.WaitGroup
	for n, s := range shelves {
		all.Go(func() { done[n] = use(ctx, s) })
	}
	all.Wait()
	for _, d := range done {
		if d {
			return true
		}
	}
	return false
}

// allShelves lists the numbers of all shelves.
func (k *Allocator) allShelves() []int {
	list := make([]int, len(k.shelves))
	for n := range list {
		list[n] = n
	}
	return list
}

// places returns the positions in all partitions.
func (k *Allocator) places() []uint64 {
	list := make([]uint64, len(k.shelves))
	for n, s := range k.shelves {
		list[n] = s.follower.Next()
	}
	return list
}
