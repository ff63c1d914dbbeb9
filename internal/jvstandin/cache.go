package jvstandin

import (
	"container/list"
	"hash/maphash"
)

// blockBytes is the part of a prompt that is cached as one.
const blockBytes = 256

// cache is a prompt-prefix cache with limited memory that drops the blocks used longest ago.
type cache struct {
	seed   maphash.Seed
	blocks int
	order  *list.List
	held   map[uint64]*list.Element
}

func newCache(blocks int) *cache {
	return &cache{seed: maphash.MakeSeed(), blocks: blocks, order: list.New(), held: map[uint64]*list.Element{}}
}

// use returns how many bytes of a prompt's beginning are cached, and caches all of it.
func (c *cache) use(prompt []byte) int {
	hit, matching := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		key := maphash.Bytes(c.seed, prompt[:end])
		if e := c.held[key]; e != nil {
			c.order.MoveToFront(e)
			if matching {
				hit = end
			}
			continue
		}
		matching = false
		c.held[key] = c.order.PushFront(key)
		if c.order.Len() > c.blocks {
			last := c.order.Back()
			c.order.Remove(last)
			delete(c.held, last.Value.(uint64))
		}
	}
	return hit
}
