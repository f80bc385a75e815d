package poison

import (
	"hash/fnv"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// blockKey identifies a block of a service's prompts.
type blockKey struct {
	service cleat.ServiceName
	id      uint64
}

// failure is a request that an upstream had not begun to answer when it ended.
type failure struct {
	service  cleat.ServiceName
	upstream cleat.UpstreamID
	born     int64    // Start of the upstream's incarnation, in Unix milliseconds.
	request  uint64   // Hash of the request's id.
	blocks   []uint64 // Without those that were served since.
	at       time.Time
	isLocal  bool // Of this entry's request.
}

// suspect is a block of failed requests.
type suspect struct {
	failures []*failure
	since    time.Time // When the evidence sufficed; zero while it doesn't.
}

// isSame reports whether two entries' reports are about the same failure.
func (f *failure) isSame(g *failure) bool {
	return f.request == g.request && f.upstream == g.upstream && f.born == g.born
}

// Quarantine describes a block whose requests are refused.
type Quarantine struct {
	Service   cleat.ServiceName
	Block     uint64
	With      []uint64 // Blocks that all requests had that failed with it; a request without one of them is not refused.
	Crashes   int      // Upstreams that ended.
	Requests  int      // Requests that failed when they did.
	Upstreams []cleat.UpstreamID
	FirstAt   time.Time // Of the first and the last of these crashes.
	LastAt    time.Time

	seenAt      time.Time // When a request with the block last came, here or elsewhere.
	announcedAt time.Time
}

// Table holds an entry's evidence on prompt blocks.
type Table struct {
	cfg         Config
	breaks      []*failure // Of upstreams that are not known to have ended.
	failures    []*failure // In order of arrival.
	evidence    int        // Blocks in all failures together.
	suspects    map[blockKey]*suspect
	quarantined map[blockKey]*Quarantine
	served      servedBlocks
	outcomes    outcomes
	changed     []*Quarantine // Quarantined since Tick last returned them.

	newFailures []*failure // To be reported to other entries, like the next two.
	newServed   map[blockKey]bool
	newBlocks   map[blockKey]bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.Defaults()
	return &Table{
		cfg: cfg, suspects: make(map[blockKey]*suspect), quarantined: make(map[blockKey]*Quarantine),
		served: newServedBlocks(cfg.MaxServed), newServed: make(map[blockKey]bool), newBlocks: make(map[blockKey]bool),
	}
}

func hashID(id cleat.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash's Write never returns an error.
	return h.Sum64()
}

// RecordBreak records that an upstream broke off before it had begun to answer a
// request; blocks are those that other requests may share. That counts as a failure
// once the upstream has ended, which may be known already.
func (t *Table) RecordBreak(now time.Time, u cleat.UpstreamRecord, id cleat.RequestID, blocks []cleat.PrefixBlock, ended bool) {
	f := &failure{service: u.Service, upstream: u.Upstream, born: u.StartedAtMillis, request: hashID(id), at: now, isLocal: true}
	for _, b := range blocks {
		f.blocks = append(f.blocks, b.ID)
	}
	if ended {
		t.recordFailure(now, f)
		return
	}
	if len(t.breaks) >= maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, 1)
	}
	t.breaks = append(t.breaks, f)
}

const (
	maxBreaks      = 256              // Of upstreams that are not known to have ended.
	breakRetention = 10 * time.Second // Within which an upstream that ended is replaced.
)

// RecordEnd records that an incarnation of an upstream has ended.
func (t *Table) RecordEnd(now time.Time, u cleat.UpstreamRecord) {
	t.breaks = slices.DeleteFunc(t.breaks, func(f *failure) bool {
		if f.upstream != u.Upstream || f.born != u.StartedAtMillis {
			return now.Sub(f.at) > breakRetention
		}
		if now.Sub(f.at) <= breakRetention {
			t.recordFailure(now, f)
		}
		return true
	})
}

func (t *Table) recordFailure(now time.Time, f *failure) {
	t.outcomes.turn(now)
	t.outcomes.current.broken++
	if t.addFailure(f) {
		t.newFailures = append(t.newFailures, f)
	}
}

// maxFailureBlocks bounds the blocks kept of one failed request.
const maxFailureBlocks = 256

