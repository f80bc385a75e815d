package place

import "container/list"

// blockCache is the prefix cache that one upstream is assumed to have: the most
// recently used prefix blocks, up to a limit in tokens.
type blockCache struct {
	limit  int // Tokens.
	tokens int
	lru    *list.List // Of *cachedBlock, the most recently used in front.
	blocks map[uint64]*list.Element
}

type cachedBlock struct {
	digest uint64
	tokens int
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *blockCache) has(digest uint64) bool {
	_, ok := c.blocks[digest]
	return ok
}

// touch records that a block was prefilled or reused, and evicts the least recently
// used blocks while the cache exceeds its limit.
func (c *blockCache) touch(digest uint64, tokens int) {
	if e, ok := c.blocks[digest]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[digest] = c.lru.PushFront(&cachedBlock{digest: digest, tokens: tokens})
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
