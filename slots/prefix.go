package slots

import "marigoldcleat.example/cleat"

// prefixes is what is known of an upstream's cache, oldest first.
type prefixes struct {
	seq   uint64
	known map[uint64]bool
	order []uint64
	fresh []uint64 // Added since the last state.
	lost  bool     // All was forgotten since the last state.
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
		p.fresh = append(p.fresh, d)
	}
	for len(p.order) > most {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	if len(p.fresh) > most {
		p.fresh = append([]uint64(nil), p.fresh[len(p.fresh)-most:]...)
	}
}

func (p *prefixes) forget() {
	p.known, p.order, p.fresh, p.lost = map[uint64]bool{}, nil, nil, true
}

// newest returns up to n digests that are still cached, newest last.
func (p *prefixes) newest(list []uint64, n int) []uint64 {
	var out []uint64
	for i := len(list) - 1; i >= 0 && len(out) < n; i-- {
		if p.known[list[i]] {
			out = append(out, list[i])
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
