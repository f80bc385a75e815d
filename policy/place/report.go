package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Report returns this entry's load, usage and newly cached blocks for the other
// entries.
func (p *Planner) Report(now time.Time) *cleat.PlacementReport {
	p.seq++
	m := &cleat.PlacementReport{Seq: p.seq, CachedBlocks: p.newBlocks, Usage: p.usage.report(now), Limits: p.limits.Report(now), Cold: p.limits.ColdReport(now), Leaving: p.leaving, Clock: p.reportClock(now)}
	p.newBlocks = nil
	for id, u := range p.upstreams {
		recent := u.recentPrefill.sum(now)
		v := p.reportSpeed(now, u)
		if len(u.jobs) == 0 && recent == 0 && v == nil {
			continue
		}
		l := u.load(now, id, recent)
		l.Speed = v
		m.Loads = append(m.Loads, l)
		p.reportOutput(m, u)
	}
	return m
}

// load returns what this entry has placed on an upstream.
func (u *upstream) load(now time.Time, id cleat.UpstreamID, recent int) cleat.UpstreamLoad {
	return cleat.UpstreamLoad{
		Upstream: id, PendingPrefill: uint32(max(0, u.pendingPrefill)), Running: uint32(len(u.jobs)), Memory: uint32(max(0, u.reportedMemory(now))),
		RecentPrefill: uint32(recent), TokenRate: uint32(u.ownNeededRate(now)),
		BegunAge: u.begunAge(now),
	}
}

// Introduction returns this entry's load and usage for an entry to which a link has come
// up. The next report holds the rest.
func (p *Planner) Introduction(now time.Time) *cleat.PlacementReport {
	m := &cleat.PlacementReport{Seq: p.seq, Partial: true, Usage: p.usage.report(now), Clock: p.reportClock(now)}
	m.Cold, m.Informed = p.limits.ColdIntroduction(now)
	for id, u := range p.upstreams {
		if recent := u.recentPrefill.sum(now); len(u.jobs) > 0 || recent > 0 {
			m.Loads = append(m.Loads, u.load(now, id, recent))
			p.reportOutput(m, u)
		}
	}
	return m
}

// RecordLinked records that a link to another entry has come up. That entry may have
// restarted, and counts its reports anew then.
func (p *Planner) RecordLinked(entry cleat.InstanceID) {
	if q, ok := p.peers[entry]; ok {
		q.seq = 0
	}
}

// SetPeers sets from how many other entries reports come, and the time within which all
// of them have reported a new demand.
func (p *Planner) SetPeers(n int, delay time.Duration) {
	p.usage.peers, p.usage.reportDelay = n, delay
}

// ApplyReport applies another entry's report. A report that is not newer than the
// last one is dropped, unless the last one has expired.
func (p *Planner) ApplyReport(now time.Time, from cleat.InstanceID, m *cleat.PlacementReport) {
	q, ok := p.peers[from]
	if !ok {
		q = &peer{}
		p.peers[from] = q
	}
	if m.Seq <= q.seq && now.Sub(q.receivedAt) < peerMaxAge {
		return
	}
	p.usage.countDemandReport(now, q.receivedAt)
	p.addPeerReport(q, -1)
	*q = peer{clock: q.clock, seq: m.Seq, receivedAt: now, loads: m.Loads, usage: m.Usage, outputs: m.Outputs}
	q.clock.update(now, m.Clock)
	p.addPeerReport(q, 1)
	if p.updateJoining(now); m.Partial {
		if m.Informed {
			p.limits.ApplyColdIntroduction(now, m.Cold)
		}
		return
	}
	p.applyBegun(q)
	p.applySpeeds(now, m.Loads)
	for _, c := range m.CachedBlocks {
		if u, ok := p.upstreams[c.Upstream]; ok && u.cache != nil {
			u.cache.touch(c.Digest, int(c.Tokens), now.Add(u.expectedWait(int(c.Tokens))))
		}
	}
	p.limits.Apply(now, from, p.knownLimits(m.Limits))
	p.limits.ApplyCold(now, from, m.Leaving, m.Cold)
	p.expirePeers(now)
}

// expirePeers drops the reports of other entries that are older than peerMaxAge.
func (p *Planner) expirePeers(now time.Time) {
	for id, q := range p.peers {
		if now.Sub(q.receivedAt) >= peerMaxAge {
			p.addPeerReport(q, -1)
			delete(p.peers, id)
		}
	}
}

// recomputePeerSums adds up the other entries' loads at each upstream and their
// usage again, after the upstreams changed.
func (p *Planner) recomputePeerSums() {
	for _, u := range p.upstreams {
		u.peers = peerLoad{}
	}
	for _, r := range p.usage.rows {
		r.peers = peerUsage{}
	}
	for _, q := range p.peers {
		p.addPeerReport(q, 1)
	}
}

// addPeerReport adds an entry's report to the sums, or subtracts it with sign -1.
func (p *Planner) addPeerReport(q *peer, sign int) {
	for i, l := range q.loads {
		if u, ok := p.upstreams[l.Upstream]; ok {
			u.peers.add(l, sign)
			u.peers.addOutput(q.outputs, i, sign)
		}
	}
	for _, w := range q.usage {
		r, ok := p.usage.rows[w.Workspace]
		if !ok {
			r = &workspaceUsage{}
			p.usage.rows[w.Workspace] = r
		}
		r.peers.requested += sign * int(w.RequestedTokens)
		r.peers.admitted += sign * int(w.AdmittedTokens)
		r.peers.recent += sign * int(w.RecentTokens)
		r.peers.started += sign * int(w.StartedTokens)
		r.peers.pending += sign * int(w.PendingTokens)
		r.peers.denied += sign * int(w.DeniedTokens)
		r.peers.noRoom += sign * int(w.NoRoomTokens)
	}
}

// peerLoad is the sum of the loads of other entries at an upstream.
type peerLoad struct {
	pendingPrefill, running, memory, recentPrefill int
	output                                         int     // Output tokens still to come.
	neededRate                                     float64 // Tokens/s; the highest recently reported, see peerRateDecay.
}

// peerRateDecay is the factor by which the highest needed rate decays with each
// report of a lower one.
const peerRateDecay = 0.8

func (s *peerLoad) add(l cleat.UpstreamLoad, sign int) {
	s.pendingPrefill += sign * int(l.PendingPrefill)
	s.running += sign * int(l.Running)
	s.memory += sign * int(l.Memory)
	s.recentPrefill += sign * int(l.RecentPrefill)
	if sign > 0 {
		s.neededRate = max(float64(l.TokenRate), peerRateDecay*s.neededRate)
	}
}

// peerUsage is the sum of the cost units that other entries report for a workspace.
type peerUsage struct {
	requested, admitted, recent, started, pending, denied, noRoom int
}
