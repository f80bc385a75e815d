package budget

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Config bounds the retries of the whole fleet in any window.
type Config struct {
	Ratio  float64 // Retries allowed per request.
	Slack  float64 // Additional retries of the whole fleet in a window.
	Window time.Duration

	Restarted bool // This entry may have used slack in another process.
}

// accrualWindows is the time, in windows, in which the slack of an entry that has
// restarted becomes whole. What it used before and what it gets anew stay within the
// slack together, however often it restarts.
const accrualWindows = 1.5

// Fractions of the bound that one entry uses. The windows of entries begin at
// different moments, so the rest is a margin that keeps the sum over all entries
// within the bound.
const (
	ratioFraction = 0.8
	slackFraction = 0.6
)

// buckets is the number of buckets in a window. One more is kept, since a window
// may begin anywhere in a bucket.
const buckets = 10

// counts is a ring of the requests and retries in each bucket.
type counts struct {
	requests, retries [buckets + 1]int
	newestBucket      int64
}

// Budget holds the retry budget of one entry for each service.
type Budget struct {
	cfg      Config
	entries  int       // Number of entries that share the slack.
	epoch    time.Time // When the first bucket began.
	services map[cleat.ServiceName]*counts
}

// New returns the budget of an entry that has the whole slack to itself.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, entries: 1, services: make(map[cleat.ServiceName]*counts)}
}

// SetEntries sets the number of entries that share the slack, at least 1.
func (b *Budget) SetEntries(n int) { b.entries = max(1, n) }

// countsFor returns the counts of a service. It first clears the buckets that have
// begun since the last call for this service.
func (b *Budget) countsFor(now time.Time, s cleat.ServiceName) *counts {
	c, ok := b.services[s]
	if !ok {
		c = &counts{}
		b.services[s] = c
	}
	if b.epoch.IsZero() {
		b.epoch = now
	}
	// The difference follows the monotonic clock, so that buckets do not move when
	// the wall clock is set.
	bucket := int64(now.Sub(b.epoch) / (b.cfg.Window / buckets))
	for n := max(c.newestBucket+1, bucket-buckets); n <= bucket; n++ {
		c.requests[n%(buckets+1)], c.retries[n%(buckets+1)] = 0, 0
	}
	c.newestBucket = max(c.newestBucket, bucket)
	return c
}

// accrued returns the fraction of its slack that the entry may use.
func (b *Budget) accrued(now time.Time) float64 {
	if !b.cfg.Restarted {
		return 1
	}
	return min(1, now.Sub(b.epoch).Seconds()/(accrualWindows*b.cfg.Window.Seconds()))
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, s cleat.ServiceName) {
	c := b.countsFor(now, s)
	c.requests[c.newestBucket%(buckets+1)]++
}

// AllowRetry reports whether a request may be retried now, and counts the retry if so.
func (b *Budget) AllowRetry(now time.Time, s cleat.ServiceName) bool {
	return b.AllowRetryWithin(now, s, 1)
}

// AllowRetryWithin is AllowRetry for a request that may only use a fraction of the entry's
// retries, and so leaves the rest to others.
func (b *Budget) AllowRetryWithin(now time.Time, s cleat.ServiceName, fraction float64) bool {
	c := b.countsFor(now, s)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	limit := ratioFraction*b.cfg.Ratio*float64(requests) + slackFraction*b.cfg.Slack/float64(b.entries)*b.accrued(now)
	if float64(retries+1) > fraction*limit {
		return false
	}
	c.retries[c.newestBucket%(buckets+1)]++
	return true
}
