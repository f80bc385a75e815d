package slots

import "marigoldcleat.example/cleat"

// prefixes is what is known of an upstream's cache.
type prefixes struct {
	seq       uint64
	known     map[uint64]bool
	order     []uint64 // Oldest first.
	added     uint64   // Digests ever added; the last of order has this number.
	forgotten uint64   // The value of added when all was forgotten.
}

// event applies a cache event; after a gap in Seq nothing earlier is believed.
func (p *prefixes) event(e cleat.CacheEvent, most int) {
	if e.Seq <= p.seq {
		return
	}
	if p.seq != 0 && e.Seq != p.seq+1 {
		p.forget()
	}
	p.seq = e.Seq
	for _, d := range e.Evicted {
		delete(p.known, d)
	}
	p.add(e.Added, most)
}

func (p *prefixes) add(digests []uint64, most int) {
	if p.known == nil {
		p.known = map[uint64]bool{}
	}
	for _, d := range digests {
		if p.known[d] {
			continue
		}
		p.known[d] = true
		p.order = append(p.order, d)
		p.added++
	}
	for len(p.order) > most {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *prefixes) forget() {
	p.known, p.order, p.forgotten = map[uint64]bool{}, nil, p.added+1
	p.added++
}

// since returns the low halves of the newest digests, at most n, that were
// added after the first number of them and are still cached; a false match
// costs one prompt's computation and no more.
func (p *prefixes) since(number uint64, n int) []uint32 {
	from := max(0, len(p.order)-n)
	if fresh := p.added - min(number, p.added); uint64(len(p.order)) > fresh {
		from = max(from, len(p.order)-int(fresh))
	}
	var out []uint32
	for _, d := range p.order[from:] {
		if p.known[d] {
			out = append(out, uint32(d))
		}
	}
	return out
}
