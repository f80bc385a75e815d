package poison

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Defaults of RequestConfig.
const (
	DefaultRequestCrashes        = 3
	DefaultSharedRequestCrashes  = 4
	DefaultRequestSettleTime     = time.Second
	DefaultRequestRetention      = 30 * time.Minute
	DefaultRequestQuarantineTime = 10 * time.Minute
	DefaultMaxRequests           = 4096
)

// RequestConfig holds the settings of a table of requests.
type RequestConfig struct {
	MinCrashes       int           // Upstreams that ended one after the other before a request is quarantined.
	MaxSharedCrashes int           // As MinCrashes, while another request was there each time.
	SettleTime       time.Duration // From the last crash that is needed to the quarantine; answers to equal requests may clear it meanwhile.
	Retention        time.Duration // Of crashes and answers.
	QuarantineTime   time.Duration // Since the last crash.
	MaxRequests      int           // That are suspected or were; those with the least evidence make room.
}

// Defaults sets the fields that are zero.
func (c *RequestConfig) Defaults() {
	cleat.SetDefault(&c.MinCrashes, DefaultRequestCrashes)
	cleat.SetDefault(&c.MaxSharedCrashes, DefaultSharedRequestCrashes)
	cleat.SetDefault(&c.SettleTime, DefaultRequestSettleTime)
	cleat.SetDefault(&c.Retention, DefaultRequestRetention)
	cleat.SetDefault(&c.QuarantineTime, DefaultRequestQuarantineTime)
	cleat.SetDefault(&c.MaxRequests, DefaultMaxRequests)
}

// Break is the end of a connection to an upstream that had not answered a request.
type Break struct {
	Digest   uint64 // Of the request; equal requests have the same one.
	Upstream cleat.UpstreamRecord
	SentAt   time.Time
	At       time.Time
}

// requestCrash is a request that an upstream had not answered when it ended.
type requestCrash struct {
	incarnation
	sentAt, at time.Time
}

// request is what is known about equal requests.
type request struct {
	crashes     []requestCrash // Since the last answer, of different upstreams, in order of time.
	servedAt    time.Time      // Of the last answer since the first crash.
	quarantined bool
	pardonedAt  time.Time // When the last quarantine ended; a later crash renews it.
}

// RequestTable holds an entry's evidence on requests that crash each upstream that runs
// them, and come again.
type RequestTable struct {
	cfg      RequestConfig
	breaks   []Break // Of upstreams that are not known to have ended.
	requests map[uint64]*request

	changed    []RequestQuarantine // Since Tick last returned them.
	newCrashes []reportedCrash
	newServed  map[uint64]bool
}

type reportedCrash struct {
	digest uint64
	requestCrash
}

// RequestQuarantine describes equal requests that are refused, or no longer.
type RequestQuarantine struct {
	Digest    uint64
	Active    bool
	Upstreams []cleat.UpstreamID // That ended under them.
	FirstAt   time.Time          // Of the first and the last crash.
	LastAt    time.Time
}

// NewRequests returns an empty table.
func NewRequests(cfg RequestConfig) *RequestTable {
	cfg.Defaults()
	return &RequestTable{cfg: cfg, requests: make(map[uint64]*request), newServed: make(map[uint64]bool)}
}

// RecordBreak records that an upstream broke off before it had answered a request. That
// counts as a crash once the upstream has ended, which may be known already.
func (t *RequestTable) RecordBreak(b Break, ended bool) {
	if ended {
		t.recordCrash(b)
		return
	}
	if len(t.breaks) >= maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, 1)
	}
	t.breaks = append(t.breaks, b)
}

// RecordEnd records that an incarnation of an upstream has ended.
func (t *RequestTable) RecordEnd(now time.Time, u cleat.UpstreamRecord) {
	t.breaks = slices.DeleteFunc(t.breaks, func(b Break) bool {
		if b.Upstream.Upstream != u.Upstream || b.Upstream.StartedAtMillis != u.StartedAtMillis {
			return now.Sub(b.At) > breakRetention
		}
		if now.Sub(b.At) <= breakRetention {
			t.recordCrash(b)
		}
		return true
	})
}

