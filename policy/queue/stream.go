package queue

import (
	"slices"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// poolKey matches requests to upstreams.
type poolKey struct {
	kind  cleat.UpstreamKind
	model cleat.ModelID
}

// pool is the set of upstreams that serve one model or plain service.
type pool struct {
	key      poolKey
	servedAt time.Time // When an agent that serves it was last seen up.
	rates    map[cleat.WorkspaceID]*dispatchRate
}

// stream holds the waiting requests of one workspace, class and model.
type stream struct {
	key            cleat.Stream
	workspace      *workspace
	pool           *pool
	rate           *dispatchRate
	rank           int        // Of the class; the lowest is served first.
	requests       []*request // In order of receipt; may hold requests that no longer wait.
	waiting        int
	spread         int    // Number of agents to offer it to.
	exhaustedEpoch uint64 // The table's epoch when no further agent was found; 0 to search again.
	widenAt        time.Time
	adverts        []*advert // Sorted by agent id.
}

func (t *Table) stream(now time.Time, w *cleat.Work) *stream {
	key := cleat.Stream{Workspace: w.Workspace, Class: w.Class, Kind: w.Kind, Model: w.Model}
	s, ok := t.streams[key]
	if !ok {
		s = &stream{key: key, workspace: t.workspace(w.Workspace), pool: t.pool(now, poolKey{w.Kind, w.Model})}
		s.rate = s.pool.rateFor(w.Workspace)
		t.streams[key] = s
	}
	s.rank = w.Rank
	return s
}

func (t *Table) pool(now time.Time, k poolKey) *pool {
	p, ok := t.pools[k]
	if !ok {
		p = &pool{key: k, servedAt: now, rates: map[cleat.WorkspaceID]*dispatchRate{}}
		t.pools[k] = p
	}
	return p
}

func (p *pool) rateFor(w cleat.WorkspaceID) *dispatchRate {
	r, ok := p.rates[w]
	if !ok {
		r = &dispatchRate{}
		p.rates[w] = r
	}
	return r
}

// isUnserved reports whether no agent has served the pool for longer than UpstreamGrace.
func (p *pool) isUnserved(now time.Time, cfg Config) bool {
	return now.Sub(p.servedAt) > cfg.UpstreamGrace
}

// estimateWait returns the estimated wait of a request that joins the stream now.
func (s *stream) estimateWait(now time.Time, cfg Config) time.Duration {
	return s.rate.estimateWait(now, s.rate.waitingAhead(s)+s.waiting+1, cfg)
}

// refuseLate refuses the waiting requests that can't meet their deadlines at the current
// dispatch rate. Requests further back in a stream have longer estimated waits.
func (t *Table) refuseLate(now time.Time, e *cleat.Effects) {
	for i := 0; i < len(t.active); i++ {
		s := t.active[i]
		if s.rate.estimateWait(now, 1, t.cfg) == 0 {
			continue
		}
		for _, r := range s.lateRequests(now, t.cfg) {
			t.endWithRefusal(now, r, cleat.ReasonUnattainableDeadline, r.ranStatus(), e)
		}
		if i < len(t.active) && t.active[i] != s { // All were refused, which removed s from active.
			i--
		}
	}
}

// lateRequests returns the requests whose estimated wait exceeds LateFactor times their
// remaining time. Those refused do not count towards the wait of the requests behind them.
func (s *stream) lateRequests(now time.Time, cfg Config) []*request {
	var late []*request
	position := s.rate.waitingAhead(s)
	for _, r := range s.requests {
		if r == nil || r.phase != phaseWaiting {
			continue
		}
		wait := s.rate.estimateWait(now, position+1, cfg)
		if wait.Seconds() > cfg.LateFactor*r.work.Deadline.Sub(now).Seconds() {
			late = append(late, r)
			continue
		}
		position++
	}
	return late
}

func (s *stream) activate(now time.Time, t *Table) {
	s.spread, s.exhaustedEpoch = 1, 0
	s.rate.streams = append(s.rate.streams, s)
	s.widenAt = now.Add(t.cfg.SpreadAfter)
	if s.rate.busySince.IsZero() {
		s.rate.busySince = now
	}
	t.active = append(t.active, s)
}

func (s *stream) deactivate(_ time.Time, t *Table) {
	s.requests = s.requests[:0]
	for i, other := range t.active {
		if other == s {
			t.active = append(t.active[:i], t.active[i+1:]...)
			break
		}
	}
	r := s.rate
	for i, other := range r.streams {
		if other == s {
			r.streams = append(r.streams[:i], r.streams[i+1:]...)
			break
		}
	}
	if len(r.streams) == 0 {
		r.busySince = time.Time{}
	}
}

// insert adds a request in order of receipt. One that was granted from behind the first
// is still listed, at the same place.
func (s *stream) insert(r *request) {
	s.waiting++
	s.compact()
	if r.attempt > 0 && slices.Contains(s.requests, r) {
		return
	}
	at := sort.Search(len(s.requests), func(i int) bool {
		return s.requests[i].work.Received.After(r.work.Received)
	})
	s.requests = append(s.requests, nil)
	copy(s.requests[at+1:], s.requests[at:])
	s.requests[at] = r
}

// compact removes requests that no longer wait, once they outnumber the waiting ones by more than 16.
func (s *stream) compact() {
	if len(s.requests) < 2*s.waiting+16 {
		return
	}
	kept := s.requests[:0]
	for _, r := range s.requests {
		if r.phase == phaseWaiting {
			kept = append(kept, r)
		}
	}
	clear(s.requests[len(kept):])
	s.requests = kept
}

// head returns the first waiting request, or nil, and removes those before it that no
// longer wait.
func (s *stream) head() *request {
	for len(s.requests) > 0 {
		if s.requests[0].phase == phaseWaiting {
			return s.requests[0]
		}
		s.requests[0] = nil
		s.requests = s.requests[1:]
	}
	return nil
}

// refuseUnserved refuses the waiting requests of pools that no agent has served for
// UpstreamGrace.
func (t *Table) refuseUnserved(now time.Time, e *cleat.Effects) {
	for _, a := range t.agentOrder {
		if a.up {
			a.markPoolsServed(now, t)
		}
	}
	for i := 0; i < len(t.active); i++ {
		s := t.active[i]
		if !s.pool.isUnserved(now, t.cfg) {
			continue
		}
		for s.waiting > 0 {
			r := s.head()
			t.endWithRefusal(now, r, cleat.ReasonNoUpstream, r.ranStatus(), e)
		}
		i-- // The last refusal removed s from active.
	}
}
