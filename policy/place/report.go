package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Report returns what other entries are to know of this one.
func (p *Planner) Report(now time.Time) *cleat.PlacementReport {
	p.seq++
	m := &cleat.PlacementReport{Seq: p.seq, CachedBlocks: p.parts, Usage: p.uses.report(now)}
	p.parts = nil
	for id, u := range p.upstreams {
		read := u.read.sum(now)
		if len(u.jobs) == 0 && read == 0 {
			continue
		}
		m.Loads = append(m.Loads, cleat.UpstreamLoad{
			Upstream: id, PendingPrefill: uint32(max(0, u.unread)), Running: uint32(len(u.jobs)), Memory: uint32(max(0, u.memory)),
			RecentPrefill: uint32(read), TokenRate: uint32(u.ownPace(now)),
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
	p.addPeer(q, -1)
	*q = peer{seq: m.Seq, heard: now, loads: m.Loads, uses: m.Usage}
	p.addPeer(q, 1)
	for _, c := range m.CachedBlocks {
		if u, ok := p.upstreams[c.Upstream]; ok && u.cache != nil {
			u.cache.use(c.Digest, int(c.Tokens))
		}
	}
	p.expire(now)
}

// expire drops entries that were not heard for long.
func (p *Planner) expire(now time.Time) {
	for id, q := range p.peers {
		if now.Sub(q.heard) >= peerMaxAge {
			p.addPeer(q, -1)
			delete(p.peers, id)
		}
	}
}

// sumPeers adds up anew what the other entries have at each upstream, after the
// upstreams changed.
func (p *Planner) sumPeers() {
	for _, u := range p.upstreams {
		u.peers = peerLoad{}
	}
	for _, r := range p.uses.rows {
		r.peers = peerUse{}
	}
	for _, q := range p.peers {
		p.addPeer(q, 1)
	}
}

// addPeer adds an entry's report to the sums, or takes it out with sign -1.
func (p *Planner) addPeer(q *peer, sign int) {
	for _, l := range q.loads {
		if u, ok := p.upstreams[l.Upstream]; ok {
			u.peers.add(l, sign)
		}
	}
	for _, w := range q.uses {
		r, ok := p.uses.rows[w.Workspace]
		if !ok {
			r = &use{}
			p.uses.rows[w.Workspace] = r
		}
		r.peers.asked += sign * int(w.RequestedTokens)
		r.peers.admitted += sign * int(w.AdmittedTokens)
	}
}

// peerLoad is the sum of what other entries have at an upstream.
type peerLoad struct {
	prefill, running, memory, read int
	pace                           float64 // The highest heard lately; it falls between reports.
}

// paceDecay is how much of the highest pace is kept with each report that names a lower one.
const paceDecay = 0.8

func (s *peerLoad) add(l cleat.UpstreamLoad, sign int) {
	s.prefill += sign * int(l.PendingPrefill)
	s.running += sign * int(l.Running)
	s.memory += sign * int(l.Memory)
	s.read += sign * int(l.RecentPrefill)
	if sign > 0 {
		s.pace = max(float64(l.TokenRate), paceDecay*s.pace)
	}
}

// peerUse is the sum of what a workspace asked for and was sent at other entries.
type peerUse struct {
	asked, admitted int
}