func (t *RequestTable) recordCrash(b Break) {
	c := requestCrash{incarnation{b.Upstream.Upstream, b.Upstream.StartedAtMillis}, b.SentAt, b.At}
	if t.addCrash(b.Digest, c) {
		t.newCrashes = append(t.newCrashes, reportedCrash{b.Digest, c})
	}
}

// maxCrashesKept bounds the crashes kept of one request.
const maxCrashesKept = 16

// addCrash adds a crash unless it is known or an answer came later.
func (t *RequestTable) addCrash(digest uint64, c requestCrash) bool {
	r, ok := t.requests[digest]
	if !ok {
		t.makeRoom()
		r = &request{}
		t.requests[digest] = r
	}
	if !c.at.After(r.servedAt) || slices.ContainsFunc(r.crashes, func(k requestCrash) bool { return k.incarnation == c.incarnation }) {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b requestCrash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxCrashesKept {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true
}

// evictionSample is how many requests are compared to make room: many crash at once
// when upstreams with long queues end, each of which would otherwise visit all.
const evictionSample = 16

// makeRoom removes a request when there are too many: of some, the one with the least
// evidence, and of these the one with the oldest.
func (t *RequestTable) makeRoom() {
	if len(t.requests) < t.cfg.MaxRequests {
		return
	}
	var victim uint64
	var least *request
	n := 0
	for digest, r := range t.requests { // In random order.
		if least == nil || r.isWeaker(least) {
			victim, least = digest, r
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(t.requests, victim)
}

// isWeaker orders requests for eviction.
func (r *request) isWeaker(other *request) bool {
	switch {
	case r.quarantined != other.quarantined:
		return other.quarantined
	case len(r.crashes) != len(other.crashes):
		return len(r.crashes) < len(other.crashes)
	}
	return r.lastAt().Before(other.lastAt())
}

// lastAt returns the time of the last crash or answer.
func (r *request) lastAt() time.Time {
	if len(r.crashes) > 0 {
		return r.crashes[len(r.crashes)-1].at
	}
	return r.servedAt
}

// RecordServed records an answer to a request.
func (t *RequestTable) RecordServed(now time.Time, digest uint64) {
	if r, ok := t.requests[digest]; ok && len(r.crashes) > 0 {
		t.serve(now, digest, r)
		t.newServed[digest] = true
	}
}

// serve drops the crashes up to the time of an answer.
func (t *RequestTable) serve(at time.Time, digest uint64, r *request) {
	if !at.After(r.servedAt) {
		return
	}
	r.servedAt = at
	crashes := r.crashes
	r.crashes = slices.DeleteFunc(slices.Clone(crashes), func(c requestCrash) bool { return !c.at.After(at) })
	if r.quarantined && len(r.crashes) < t.cfg.MinCrashes {
		r.quarantined = false
		t.changed = append(t.changed, quarantineOf(digest, crashes, false))
	}
}

func quarantineOf(digest uint64, crashes []requestCrash, active bool) RequestQuarantine {
	q := RequestQuarantine{Digest: digest, Active: active, FirstAt: crashes[0].at, LastAt: crashes[len(crashes)-1].at}
	for _, c := range crashes {
		q.Upstreams = append(q.Upstreams, c.upstream)
	}
	return q
}

// IsSuspect reports whether upstreams ended under equal requests, and none answered
// since.
func (t *RequestTable) IsSuspect(digest uint64) bool {
	r, ok := t.requests[digest]
	return ok && len(r.crashes) > 0
}

// Check reports whether a request is to be refused.
func (t *RequestTable) Check(digest uint64) bool {
	r, ok := t.requests[digest]
	return ok && r.quarantined
}

// AllowRepeat reports whether a request that has failed may be sent to another
// upstream: not if two upstreams ended under it one after the other.
func (t *RequestTable) AllowRepeat(digest uint64) bool {
	r, ok := t.requests[digest]
	return !ok || r.rounds() < 2
}

// Suspects returns how many requests are suspected, and Quarantined how many are refused.
func (t *RequestTable) Suspects() int {
	return t.count(func(r *request) bool { return len(r.crashes) > 0 })
}

// Quarantined returns how many requests are refused.
func (t *RequestTable) Quarantined() int {
	return t.count(func(r *request) bool { return r.quarantined })
}

func (t *RequestTable) count(matches func(*request) bool) int {
	n := 0
	for _, r := range t.requests {
		if matches(r) {
			n++
		}
	}
	return n
}
