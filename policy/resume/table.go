package resume

import (
	"hash/fnv"
	"slices"
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
	Relays     bool          // The table is a control instance's, which tells others what it is told; see Relay.
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

// record is what the table holds of a stream. It has no pointers, so that the garbage
// collector doesn't visit the many records of a large fleet.
type record struct {
	origin   uint32        // Index in Table.origins.
	upstream uint64        // Hash of the upstream that began it; zero at entries other than the one that sent the request.
	until    time.Duration // Since Table.epoch, like sentAt.
	sentAt   time.Duration // When the request was sent; set with upstream.
}

// Table holds the origins of the streams that began at any entry.
type Table struct {
	cfg     Config
	epoch   time.Time
	origins []Origin
	streams map[uint64]record
	news    map[uint64]bool // Streams to be reported to other entries.
	dropped uint64

	unsent   []uint64           // Streams that began here, to be reported to control; see ReportOwn.
	voided   []uint64           // With Config.Relays, streams whose origin is no longer known; see Voided.
	restarts map[uint64]restart // With Config.Relays, by the hash of the upstream.
}

// New returns an empty table; epoch is a time before all others that it will be given.
func New(cfg Config, epoch time.Time) *Table {
	cfg.Defaults()
	return &Table{
		cfg: cfg, epoch: epoch, streams: make(map[uint64]record), news: make(map[uint64]bool), restarts: make(map[uint64]restart),
	}
}

// originIndex returns the index of an origin; there are as many as services and
// versions.
func (t *Table) originIndex(o Origin) uint32 {
	i := slices.Index(t.origins, o)
	if i < 0 {
		i = len(t.origins)
		t.origins = append(t.origins, o)
	}
	return uint32(i)
}

// key returns the number under which a stream is kept and reported.
func key(id cleat.RequestID) uint64 { return hash(string(id)) }

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // A hash's Write never returns an error.
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
	if stored, _ := t.add(k, o, deadline.Add(t.cfg.Slack)); !stored {
		return
	}
	r := t.streams[k]
	r.upstream, r.sentAt = hash(string(u)), sentAt.Sub(t.epoch)
	t.streams[k] = r
	t.news[k] = true
	t.unsent = append(t.unsent, k)
}

// reportPrecision is that of the end of a stream in reports. A difference up to it
// changes nothing; otherwise reports that pass to and fro would keep a stream for ever.
const reportPrecision = time.Second

// add merges what is known of a stream. Two different origins of one stream leave it
// unknown. It returns whether the stream is stored, which it isn't if the table is full,
// and whether that changed anything.
func (t *Table) add(k uint64, o Origin, until time.Time) (stored, changed bool) {
	r, ok := t.streams[k]
	switch {
	case !ok && len(t.streams) >= t.cfg.MaxStreams:
		t.dropped++
		return false, false
	case !ok:
		r.origin, changed = t.originIndex(o), true
	case t.origins[r.origin] != o && t.origins[r.origin].IsKnown():
		r.origin, changed = t.originIndex(Origin{Service: t.origins[r.origin].Service}), true
	}
	if end := until.Sub(t.epoch); !ok || end > r.until+reportPrecision {
		r.until, changed = end, true
	}
	t.streams[k] = r
	return true, changed
}

// Find returns where a stream began, or false when this entry doesn't know the stream.
func (t *Table) Find(now time.Time, id cleat.RequestID) (Origin, bool) {
	r, ok := t.streams[key(id)]
	if !ok || now.Sub(t.epoch) > r.until {
		return Origin{}, false
	}
	return t.origins[r.origin], true
}

// RecordRestart handles the news that an upstream restarted under its id with another
// version: o is its new origin. A request sent after the restart and before the news may have
// been answered by either version, so the streams that began so at another origin are no
// longer known.
func (t *Table) RecordRestart(u cleat.UpstreamID, o Origin, restartedAt time.Time) {
	upstream := hash(string(u))
	at := restartedAt.Sub(t.epoch)
	if t.cfg.Relays {
		t.restarts[upstream] = restart{at: at, origin: o}
	}
	for k, r := range t.streams {
		if old := t.origins[r.origin]; r.upstream == upstream && r.sentAt > at && old != o && old.IsKnown() {
			r.origin = t.originIndex(Origin{Service: old.Service})
			t.streams[k] = r
			t.news[k] = true
			if t.cfg.Relays {
				t.voided = append(t.voided, k)
			} else {
				t.unsent = append(t.unsent, k)
			}
		}
	}
}

// Tick removes the streams whose callers' deadlines have passed.
func (t *Table) Tick(now time.Time) {
	for k, r := range t.streams {
		if now.Sub(t.epoch) > r.until {
			delete(t.streams, k)
			delete(t.news, k)
		}
	}
	t.tickRestarts(now)
}
