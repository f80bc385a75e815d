package permit

import (
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// handoverTime is how long the entries that may have sent to a cold upstream before
	// are waited for: their sends must have left the window of one second in which the
	// bound holds.
	handoverTime = time.Second
	// startGrace is how long an entry that has just started owns no upstream: its list of
	// members may be incomplete.
	startGrace = 2 * time.Second
	// maxStall is the time without a report of its own after which an entry counts as
	// stalled: others may have taken over its upstreams.
	maxStall = 1500 * time.Millisecond
	// ownerCheckInterval is how long the result of the choice of an owner is reused: it
	// hashes the names of all entries.
	ownerCheckInterval = 20 * time.Millisecond
	// maxTokenAge is how long a token covers a request that is being connected. Requests
	// that take longer would arrive bunched together.
	maxTokenAge = 100 * time.Millisecond
	// maxRefundAge is how long a token may be given back: later ones would come on top of
	// the next second's.
	maxRefundAge = 250 * time.Millisecond
	// maxStartSkew bounds the difference between an upstream's clock and an entry's, for
	// an entry that has just started and hears of all upstreams for the first time.
	maxStartSkew = 5 * time.Second
)

// ColdService is what the configuration says about the cold upstreams of a service.
type ColdService struct {
	Start     time.Duration // How long an upstream is cold after its start.
	PerSecond float64       // Requests/s that a cold upstream tolerates.
}

// ColdChange tells that an upstream became cold or warm, as this entry sees it.
type ColdChange struct {
	Upstream cleat.UpstreamID
	Cold     bool
	Why      string           // What made it cold; empty when it became warm.
	For      time.Duration    // How long it is cold, as far as known.
	Owner    cleat.InstanceID // The entry that sends to it; empty when this one hears too few others to know.
}

// coldTable is what an entry knows about cold upstreams.
type coldTable struct {
	overshoot, slack float64
	services         map[cleat.ServiceName]ColdService
	rows             map[cleat.UpstreamID]*coldRow
	until            time.Time // No upstream is cold from then on.
	brokenUntil      time.Time // No broken connection needs to be explained from then on.
	isLeaving        bool      // This entry shuts down.
	knowsMembers     bool      // The fleet's members are known.
	settled          bool      // What the others know has arrived.
	introductions    []introduction
	startedAt        time.Time // When the table was first used.
	seenAt           time.Time // The latest time that was passed.
	reportedAt       time.Time // When this entry last reported.
	awakeSince       time.Time // Since when it has reported without a stall.
	aloneAt          time.Time // When it last heard from too few others.
	changes          []ColdChange
	counts           ColdCounts
}

// coldRow is what an entry knows about how cold an upstream is.
type coldRow struct {
	service cleat.ServiceName
	domain  cleat.DomainID
	born    int64
	seq     uint64

	startHeardAt time.Time // When this incarnation was first heard of; zero if it started long before.
	newsUntil    time.Time // By its announcements and answers.
	heardUntil   time.Time // By what other entries know from these.
	domainUntil  time.Time // After the evacuation of its failure domain.
	own, heard   failure   // Failed connections of this entry, and of others.
	failingSince time.Time // Begin of the failures in a row of which the last was at lastFailedAt.
	lastFailedAt time.Time
	brokenAt     time.Time // When a connection of this entry last broke off; zero once that is explained.
	provenAt     time.Time // When a request from before a failure was last seen to go on, at any entry.
	ownProofAt   time.Time // The same at this entry.

	until     time.Time
	since     time.Time // When it became cold; zero if nothing was sent there before.
	isMarked  bool      // A change to cold was reported.
	owned     bool      // Result of the last choice of an owner.
	checkedAt time.Time
	tokens    float64
	filledAt  time.Time
}

// failure is the last failed connection to an upstream, and the first answer after it.
type failure struct {
	failedAt, reachedAt time.Time
}

