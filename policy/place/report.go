package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Report returns what other entries are to know of this one.
func (p *Planner) Report(now time.Time) *cleat.PlacementReport {
	p.seq++
	m := &cleat.PlacementReport{Seq: p.seq, Parts: p.parts, Uses: p.uses.report(now)}
	p.parts = nil
	for id, u := range p.upstreams {
		read := u.read.sum(now)
		if len(u.jobs) == 0 && read == 0 {
			continue
		}
		m.Loads = append(m.Loads, cleat.UpstreamLoad{
			Upstream: id, Prefill: uint32(max(0, u.unread)), Running: uint32(len(u.jobs)), Memory: uint32(max(0, u.memory)),
			Read: uint32(read), Pace: uint32(u.ownPace(now)),
		})
	}
	return m
}

// TakeReport takes another entry's report; one that was overtaken is dropped.
func (p *Planner) TakeReport(now time.Time, from cleat.InstanceID, m *cleat.PlacementReport) {
	q, ok := p.peers[from]
	if !ok {
		q = &peer{}
		p.peers[from] = q
	}
	if m.Seq <= q.seq && now.Sub(q.heard) < peerMaxAge {
		return
	}
	*q = peer{seq: m.Seq, heard: now, loads: m.Loads, uses: m.Uses}
	for _, c := range m.Parts {
		if u, ok := p.upstreams[c.Upstream]; ok && u.cache != nil {
			u.cache.use(c.Part, int(c.Tokens))
		}
	}
	p.expire(now)
	p.sumPeers()
}

// expire drops entries that were not heard for long and reports whether there were any.
func (p *Planner) expire(now time.Time) bool {
	n := len(p.peers)
	for id, q := range p.peers {
		if now.Sub(q.heard) >= peerMaxAge {
			delete(p.peers, id)
		}
	}
	return len(p.peers) < n
}

// sumPeers adds up what the other entries have at each upstream and for each workspace.
func (p *Planner) sumPeers() {
	for _, u := range p.upstreams {
		u.peers = cleat.UpstreamLoad{}
	}
	for _, r := range p.uses.rows {
		r.peers = cleat.WorkspaceUse{}
	}
	for _, q := range p.peers {
		for _, l := range q.loads {
			if u, ok := p.upstreams[l.Upstream]; ok {
				u.peers.Prefill += l.Prefill
				u.peers.Running += l.Running
				u.peers.Memory += l.Memory
				u.peers.Read += l.Read
				u.peers.Pace = max(u.peers.Pace, l.Pace)
			}
		}
		for _, w := range q.uses {
			r, ok := p.uses.rows[w.Workspace]
			if !ok {
				r = &use{}
				p.uses.rows[w.Workspace] = r
			}
			r.peers.Asked += w.Asked
			r.peers.Admitted += w.Admitted
		}
	}
}
