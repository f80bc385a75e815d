package cost

import "math"

// keyTable holds a value for each key. When it is full, keys that have not been used
// for long are evicted.
type keyTable[K comparable, V any] struct {
	rows  map[K]*keyRow[V]
	limit int
	uses  uint64 // Number of uses so far.
}

type keyRow[V any] struct {
	value   V
	lastUse uint64 // Value of keyTable.uses at the last use.
}

func newKeyTable[K comparable, V any](limit int) keyTable[K, V] {
	return keyTable[K, V]{rows: make(map[K]*keyRow[V]), limit: limit}
}

// peek returns the value of a key, or nil, and doesn't count as a use.
func (t *keyTable[K, V]) peek(k K) *V {
	if r, ok := t.rows[k]; ok {
		return &r.value
	}
	return nil
}

// find returns the value of a key, or nil.
func (t *keyTable[K, V]) find(k K) *V {
	r, ok := t.rows[k]
	if !ok {
		return nil
	}
	t.markUsed(r)
	return &r.value
}

// findOrAdd returns the value of a key, which is the zero value for a new one.
func (t *keyTable[K, V]) findOrAdd(k K) *V {
	r, ok := t.rows[k]
	if !ok {
		if len(t.rows) >= t.limit {
			t.evict()
		}
		r = &keyRow[V]{}
		t.rows[k] = r
	}
	t.markUsed(r)
	return &r.value
}

func (t *keyTable[K, V]) markUsed(r *keyRow[V]) {
	t.uses++
	r.lastUse = t.uses
}

// evict removes the keys without a use among the last limit/2 uses, which leaves at
// most about half of them, and then the least recently used until there is room for one.
func (t *keyTable[K, V]) evict() {
	cutoff := t.uses - min(t.uses, uint64(t.limit/2))
	for k, r := range t.rows {
		if r.lastUse < cutoff {
			delete(t.rows, k)
		}
	}
	for len(t.rows) >= t.limit {
		t.evictLeastRecentlyUsed()
	}
}

func (t *keyTable[K, V]) evictLeastRecentlyUsed() {
	var oldest K
	least := uint64(math.MaxUint64)
	for k, r := range t.rows {
		if r.lastUse < least {
			oldest, least = k, r.lastUse
		}
	}
	delete(t.rows, oldest)
}
