package permit

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// peerMaxAge is the age of its last report at which another entry counts as out of
	// touch.
	peerMaxAge = 2 * time.Second
	// burstTime is the time whose rate a bucket may accumulate, besides one permit: the
	// longest interval between reports.
	burstTime = 400 * time.Millisecond
	// reportLag is the time after which reports show what became of a permit: two of the
	// longest intervals between them.
	reportLag = 800 * time.Millisecond
	// openTime is the time whose rate may be granted and not yet used, besides
	// openPermits. Permits that expire are granted again; this bounds what arrives when
	// all of them are used at once.
	openTime    = 1500 * time.Millisecond
	openPermits = 3
	// maxDemand bounds the demand that one entry states.
	maxDemand = 1000
)

// peer is what another entry reported last.
type peer struct {
	reportedAt time.Time
	lostAt     time.Time // Since when it owns no cold upstream: its link was lost, or it shuts down. Zero if it may own one.
	isLeaving  bool
	limits     map[cleat.UpstreamID]peerLimit
}

// peerLimit is what another entry reported about a limited upstream.
type peerLimit struct {
	wanted, held uint32 // As in cleat.UpstreamLimit.
}

func (p *peer) isLive(now time.Time) bool { return now.Sub(p.reportedAt) < peerMaxAge }

// bucket is a token bucket of permits, with the entries that are to get them.
type bucket struct {
	granter  cleat.InstanceID // The entry that grants, as known at the last check.
	since    time.Time        // When it became the one; zero if there was none before it.
	tokens   float64
	granted  []time.Time // When permits were granted that reports don't show yet, in order.
	filledAt time.Time
	turns    map[cleat.InstanceID]float64 // Smooth weighted round robin: the entry with most is next.
}

// granterOf returns the entry that grants the permits of an upstream: the first by
// rendezvous hashing of those in touch.
func (t *Table) granterOf(now time.Time, id cleat.UpstreamID) cleat.InstanceID {
	best, bestRank := t.self, rendezvousRank(id, t.self)
	for name, p := range t.peers {
		if rank := rendezvousRank(id, name); p.isLive(now) && (rank > bestRank || (rank == bestRank && name < best)) {
			best, bestRank = name, rank
		}
	}
	return best
}

func rendezvousRank(id cleat.UpstreamID, entry cleat.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(id) + "\x00" + string(entry))) // Hash.Write never returns an error.
	// FNV leaves the high bits of similar names alike.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// livePeers returns how many other entries are in touch.
func (t *Table) livePeers(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if p.isLive(now) {
			n++
		}
	}
	return n
}

// grant returns the permits of an upstream that this entry grants now, by entry.
func (t *Table) grant(now time.Time, id cleat.UpstreamID, l *limit) map[cleat.InstanceID]uint32 {
	b := &l.bucket
	if granter := t.granterOf(now, id); granter != b.granter || b.turns == nil {
		since := now
		if b.granter == "" {
			since = time.Time{} // Nobody has granted before, unless this entry is new; see merge.
		}
		*b = bucket{granter: granter, since: since, filledAt: now, turns: make(map[cleat.InstanceID]float64)}
	}
	if b.granter != t.self || (!b.since.IsZero() && now.Sub(b.since) < Lifetime) {
		b.filledAt = now
		return nil
	}
	rate := l.rate * min(1, float64(1+t.livePeers(now))/float64(1+t.members))
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), 1+rate*burstTime.Seconds())
	b.filledAt = now
	wanted := t.wantedBy(now, id, l)
	var grants map[cleat.InstanceID]uint32
	for len(b.granted) > 0 && now.Sub(b.granted[0]) >= reportLag {
		b.granted = b.granted[1:]
	}
	held := t.heldBy(now, id, l)
	for ; len(wanted) > 0 && b.tokens >= 1 && float64(held+len(b.granted)) < openPermits+openTime.Seconds()*rate; b.tokens-- {
		if grants == nil {
			grants = make(map[cleat.InstanceID]uint32)
		}
		entry := b.next(wanted)
		grants[entry]++
		b.granted = append(b.granted, now)
		if wanted[entry]--; wanted[entry] == 0 {
			delete(wanted, entry)
		}
	}
	return grants
}

// wantedBy returns the demand for an upstream at each entry that has any.
func (t *Table) wantedBy(now time.Time, id cleat.UpstreamID, l *limit) map[cleat.InstanceID]uint32 {
	wanted := make(map[cleat.InstanceID]uint32)
	if n := l.wanted(now); n > 0 {
		wanted[t.self] = n
	}
	for name, p := range t.peers {
		if n := p.limits[id].wanted; n > 0 && p.isLive(now) {
			wanted[name] = n
		}
	}
	return wanted
}

// heldBy returns how many permits of an upstream entries hold, by their reports.
func (t *Table) heldBy(now time.Time, id cleat.UpstreamID, l *limit) int {
	l.expire(now)
	n := len(l.permits)
	for _, p := range t.peers {
		if p.isLive(now) {
			n += int(p.limits[id].held)
		}
	}
	return n
}

// wanted returns the recent demand that the permits at hand don't cover.
func (l *limit) wanted(now time.Time) uint32 {
	l.expire(now)
	n := min(l.demand.recent(now), maxDemand)
	return n - min(n, uint32(len(l.permits)))
}

// next returns the entry that gets the next permit.
func (b *bucket) next(wanted map[cleat.InstanceID]uint32) cleat.InstanceID {
	sum := uint32(0)
	for _, n := range wanted {
		sum += n
	}
	var best cleat.InstanceID
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		b.turns[name] += float64(wanted[name]) / float64(sum)
		if best == "" || b.turns[name] > b.turns[best] {
			best = name
		}
	}
	b.turns[best]--
	for name := range b.turns {
		if wanted[name] == 0 {
			delete(b.turns, name) // An entry without demand collects no turns.
		}
	}
	return best
}
