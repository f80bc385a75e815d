package fair

// Item is an element of a Heap; the zero value is in no heap.
type Item struct {
	id    string
	key   float64
	pos   int // Index plus one; zero if in no heap.
	owner any
}

// NewItem returns an item that refers to owner; id breaks ties between equal keys.
func NewItem(id string, owner any) *Item {
	return &Item{id: id, owner: owner}
}

// Owner returns the value that the item was created with.
func (it *Item) Owner() any { return it.owner }

// Key returns the key that orders the item.
func (it *Item) Key() float64 { return it.key }

// Queued reports whether the item is in a heap.
func (it *Item) Queued() bool { return it.pos > 0 }

// Heap is an indexed min-heap of items, ordered by key, then by id. The zero value is
// an empty heap.
type Heap struct {
	items []*Item
}

// Len returns the number of items.
func (h *Heap) Len() int { return len(h.items) }

// Min returns the item with the lowest key, or nil if the heap is empty.
func (h *Heap) Min() *Item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Set inserts the item, or updates its key if it is queued.
func (h *Heap) Set(it *Item, key float64) {
	it.key = key
	if it.pos == 0 {
		h.items = append(h.items, it)
		it.pos = len(h.items)
	}
	if !h.up(it.pos - 1) {
		h.down(it.pos - 1)
	}
}

// Remove removes the item; it does nothing if the item is not queued.
func (h *Heap) Remove(it *Item) {
	if it.pos == 0 {
		return
	}
	i, last := it.pos-1, len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	it.pos = 0
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *Heap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.id < b.id
}

func (h *Heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos = i + 1
	h.items[j].pos = j + 1
}

func (h *Heap) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *Heap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
