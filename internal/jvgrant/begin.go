package jvgrant

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// begin reads both topics whole and takes over what an earlier start held.
func (k *Allocator) begin(ctx context.Context) bool {
	err := k.call(ctx, func(ctx context.Context) error { return k.statements.Poll(ctx, 0) })
	if err != nil || !k.options.ConfigLoaded() {
		return false // The follower reports what it can't reach.
	}
	if k.eachShelf(ctx, k.allShelves(), k.unfenced) {
		return false
	}
	k.mu.Lock()
	k.takeOver()
	k.started = true
	k.options.Logger.Info("budgets read", "epoch", k.speaker.epoch, "grants", k.places(), "statements", k.statements.Next())
	k.mu.Unlock()
	_ = k.call(ctx, func(ctx context.Context) error { k.readHistory(ctx); return nil })
	return k.say(ctx)
}

// unfenced tells whether a shelf could not be fenced.
func (k *Allocator) unfenced(ctx context.Context, number int) bool {
	err := k.fence(ctx, k.shelves[number])
	if err != nil {
		k.options.Logger.Info("budgets not taken over yet", "partition", number, "cause", err.Error())
	}
	return err != nil
}

// fence reads a partition of the grants and moves its end, so that no append of an earlier
// start of this router can still be carried out: a late one that gives tokens back would let
// others take what this start spends. An end that another router has moved serves as well.
func (k *Allocator) fence(ctx context.Context, s *shelf) error {
	read := func(ctx context.Context) error { return s.follower.Poll(ctx, 0) }
	if err := k.call(ctx, read); err != nil {
		return err
	}
	at := s.follower.Next()
	mark := []jvkeyed.Record{Holding{}.Encode(k.options.Router, fenceKey)}
	var end uint64
	err := k.call(ctx, func(ctx context.Context) error {
		var err error
		end, err = s.topic.AppendAt(ctx, at, mark)
		return err
	})
	if jvfault.KindOf[jvkeyed.Kind](err) == jvkeyed.KindConflict {
		return k.call(ctx, read) // What moved it may be a late append of the earlier start.
	}
	if err == nil {
		s.follower.Advance(at, end, mark)
	}
	return err
}

// fenceKey stands in place of a workspace in the record that a start writes first.
const fenceKey = ""
