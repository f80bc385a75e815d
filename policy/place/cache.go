package place

import "container/list"

// partCache is what one upstream is believed to keep of prompts: the parts
// used last, up to a number of tokens.
type partCache struct {
	limit  int // Tokens.
	tokens int
	order  *list.List // Of *cachedPart, the one used last in front.
	parts  map[uint64]*list.Element
}

type cachedPart struct {
	digest uint64
	tokens int
}

func newPartCache(limit int) *partCache {
	return &partCache{limit: limit, order: list.New(), parts: make(map[uint64]*list.Element)}
}

func (c *partCache) has(digest uint64) bool {
	_, ok := c.parts[digest]
	return ok
}

// use notes that a part was read or used.
func (c *partCache) use(digest uint64, tokens int) {
	if e, ok := c.parts[digest]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[digest] = c.order.PushFront(&cachedPart{digest: digest, tokens: tokens})
	c.tokens += tokens
	for c.tokens > c.limit && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

func (c *partCache) drop(e *list.Element) {
	p := e.Value.(*cachedPart)
	c.order.Remove(e)
	delete(c.parts, p.digest)
	c.tokens -= p.tokens
}
