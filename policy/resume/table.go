package resume

import (
	"hash/fnv"
	"time"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultMaxStreams = 1 << 16 // About 4 MB.
	DefaultSlack      = 5 * time.Second
)

// Config holds the settings of a table.
type Config struct {
	MaxStreams int           // Streams kept; further ones are not recorded.
	Slack      time.Duration // How long a stream is kept beyond its caller's deadline.
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.MaxStreams, DefaultMaxStreams)
	cleat.SetDefault(&c.Slack, DefaultSlack)
}

// Origin is where a stream began; only an upstream of the same service and version
// can continue it.
type Origin struct {
	Service cleat.ServiceName
	Version string // Empty when it is not known.
}

// IsKnown reports whether upstreams that can continue the stream can be told from others.
func (o Origin) IsKnown() bool { return o.Version != "" }

// record is what the table holds of a stream.
type record struct {
	origin   Origin
	until    time.Time
	upstream cleat.UpstreamID // Empty when another entry began the stream.
	sentAt   time.Time        // When the request was sent; set with upstream.
}

// Table holds the origins of the streams that began at any entry.
type Table struct {
	cfg     Config
	streams map[uint64]*record
	news    map[uint64]bool // Streams to be reported to all other entries.
	started []uint64        // Streams to be reported to a few entries before that.
	dropped uint64
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.Defaults()
	return &Table{cfg: cfg, streams: make(map[uint64]*record), news: make(map[uint64]bool)}
}

// key returns the number under which a stream is kept and reported.
func key(id cleat.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash's Write never returns an error.
	return h.Sum64()
}

// Len returns the number of streams kept.
func (t *Table) Len() int { return len(t.streams) }

// Dropped returns how many streams were not recorded because the table was full.
func (t *Table) Dropped() uint64 { return t.dropped }

// RecordStart records the first event of a stream that an upstream began or
// continues here: the request that received the first event, when the request to the
// upstream was sent, and the caller's deadline.
func (t *Table) RecordStart(id cleat.RequestID, o Origin, u cleat.UpstreamID, sentAt, deadline time.Time) {
	k := key(id)
	r := t.add(k, o, deadline.Add(t.cfg.Slack))
	if r != nil {
		r.upstream, r.sentAt = u, sentAt
		t.news[k] = true
		t.started = append(t.started, k)
	}
}

// add merges what is known of a stream. Two different origins of one stream leave it
// unknown.
func (t *Table) add(k uint64, o Origin, until time.Time) *record {
	r, ok := t.streams[k]
	switch {
	case !ok && len(t.streams) >= t.cfg.MaxStreams:
		t.dropped++
		return nil
	case !ok:
		r = &record{origin: o}
		t.streams[k] = r
	case r.origin != o:
		r.origin.Version = ""
	}
	if until.After(r.until) {
		r.until = until
	}
	return r
}

// Find returns where a stream began, or false when this entry doesn't know the stream.
func (t *Table) Find(now time.Time, id cleat.RequestID) (Origin, bool) {
	r, ok := t.streams[key(id)]
	if !ok || now.After(r.until) {
		return Origin{}, false
	}
	return r.origin, true
}

// RecordRestart handles the news that an upstream restarted under its id with
// another version. A request sent after the restart and before the news may have been
// answered by either version, so the streams that began so are no longer known.
func (t *Table) RecordRestart(u cleat.UpstreamID, restartedAt time.Time) {
	for k, r := range t.streams {
		if r.upstream == u && r.sentAt.After(restartedAt) && r.origin.IsKnown() {
			r.origin.Version = ""
			t.news[k] = true
		}
	}
}

// Tick removes the streams whose callers' deadlines have passed.
func (t *Table) Tick(now time.Time) {
	for k, r := range t.streams {
		if now.After(r.until) {
			delete(t.streams, k)
			delete(t.news, k)
		}
	}
}
