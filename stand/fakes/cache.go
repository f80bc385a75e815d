package fakes

import "container/list"

// prefixCache is a least-recently-used set of prefix digests in limited memory.
type prefixCache struct {
	max   int
	order *list.List // Front is the most recently used.
	items map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{max: maxBlocks, order: list.New(), items: make(map[uint64]*list.Element)}
}

// use caches the digests and returns how many of the first were cached before,
// with what it added and evicted.
func (c *prefixCache) use(digests []uint64) (hits int, added, evicted []uint64) {
	for hits < len(digests) && c.items[digests[hits]] != nil {
		hits++
	}
	for i := len(digests) - 1; i >= 0; i-- {
		if c.touch(digests[i]) {
			added = append(added, digests[i])
		}
	}
	for c.order.Len() > c.max {
		last := c.order.Remove(c.order.Back()).(uint64)
		delete(c.items, last)
		evicted = append(evicted, last)
	}
	return hits, added, evicted
}

func (c *prefixCache) touch(digest uint64) (added bool) {
	if e, ok := c.items[digest]; ok {
		c.order.MoveToFront(e)
		return false
	}
	c.items[digest] = c.order.PushFront(digest)
	return true
}
