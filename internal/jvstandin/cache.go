package jvstandin

import (
	"container/list"
	"hash/maphash"
)

// blockBytes is the size of a block, the unit in which prompts are cached.
const blockBytes = 256

// cache is a bounded prompt-prefix cache that evicts the least recently used blocks.
type cache struct {
	seed      maphash.Seed
	maxBlocks int
	order     *list.List
	elements  map[uint64]*list.Element
}

func newCache(blocks int) *cache {
	return &cache{seed: maphash.MakeSeed(), maxBlocks: blocks, order: list.New(), elements: map[uint64]*list.Element{}}
}

// lookupAndInsert returns the number of leading bytes of prompt that are cached, and caches
// all whole blocks of prompt.
func (c *cache) lookupAndInsert(prompt []byte) int {
	cachedBytes, matching := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		key := maphash.Bytes(c.seed, prompt[:end])
		if e := c.elements[key]; e != nil {
			c.order.MoveToFront(e)
			if matching {
				cachedBytes = end
			}
			continue
		}
		matching = false
		c.elements[key] = c.order.PushFront(key)
		if c.order.Len() > c.maxBlocks {
			last := c.order.Back()
			c.order.Remove(last)
			delete(c.elements, last.Value.(uint64))
		}
	}
	return cachedBytes
}