// ColdCounts sums up the upstreams that this entry takes for cold.
type ColdCounts struct {
	Cold  int
	Owned int    // Those that this entry sends to.
	Sent  uint64 // Requests that it sent to cold upstreams.
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetColdBounds sets the bound on the requests that a cold upstream gets in a second, as
// a multiple of what it tolerates and a number of requests on top; zero for none.
func (t *Table) SetColdBounds(overshoot, slack float64) {
	t.cold.overshoot, t.cold.slack = overshoot, slack
}

// SetColdServices sets the services whose upstreams are ever cold.
func (t *Table) SetColdServices(m map[cleat.ServiceName]ColdService) {
	t.cold.services = m
	for id, r := range t.cold.rows {
		t.refresh(t.cold.seenAt, id, r, "started")
	}
}

// note records that time has passed, and whether this entry was stalled.
func (t *Table) note(now time.Time) {
	c := &t.cold
	if c.startedAt.IsZero() {
		c.startedAt, c.awakeSince, c.reportedAt = now, now, now
	}
	c.seenAt = latest(c.seenAt, now)
	if now.Sub(c.reportedAt) > maxStall {
		c.awakeSince = now
	}
}

// Announce applies an announcement. One that is older than what is known, or as old,
// changes nothing.
func (t *Table) Announce(now time.Time, u cleat.UpstreamRecord) {
	t.note(now)
	r, known := t.cold.rows[u.Upstream]
	switch {
	case !known:
		r = &coldRow{}
		t.cold.rows[u.Upstream] = r
	case r.born > u.StartedAtMillis || (r.born == u.StartedAtMillis && r.seq >= u.Sequence):
		return
	}
	why := "announced"
	isNew := !known || r.born < u.StartedAtMillis
	if isNew {
		*r = coldRow{until: r.until, since: r.since, isMarked: r.isMarked, owned: r.owned, checkedAt: r.checkedAt, tokens: r.tokens, filledAt: r.filledAt}
		// An entry that has just started hears of all upstreams for the first time.
		age := now.Sub(time.UnixMilli(u.StartedAtMillis))
		if known || now.Sub(t.cold.startedAt) >= startGrace || age < t.cold.services[u.Service].Start+maxStartSkew {
			r.startHeardAt, why = now, "started"
		}
	}
	r.service, r.domain, r.born, r.seq = u.Service, u.Domain, u.StartedAtMillis, u.Sequence
	if u.WarmUp > 0 {
		r.newsUntil = now.Add(u.WarmUp)
	} else {
		r.newsUntil = time.Time{}
		r.clearFailure(now)
	}
	wasCold := now.Before(r.until)
	t.refresh(now, u.Upstream, r, why)
	if !known && !wasCold {
		r.since = time.Time{} // Nobody has sent to it.
	}
	if isNew {
		t.applyIntroductions(now, u.Upstream)
	}
}

// RecordWarmUp applies an answer in which an upstream says how long it is still cold.
func (t *Table) RecordWarmUp(now time.Time, u cleat.UpstreamRecord, d time.Duration) {
	if r, ok := t.cold.rows[u.Upstream]; ok && r.born == u.StartedAtMillis && now.Add(d).After(r.newsUntil) {
		r.newsUntil = now.Add(d)
		t.refresh(now, u.Upstream, r, "answer")
	}
}

// MarkDomainCold takes all upstreams of a failure domain for cold, for the time that one
// is after its start. Nothing may have been sent there in the last second.
func (t *Table) MarkDomainCold(now time.Time, d cleat.DomainID) {
	t.note(now)
	for id, r := range t.cold.rows {
		if start := t.cold.services[r.service].Start; r.domain == d && start > 0 {
			wasCold := now.Before(r.until)
			r.domainUntil = now.Add(start)
			if t.refresh(now, id, r, "domain"); !wasCold {
				r.since = time.Time{}
			}
		}
	}
}

// refresh computes until when an upstream is cold, after something changed.
func (t *Table) refresh(now time.Time, id cleat.UpstreamID, r *coldRow, why string) {
	wasCold := now.Before(r.until)
	r.until = time.Time{}
	if s := t.cold.services[r.service]; s.PerSecond > 0 {
		r.until = latest(latest(r.newsUntil, r.heardUntil), latest(r.domainUntil, r.failureUntil(s.Start)))
		if !r.startHeardAt.IsZero() {
			r.until = latest(r.until, r.startHeardAt.Add(s.Start))
		}
	}
	t.cold.until = latest(t.cold.until, r.until)
	if wasCold || !now.Before(r.until) {
		return
	}
	r.since = now
	if !r.isMarked {
		r.isMarked = true
		t.cold.changes = append(t.cold.changes, ColdChange{Upstream: id, Cold: true, Why: why, For: r.until.Sub(now), Owner: t.ownerOf(now, id)})
	}
}

// IsCold reports whether an upstream is cold, or may be.
func (t *Table) IsCold(now time.Time, id cleat.UpstreamID) bool { return t.coldRow(now, id) != nil }

// ColdUntil returns the time from which on an upstream is warm, as far as known.
func (t *Table) ColdUntil(id cleat.UpstreamID) time.Time {
	if r, ok := t.cold.rows[id]; ok {
		return r.until
	}
	return time.Time{}
}

// coldRow returns the row of an upstream that is cold or may be, or nil.
func (t *Table) coldRow(now time.Time, id cleat.UpstreamID) *coldRow {
	if len(t.cold.services) == 0 || (t.cold.settled && !now.Before(t.cold.until)) {
		return nil // The usual case, for each upstream of each request.
	}
	r, ok := t.cold.rows[id]
	if !ok || t.cold.services[r.service].PerSecond == 0 {
		return nil
	}
	if !now.Before(r.until) && !t.isSettling(now) {
		return nil
	}
	return r
}

// hasColdNews reports whether an upstream is cold or has lately broken off a connection.
func (t *Table) hasColdNews(now time.Time) bool {
	return now.Before(t.cold.until) || now.Before(t.cold.brokenUntil)
}

// ownerOf returns the entry that sends to an upstream while it is cold: the first by
// rendezvous hashing of those in touch that don't shut down. It returns none if those in
// touch are too few.
func (t *Table) ownerOf(now time.Time, id cleat.UpstreamID) cleat.InstanceID {
	var best cleat.InstanceID
	if !t.hearsEnough(now) {
		return best
	}
	if !t.cold.isLeaving {
		best = t.self
	}
	for name, p := range t.peers {
		if p.isLive(now) && p.lostAt.IsZero() && (best == "" || precedes(id, name, best)) {
			best = name
		}
	}
	return best
}

// precedes reports whether an entry comes before another one by rendezvous hashing.
func precedes(id cleat.UpstreamID, a, b cleat.InstanceID) bool {
	rankA, rankB := rendezvousRank(id, a), rendezvousRank(id, b)
	return rankA > rankB || (rankA == rankB && a < b)
}

// SetLeaving sets whether this entry shuts down: it gets no requests that it could send.
func (t *Table) SetLeaving(isLeaving bool) { t.cold.isLeaving = isLeaving }

func (p *peer) setLeaving(now time.Time, isLeaving bool) {
	switch p.isLeaving = isLeaving; {
	case !isLeaving:
		p.lostAt = time.Time{}
	case p.lostAt.IsZero():
		p.lostAt = now
	}
}

// hearsEnough reports whether this entry is in touch with so many others that it may own
// upstreams: with this one, half of the fleet. The two halves of a divided fleet together
// keep to the bound.
func (t *Table) hearsEnough(now time.Time) bool {
	live := 0
	for _, p := range t.peers {
		if p.isLive(now) && (p.lostAt.IsZero() || p.isLeaving) {
			live++
		}
	}
	return t.cold.knowsMembers && 2*(1+live) >= 1+t.members
}

// Owns reports whether this entry may send to a cold upstream: it is the owner, and
// nobody else was one in the last second.
func (t *Table) Owns(now time.Time, id cleat.UpstreamID) bool {
	r := t.coldRow(now, id)
	return r != nil && t.owns(now, id, r)
}

func (t *Table) owns(now time.Time, id cleat.UpstreamID, r *coldRow) bool {
	if now.Sub(r.checkedAt) < ownerCheckInterval && !now.Before(r.checkedAt) {
		return r.owned
	}
	t.note(now)
	c := &t.cold
	r.checkedAt, r.owned = now, false
	if !t.hearsEnough(now) {
		c.aloneAt = now
		return false
	}
	if c.isLeaving || now.Sub(c.startedAt) < startGrace || now.Sub(c.awakeSince) < handoverTime || now.Sub(c.aloneAt) < handoverTime || now.Sub(r.since) < handoverTime {
		return false
	}
	r.owned = t.isFirst(now, id)
	return r.owned
}

// isFirst reports whether this entry is the first by rendezvous hashing of those that
// were in touch at any time in the last second.
func (t *Table) isFirst(now time.Time, id cleat.UpstreamID) bool {
	for name, p := range t.peers {
		if now.Sub(p.reportedAt) >= peerMaxAge+handoverTime || (!p.lostAt.IsZero() && now.Sub(p.lostAt) >= handoverTime) {
			continue
		}
		if precedes(id, name, t.self) {
			return false
		}
	}
	return true
}

// RecordLost records that the link to another entry was lost: it is out of touch until
// its next report.
func (t *Table) RecordLost(now time.Time, name cleat.InstanceID) {
	if p, ok := t.peers[name]; ok {
		if p.isLeaving = false; p.lostAt.IsZero() {
			p.lostAt = now
		}
	}
}
