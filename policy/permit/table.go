package permit

import (
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// Lifetime is how long a permit may be used once it arrived: some intervals
	// between reports.
	Lifetime = 1500 * time.Millisecond
	// minRate is the lowest rate that is kept to, in requests/s: without requests, the
	// end of a limit would not be noticed.
	minRate = 0.1
	// demandPeriod is how long a generation of the demand is counted.
	demandPeriod = time.Second
	// forgetEnded is how long the end of a limit is told to other entries.
	forgetEnded = 10 * time.Second
)

// limit is what an entry knows about the rate limit of one upstream.
type limit struct {
	born       int64     // Start of the upstream's incarnation, Unix milliseconds.
	rate       float64   // Requests/s; zero once the upstream no longer names a limit.
	observedAt time.Time // When the answer that named it arrived, here or at another entry.
	heard      bool      // Another entry received that answer.

	permits []time.Time // Expiry of each permit that may be used here, in order.
	expired uint32      // Permits that have expired since the last report.
	counts  Counts      // Of permits alone.
	demand  demand
	bucket  bucket // Used while this entry grants.
}

// demand counts the requests that could have been sent to an upstream with a permit.
type demand struct {
	current, last uint32
	turnedAt      time.Time
}

func (d *demand) turn(now time.Time) {
	switch age := now.Sub(d.turnedAt); {
	case age >= 2*demandPeriod:
		d.current, d.last, d.turnedAt = 0, 0, now
	case age >= demandPeriod:
		d.current, d.last, d.turnedAt = 0, d.current, d.turnedAt.Add(demandPeriod)
	}
}

// recent returns the larger of the two generations.
func (d *demand) recent(now time.Time) uint32 {
	d.turn(now)
	return max(d.current, d.last)
}

// Table holds the rate limits of upstreams, as one entry knows them.
type Table struct {
	self    cleat.InstanceID
	members int // Other entries of the fleet, in touch or not.
	limits  map[cleat.UpstreamID]*limit
	peers   map[cleat.InstanceID]*peer
	changes []Change
	cold    coldTable
}

// Change is a change of what an entry knows about an upstream's rate limit.
type Change struct {
	Upstream  cleat.UpstreamID
	Rate, Was float64          // Requests/s; zero for no limit.
	From      cleat.InstanceID // The entry that reported it; empty when this entry received the answer.
}

// New returns the table of an entry that knows no limit.
func New(self cleat.InstanceID) *Table {
	return &Table{self: self, limits: make(map[cleat.UpstreamID]*limit), peers: make(map[cleat.InstanceID]*peer), cold: coldTable{rows: make(map[cleat.UpstreamID]*coldRow)}}
}

// Counts sums up what became of an entry's permits for the upstreams with a limit.
type Counts struct {
	Limited  int     // Upstreams.
	Rate     float64 // Sum of their limits, in requests/s.
	Wanted   uint64  // Requests of the last second beyond the permits at hand.
	Received uint64  // Permits, of which Used and Expired are a part.
	Used     uint64
	Expired  uint64
}

// Counts returns what became of this entry's permits.
func (t *Table) Counts(now time.Time) Counts {
	var c Counts
	for _, l := range t.limits {
		if l.rate == 0 {
			continue
		}
		c.Limited++
		c.Rate += l.rate
		c.Wanted += uint64(l.wanted(now))
		c.Received += l.counts.Received
		c.Used += l.counts.Used
		c.Expired += l.counts.Expired
	}
	return c
}

// SetMembers sets how many other entries the fleet has.
func (t *Table) SetMembers(n int) { t.members, t.cold.knowsMembers = n, true }

// Observe applies an answer, which arrived now, to a request that was sent at a time;
// the rate is zero when it names no limit. An answer without a limit counts only if
// its request was sent after the last answer with one: answers overtake each other.
func (t *Table) Observe(now, sentAt time.Time, u cleat.UpstreamRecord, rate float64) {
	l, ok := t.limits[u.Upstream]
	if rate == 0 && (!ok || l.rate == 0 || !sentAt.After(l.observedAt)) {
		return
	}
	t.set(now, u.Upstream, u.StartedAtMillis, rate, "")
}

