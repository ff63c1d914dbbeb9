package jvgrant

import (
	"context"

	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// begin reads both topics whole and takes over what an earlier start held.
func (k *Keeper) begin(ctx context.Context) bool {
	err := k.call(ctx, func(ctx context.Context) error { return k.statements.Poll(ctx, 0) })
	if err != nil || !k.options.Known() {
		return false // The follower reports what it can't reach.
	}
	if err := k.fence(ctx); err != nil {
		k.options.Logger.Info("budgets not taken over yet", "cause", err.Error())
		return false
	}
	k.mu.Lock()
	k.takeOver()
	k.started = true
	k.options.Logger.Info("budgets read", "epoch", k.speaker.epoch, "grants", k.grants.Next(), "statements", k.statements.Next())
	k.mu.Unlock()
	_ = k.call(ctx, func(ctx context.Context) error { k.readHistory(ctx); return nil })
	return k.say(ctx)
}

// fence reads the grants and moves the end of their topic, so that no append of an earlier
// start of this router can still be carried out: a late one that gives tokens back would let
// others take what this start spends.
func (k *Keeper) fence(ctx context.Context) error {
	const tries = 8
	var err error
	for range tries {
		if err = k.call(ctx, func(ctx context.Context) error { return k.grants.Poll(ctx, 0) }); err != nil {
			return err
		}
		at := k.grants.Next()
		mark := []jvkeyed.Item{Holding{}.Encode(k.options.Origin, fenceKey)}
		var end uint64
		err = k.call(ctx, func(ctx context.Context) error {
			var err error
			end, err = k.options.Grants.AppendAt(ctx, at, mark)
			return err
		})
		if err == nil {
			k.grants.Advance(at, end, mark)
			return nil
		}
	}
	return err
}

// fenceKey stands in place of a workspace in the record that a start writes first.
const fenceKey = ""