func (t *Table) addFailure(f *failure) bool {
	if len(f.blocks) == 0 || slices.ContainsFunc(t.failures, f.isSame) {
		return false
	}
	slices.Sort(f.blocks)
	f.blocks = slices.Compact(f.blocks)
	f.blocks = f.blocks[:min(len(f.blocks), maxFailureBlocks)]
	t.failures = append(t.failures, f)
	t.evidence += len(f.blocks)
	for t.evidence > t.cfg.MaxEvidence {
		t.dropOldest()
	}
	for _, id := range f.blocks {
		k := blockKey{f.service, id}
		s, ok := t.suspects[k]
		if !ok {
			s = &suspect{}
			t.suspects[k] = s
		}
		s.failures = append(s.failures, f)
		if q, ok := t.quarantined[k]; ok {
			q.With = intersect(q.With, f.blocks)
		}
	}
	return true
}

// dropOldest removes the oldest failure.
func (t *Table) dropOldest() {
	f := t.failures[0]
	t.failures = t.failures[1:]
	t.evidence -= len(f.blocks)
	for _, id := range f.blocks {
		k := blockKey{f.service, id}
		if s, ok := t.suspects[k]; ok {
			if s.failures = slices.DeleteFunc(s.failures, func(g *failure) bool { return g == f }); len(s.failures) == 0 {
				delete(t.suspects, k)
			}
		}
	}
}

// RecordServed records that an answer to a request began.
func (t *Table) RecordServed(now time.Time, s cleat.ServiceName, blocks []cleat.PrefixBlock) {
	t.outcomes.turn(now)
	t.outcomes.current.begun++
	for _, b := range blocks {
		k := blockKey{s, b.ID}
		t.served.add(now, k)
		if t.isSuspect(k) {
			t.clear(k)
			t.newServed[k] = true
		}
	}
}

func (t *Table) isSuspect(k blockKey) bool {
	_, suspect := t.suspects[k]
	_, quarantined := t.quarantined[k]
	return suspect || quarantined
}

// clear removes a block from all evidence.
func (t *Table) clear(k blockKey) {
	if s, ok := t.suspects[k]; ok {
		for _, f := range s.failures {
			f.blocks = slices.DeleteFunc(f.blocks, func(id uint64) bool { return id == k.id })
			t.evidence--
		}
	}
	delete(t.suspects, k)
	delete(t.quarantined, k)
	delete(t.newBlocks, k)
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool { return len(f.blocks) == 0 })
	for _, q := range t.quarantined {
		if q.Service == k.service {
			q.With = slices.DeleteFunc(q.With, func(id uint64) bool { return id == k.id })
		}
	}
}

// Check returns the quarantine because of which a request is to be refused, or nil.
func (t *Table) Check(now time.Time, s cleat.ServiceName, blocks []cleat.PrefixBlock) *Quarantine {
	if len(t.quarantined) == 0 {
		return nil
	}
	for _, b := range blocks {
		q, ok := t.quarantined[blockKey{s, b.ID}]
		if ok && containsAll(blocks, q.With) {
			q.seenAt = now
			return q
		}
	}
	return nil
}

// repeatMemory is how recently a block must have been served for a failure not to
// count against a repeat.
const repeatMemory = 2 * servedPeriod

// IsProven reports whether all blocks were recently part of answers that began, so that
// a failure needs no explanation by them.
func (t *Table) IsProven(now time.Time, s cleat.ServiceName, blocks []cleat.PrefixBlock) bool {
	return !slices.ContainsFunc(blocks, func(b cleat.PrefixBlock) bool {
		return !t.served.within(now, blockKey{s, b.ID}, repeatMemory)
	})
}

// AllowRepeat reports whether a request that has failed may be sent to another
// upstream: not if a block of it, of which nothing good is known, was there when two
// upstreams ended.
func (t *Table) AllowRepeat(now time.Time, s cleat.ServiceName, blocks []cleat.PrefixBlock) bool {
	const maxCrashes = 1
	return !slices.ContainsFunc(blocks, func(b cleat.PrefixBlock) bool {
		k := blockKey{s, b.ID}
		s, ok := t.suspects[k]
		return ok && !t.served.within(now, k, repeatMemory) && len(s.crashes()) > maxCrashes
	})
}

// Suspects returns how many blocks are suspected, and Quarantined how many are refused.
func (t *Table) Suspects() int { return len(t.suspects) }

// Quarantined returns how many blocks are refused.
func (t *Table) Quarantined() int { return len(t.quarantined) }

func containsAll(blocks []cleat.PrefixBlock, ids []uint64) bool {
	for _, id := range ids {
		if !slices.ContainsFunc(blocks, func(b cleat.PrefixBlock) bool { return b.ID == id }) {
			return false
		}
	}
	return true
}

func intersect(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(id uint64) bool { return !slices.Contains(b, id) })
}
