package budget

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Config sets up a budget.
type Config struct {
	Ratio  float64 // Repeats for each request.
	Slack  float64 // Further repeats of the whole fleet in a window.
	Window time.Duration
}

// Parts of the bound that one entry uses, so that the counts of others, which
// see windows begin at other moments, still fit.
const (
	ratioPart = 0.8
	slackPart = 0.6
)

// buckets divide a window; one more is kept, since a window may begin anywhere.
const buckets = 10

type counts struct {
	requests, repeats [buckets + 1]int
	newest            int64
}

// Budget holds the counts of one entry, for each service.
type Budget struct {
	cfg     Config
	entries int       // That share the slack.
	epoch   time.Time // When the first bucket began.
	rows    map[cleat.ServiceName]*counts
}

// New returns a budget of one entry alone.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, entries: 1, rows: make(map[cleat.ServiceName]*counts)}
}

// SetEntries sets how many entries share the slack.
func (b *Budget) SetEntries(n int) { b.entries = max(1, n) }

func (b *Budget) row(now time.Time, s cleat.ServiceName) *counts {
	c, ok := b.rows[s]
	if !ok {
		c = &counts{}
		b.rows[s] = c
	}
	if b.epoch.IsZero() {
		b.epoch = now
	}
	// A difference of times does not move with the time of day.
	bucket := int64(now.Sub(b.epoch) / (b.cfg.Window / buckets))
	for n := max(c.newest+1, bucket-buckets); n <= bucket; n++ {
		c.requests[n%(buckets+1)], c.repeats[n%(buckets+1)] = 0, 0
	}
	c.newest = max(c.newest, bucket)
	return c
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now time.Time, s cleat.ServiceName) {
	c := b.row(now, s)
	c.requests[c.newest%(buckets+1)]++
}

// Repeat reports whether a request may be sent once more now, and counts it if so.
func (b *Budget) Repeat(now time.Time, s cleat.ServiceName) bool {
	c := b.row(now, s)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := ratioPart*b.cfg.Ratio*float64(requests) + slackPart*b.cfg.Slack/float64(b.entries)
	if float64(repeats+1) > limit {
		return false
	}
	c.repeats[c.newest%(buckets+1)]++
	return true
}