// set sets the limit of an upstream's incarnation, as named at a time.
func (t *Table) set(at time.Time, id cleat.UpstreamID, born int64, rate float64, from cleat.InstanceID) {
	if rate > 0 {
		rate = max(rate, minRate)
	}
	l, ok := t.limits[id]
	if !ok || l.born < born {
		l = &limit{born: born}
		t.limits[id] = l
	}
	if l.rate != rate {
		t.changes = append(t.changes, Change{Upstream: id, Rate: rate, Was: l.rate, From: from})
		if rate == 0 {
			l.permits, l.expired, l.bucket = nil, 0, bucket{}
		}
	}
	l.rate, l.observedAt, l.heard = rate, at, from != ""
}

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// SetUpstreams forgets the limits of upstreams that are gone or have restarted; list
// holds those that may be used.
func (t *Table) SetUpstreams(list []cleat.UpstreamRecord) {
	t.setColdUpstreams(list)
	if len(t.limits) == 0 {
		return
	}
	born := make(map[cleat.UpstreamID]int64, len(list))
	for _, u := range list {
		born[u.Upstream] = u.StartedAtMillis
	}
	for id, l := range t.limits {
		if at, ok := born[id]; !ok || at > l.born {
			delete(t.limits, id)
		}
	}
}

// Limited returns how many upstreams have a rate limit.
func (t *Table) Limited() int {
	n := 0
	for _, l := range t.limits {
		if l.rate > 0 {
			n++
		}
	}
	return n
}

// Rate returns the rate limit of an upstream in requests/s, or zero.
func (t *Table) Rate(id cleat.UpstreamID) float64 {
	if len(t.limits) == 0 {
		return 0 // The usual case, for each upstream of each request.
	}
	if l, ok := t.limits[id]; ok {
		return l.rate
	}
	return 0
}

// Bounds of the time without an answer after which a limit may have ended.
const (
	minFreshness, maxFreshness = time.Second, 4 * time.Second
	freshRequests              = 3 // Requests of a limited upstream, at its rate, in that time.
)

// IsStale reports whether no answer has confirmed an upstream's limit for so long that it
// may have ended: only a further request can tell.
func (t *Table) IsStale(now time.Time, id cleat.UpstreamID) bool {
	rate := t.Rate(id)
	if rate == 0 {
		return false
	}
	fresh := time.Duration(freshRequests / rate * float64(time.Second))
	return now.Sub(t.limits[id].observedAt) > min(max(fresh, minFreshness), maxFreshness)
}

// Allows reports whether a request may be sent to an upstream: it has no rate limit,
// or there is a permit.
func (t *Table) Allows(now time.Time, id cleat.UpstreamID) bool {
	if t.Rate(id) == 0 {
		return true
	}
	l := t.limits[id]
	l.expire(now)
	return len(l.permits) > 0
}

// expire drops the permits that are too old.
func (l *limit) expire(now time.Time) {
	for len(l.permits) > 0 && !now.Before(l.permits[0]) {
		l.permits = l.permits[1:]
		l.expired++
		l.counts.Expired++
	}
}

// Use takes a permit for a request that is to be sent, and reports whether its upstream
// is limited and there was one.
func (t *Table) Use(now time.Time, id cleat.UpstreamID) bool {
	if t.Rate(id) == 0 {
		return false
	}
	l := t.limits[id]
	if l.expire(now); len(l.permits) == 0 {
		return false
	}
	l.permits = l.permits[1:]
	l.counts.Used++
	return true
}

// Return gives back the permit of a request that was not sent.
func (t *Table) Return(id cleat.UpstreamID) {
	if t.Rate(id) > 0 {
		t.limits[id].expired++
	}
}

// Want counts a request that could have been sent to a limited upstream with a permit.
func (t *Table) Want(now time.Time, id cleat.UpstreamID) {
	if l, ok := t.limits[id]; ok && l.rate > 0 {
		l.demand.turn(now)
		l.demand.current++
	}
}

// OwnRate returns the part of a limited upstream's rate that this entry gets, by the
// demand here and that reported by others, in requests/s.
func (t *Table) OwnRate(now time.Time, id cleat.UpstreamID) float64 {
	rate := t.Rate(id)
	if rate == 0 {
		return 0
	}
	own := float64(max(1, t.limits[id].demand.recent(now)))
	all := own
	for _, p := range t.peers {
		if p.isLive(now) {
			all += float64(p.limits[id].wanted)
		}
	}
	return rate * own / all
}
