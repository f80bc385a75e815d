package queue

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// poolKey names what requests and upstreams are matched by.
type poolKey struct {
	kind  cleat.UpstreamKind
	model cleat.ModelID
}

// pool is all that serves one model or plain service.
type pool struct {
	key    poolKey
	served time.Time // When an agent that serves it was last up.
	paces  map[cleat.WorkspaceID]*pace
}

// stream holds the waiting requests of one workspace, class and model.
type stream struct {
	key       cleat.Stream
	workspace *workspace
	pool      *pool
	pace      *pace
	rank      int
	list      []*request // By time received; those in other phases are skipped.
	waiting   int
	spread    int
	lacking   uint64 // The table's epoch when no more agents were found.
	widenAt   time.Time
	adverts   []*advert // By agent id.
}

func (t *Table) stream(now time.Time, w *cleat.Work) *stream {
	key := cleat.Stream{Workspace: w.Workspace, Class: w.Class, Kind: w.Kind, Model: w.Model}
	s, ok := t.streams[key]
	if !ok {
		s = &stream{key: key, workspace: t.workspace(w.Workspace), pool: t.pool(now, poolKey{w.Kind, w.Model})}
		s.pace = s.pool.pace(w.Workspace)
		t.streams[key] = s
	}
	s.rank = w.Rank
	return s
}

func (t *Table) pool(now time.Time, k poolKey) *pool {
	p, ok := t.pools[k]
	if !ok {
		p = &pool{key: k, served: now, paces: map[cleat.WorkspaceID]*pace{}}
		t.pools[k] = p
	}
	return p
}

func (p *pool) pace(w cleat.WorkspaceID) *pace {
	c, ok := p.paces[w]
	if !ok {
		c = &pace{}
		p.paces[w] = c
	}
	return c
}

// missing reports whether nothing has served the pool for longer than the grace.
func (p *pool) missing(now time.Time, cfg Config) bool {
	return now.Sub(p.served) > cfg.UpstreamGrace
}

// foretell returns how long a request that joins the stream now would wait.
func (s *stream) foretell(now time.Time, cfg Config) time.Duration {
	return s.pace.wait(now, s.pace.ahead(s)+s.waiting+1, cfg)
}

// refuseLate refuses waiting requests that can't meet their deadlines at the
// present pace, the last of each stream first to be seen late.
func (t *Table) refuseLate(now time.Time, e *cleat.Effects) {
	for i := 0; i < len(t.active); i++ {
		s := t.active[i]
		if s.pace.wait(now, 1, t.cfg) == 0 {
			continue
		}
		for _, r := range s.late(now, t.cfg) {
			t.end(now, r, cleat.ReasonUnattainableDeadline, r.ran(), e)
		}
		if i < len(t.active) && t.active[i] != s {
			i--
		}
	}
}

// late lists the requests whose foretold wait is far over their time left.
func (s *stream) late(now time.Time, cfg Config) []*request {
	var late []*request
	place := s.pace.ahead(s)
	for _, r := range s.list {
		if r == nil || r.phase != phaseWaiting {
			continue
		}
		wait := s.pace.wait(now, place+1, cfg)
		if wait.Seconds() > cfg.LateFactor*r.work.Deadline.Sub(now).Seconds() {
			late = append(late, r)
			continue
		}
		place++
	}
	return late
}

func (s *stream) activate(now time.Time, t *Table) {
	s.spread, s.lacking = 1, 0
	s.pace.streams = append(s.pace.streams, s)
	s.widenAt = now.Add(t.cfg.SecondAfter)
	if s.pace.since.IsZero() {
		s.pace.since = now
	}
	t.active = append(t.active, s)
}

func (s *stream) deactivate(_ time.Time, t *Table) {
	s.list = s.list[:0]
	for i, other := range t.active {
		if other == s {
			t.active = append(t.active[:i], t.active[i+1:]...)
			break
		}
	}
	p := s.pace
	for i, other := range p.streams {
		if other == s {
			p.streams = append(p.streams[:i], p.streams[i+1:]...)
			break
		}
	}
	if len(p.streams) == 0 {
		p.since = time.Time{}
	}
}

// insert keeps the list ordered by the time received.
func (s *stream) insert(r *request) {
	s.waiting++
	s.compact()
	at := sort.Search(len(s.list), func(i int) bool {
		return s.list[i].work.Received.After(r.work.Received)
	})
	s.list = append(s.list, nil)
	copy(s.list[at+1:], s.list[at:])
	s.list[at] = r
}

// compact drops requests that wait no more, once they are the larger part.
func (s *stream) compact() {
	if len(s.list) < 2*s.waiting+16 {
		return
	}
	kept := s.list[:0]
	for _, r := range s.list {
		if r.phase == phaseWaiting {
			kept = append(kept, r)
		}
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// head returns the first waiting request.
func (s *stream) head() *request {
	for len(s.list) > 0 {
		if s.list[0].phase == phaseWaiting {
			return s.list[0]
		}
		s.list[0] = nil
		s.list = s.list[1:]
	}
	return nil
}

func (t *Table) expirePools(now time.Time, e *cleat.Effects) {
	for _, a := range t.order {
		if a.up {
			a.refresh(now, t)
		}
	}
	for i := 0; i < len(t.active); i++ {
		s := t.active[i]
		if !s.pool.missing(now, t.cfg) {
			continue
		}
		for s.waiting > 0 {
			r := s.head()
			t.end(now, r, cleat.ReasonNoUpstream, r.ran(), e)
		}
		i--
	}
}
