package model

import (
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/prefix"
)

// maxCacheEvents is how many cache events a report carries; older ones are lost.
const maxCacheEvents = 64

// maxBlocks is how many blocks the cache holds; the oldest is dropped first.
const maxBlocks = 1024

// blockCache is the engine's prefix cache.
type blockCache struct {
	blocks map[uint64]struct{}
	order  []uint64
	seq    uint64
	events []engine.CacheEvent
}

func newBlockCache() *blockCache { return &blockCache{blocks: make(map[uint64]struct{})} }

// use puts the blocks of a prompt into the cache and returns how many tokens of it were there before.
func (c *blockCache) use(model, version, adapter, prompt string) int {
	cached, missed := 0, false
	for _, b := range prefix.Append(nil, prefix.Seed(model, version, adapter), prompt) {
		if _, ok := c.blocks[b]; ok {
			if !missed {
				cached += prefix.BlockTokens
			}
			continue
		}
		missed = true
		c.store(b)
	}
	return cached
}

func (c *blockCache) store(block uint64) {
	if len(c.order) == maxBlocks {
		delete(c.blocks, c.order[0])
		c.note(c.order[0], false)
		c.order = c.order[1:]
	}
	c.blocks[block] = struct{}{}
	c.order = append(c.order, block)
	c.note(block, true)
}

func (c *blockCache) note(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Hash: block, Stored: stored})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}
