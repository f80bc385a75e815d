package fakes

import "container/list"

// prefixCache is an LRU set of prefix digests with a bounded number of blocks.
type prefixCache struct {
	maxBlocks int
	recency   *list.List // Front is the most recently used.
	items     map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), items: make(map[uint64]*list.Element)}
}

// access caches the digests of a prompt. It returns how many leading digests
// were cached already, and the digests that it added and evicted.
func (c *prefixCache) access(digests []uint64) (hits int, added, evicted []uint64) {
	for hits < len(digests) && c.items[digests[hits]] != nil {
		hits++
	}
	// In reverse order, so that the last digests of the prompt are evicted first: they are of no use without those before them.
	for i := len(digests) - 1; i >= 0; i-- {
		if c.touch(digests[i]) {
			added = append(added, digests[i])
		}
	}
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.items, oldest)
		evicted = append(evicted, oldest)
	}
	return hits, added, evicted
}

func (c *prefixCache) touch(digest uint64) (added bool) {
	if e, ok := c.items[digest]; ok {
		c.recency.MoveToFront(e)
		return false
	}
	c.items[digest] = c.recency.PushFront(digest)
	return true
}
