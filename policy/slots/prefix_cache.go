package slots

import "marigoldcleat.example/cleat"

// prefixCache tracks the prefix digests that an upstream holds in its cache.
type prefixCache struct {
	seq     uint64
	cached  map[uint64]bool
	order   []uint64 // Oldest first; evicted digests may still be listed.
	added   uint64   // Sequence number of the newest digest or reset.
	resetAt uint64   // The value of added at the last reset.
}

// applyEvent applies a cache event; a gap in Seq discards all earlier digests.
func (p *prefixCache) applyEvent(e cleat.CacheEvent, maxDigests int) {
	if e.Seq <= p.seq {
		return
	}
	if p.seq != 0 && e.Seq != p.seq+1 {
		p.reset()
	}
	p.seq = e.Seq
	for _, d := range e.Evicted {
		delete(p.cached, d)
	}
	p.add(e.Added, maxDigests)
}

func (p *prefixCache) add(digests []uint64, maxDigests int) {
	if p.cached == nil {
		p.cached = map[uint64]bool{}
	}
	for _, d := range digests {
		if p.cached[d] {
			continue
		}
		p.cached[d] = true
		p.order = append(p.order, d)
		p.added++
	}
	for len(p.order) > maxDigests {
		delete(p.cached, p.order[0])
		p.order = p.order[1:]
	}
}

// reset discards all digests. It advances added, so that every value that
// entry.prefixesSent recorded before is below resetAt.
func (p *prefixCache) reset() {
	p.cached, p.order, p.resetAt = map[uint64]bool{}, nil, p.added+1
	p.added++
}

// addedSince returns the low 32 bits of those of the newest n digests that were
// added after the given number and are still cached. 32 bits, half a digest, are
// enough: a false match costs one prompt's prefill and no more.
func (p *prefixCache) addedSince(number uint64, n int) []uint32 {
	from := max(0, len(p.order)-n)
	if newer := p.added - min(number, p.added); uint64(len(p.order)) > newer {
		from = max(from, len(p.order)-int(newer))
	}
	var out []uint32
	for _, d := range p.order[from:] {
		if p.cached[d] {
			out = append(out, uint32(d))
		}
	}
	return out
}
