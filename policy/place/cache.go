package place

import (
	"container/list"
	"time"
)

// blockCache is the prefix cache that one upstream is assumed to have: the most
// recently used prefix blocks, up to a limit in tokens.
type blockCache struct {
	limit  int // Tokens.
	tokens int
	lru    *list.List // Of *cachedBlock, the most recently used in front.
	blocks map[uint64]*list.Element
}

type cachedBlock struct {
	digest  uint64
	tokens  int
	readyAt time.Time // When the upstream is expected to have prefilled it.
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// isReady reports whether a block is cached and is expected to have been prefilled.
func (c *blockCache) isReady(now time.Time, digest uint64) bool {
	e, ok := c.blocks[digest]
	return ok && !now.Before(e.Value.(*cachedBlock).readyAt)
}

func (c *blockCache) has(digest uint64) bool {
	_, ok := c.blocks[digest]
	return ok
}

// touch records that a block is reused, or prefilled by a time, and evicts the least recently
// used blocks while the cache exceeds its limit.
func (c *blockCache) touch(digest uint64, tokens int, readyAt time.Time) {
	if e, ok := c.blocks[digest]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[digest] = c.lru.PushFront(&cachedBlock{digest: digest, tokens: tokens, readyAt: readyAt})
	c.tokens += tokens
	for c.tokens > c.limit && c.lru.Len() > 1 {
		c.evict(c.lru.Back())
	}
}

func (c *blockCache) evict(e *list.Element) {
	b := e.Value.(*cachedBlock)
	c.lru.Remove(e)
	delete(c.blocks, b.digest)
	c.tokens -= b.tokens
}
