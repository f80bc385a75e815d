package order

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/assert"
)

// Defaults of Config.
const (
	DefaultRequestsPerReplica = 16
	DefaultRaiseAfter         = 10 * time.Second
	DefaultLowerAfter         = 2 * time.Minute
	DefaultResendAfter        = 2 * time.Second
	DefaultGiveUpAfter        = 15 * time.Minute
	DefaultBackoff            = time.Minute
)

// Config holds the times and sizes of the placement.
type Config struct {
	RequestsPerReplica int           // Waiting or running requests that justify one replica.
	RaiseAfter         time.Duration // How long demand must exceed the replicas before one is added.
	LowerAfter         time.Duration // How long replicas must exceed demand before one may be taken.
	ResendAfter        time.Duration // Without an answer to an order.
	GiveUpAfter        time.Duration // Without an answer, after which the upstream counts as free.
	Backoff            time.Duration // After a failed order, before its upstream gets another.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	if c.RequestsPerReplica == 0 {
		c.RequestsPerReplica = DefaultRequestsPerReplica
	}
	setDefault(&c.RaiseAfter, DefaultRaiseAfter)
	setDefault(&c.LowerAfter, DefaultLowerAfter)
	setDefault(&c.ResendAfter, DefaultResendAfter)
	setDefault(&c.GiveUpAfter, DefaultGiveUpAfter)
	setDefault(&c.Backoff, DefaultBackoff)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.RequestsPerReplica < 1 {
		return trace.BadParameter("Config.Validate: RequestsPerReplica must be positive")
	}
	if c.LowerAfter < c.RaiseAfter {
		return trace.BadParameter("Config.Validate: LowerAfter must not be shorter than RaiseAfter")
	}
	if c.ResendAfter <= 0 || c.GiveUpAfter <= c.ResendAfter || c.Backoff <= 0 {
		return trace.BadParameter("Config.Validate: GiveUpAfter must exceed ResendAfter and Backoff be positive")
	}
	return nil
}

// Upstream is one upstream as the leader's placement sees it.
type Upstream struct {
	ID      cleat.UpstreamID
	Domain  cleat.DomainID
	Models  []cleat.ModelID
	CanLoad bool
}

// Placement bounds the replicas of one model.
type Placement struct {
	Model cleat.ModelID
	Min   int
	Max   int
}

// Pin is what an operator wants of one upstream, whatever the demand.
type Pin struct {
	Upstream cleat.UpstreamID
	Order    cleat.OrderKind
	Model    cleat.ModelID
	Detail   string // JSON of the order.
}

// View is what the placement decides from; all lists are sorted by id.
type View struct {
	Upstreams      []Upstream
	Demand         []cleat.ModelDemand
	Placements     []Placement
	Pins           []Pin
	LoadsPerMinute float64
	LoadBurst      int
}

// Table issues orders while this instance may. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	term    uint64
	seq     uint64
	bucket  bucket
	above   map[cleat.ModelID]time.Time // Since when demand exceeds the replicas.
	below   map[cleat.ModelID]time.Time // Since when the replicas exceed demand.
	pending map[cleat.UpstreamID]*pending
	backoff map[cleat.UpstreamID]time.Time
	done    map[Pin]bool // Carried out in this term.
	fence   cleat.Fence  // The last one issued.
}

// pending is an order without an answer.
type pending struct {
	order  cleat.Order
	domain cleat.DomainID
	pin    Pin
	first  time.Time
	sent   time.Time
}

// New returns a table that may not issue orders yet; cfg must be valid.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.above = make(map[cleat.ModelID]time.Time)
	t.below = make(map[cleat.ModelID]time.Time)
	t.pending = make(map[cleat.UpstreamID]*pending)
	t.backoff = make(map[cleat.UpstreamID]time.Time)
	t.done = make(map[Pin]bool)
	t.bucket = bucket{}
	t.seq = 0
}

// Decide returns the orders to send now, under the order lease of a term; it
// sends unanswered ones again.
func (t *Table) Decide(now time.Time, term uint64, v View) []cleat.Order {
	if term != t.term {
		t.reset()
		t.term = term
	}
	t.bucket.refill(now, v.LoadsPerMinute, v.LoadBurst)
	t.giveUp(now)
	orders := t.resend(now)
	orders = append(orders, t.pins(now, v)...)
	return append(orders, t.place(now, v)...)
}

// Result takes in how an order ended.
func (t *Table) Result(now time.Time, r cleat.OrderResult) {
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if p.order.ID != r.ID || p.order.Fence != r.Fence {
			continue
		}
		delete(t.pending, id)
		if !r.Done {
			t.backoff[id] = now.Add(t.cfg.Backoff)
			return
		}
		if p.pin.Upstream != "" {
			t.done[p.pin] = true
		}
	}
}

// Pending returns the orders without an answer, sorted by upstream.
func (t *Table) Pending() []cleat.Order {
	var list []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		list = append(list, t.pending[id].order)
	}
	return list
}

func (t *Table) giveUp(now time.Time) {
	for id, p := range t.pending {
		if now.Sub(p.first) >= t.cfg.GiveUpAfter {
			delete(t.pending, id)
			t.backoff[id] = now.Add(t.cfg.Backoff)
		}
	}
}

func (t *Table) resend(now time.Time) []cleat.Order {
	var orders []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if now.Sub(p.sent) >= t.cfg.ResendAfter {
			p.sent = now
			orders = append(orders, p.order)
		}
	}
	return orders
}

// pins orders what operators want of single upstreams.
func (t *Table) pins(now time.Time, v View) []cleat.Order {
	var orders []cleat.Order
	for _, pin := range v.Pins {
		u, ok := find(v.Upstreams, pin.Upstream)
		if !ok || t.done[pin] || t.satisfied(u, pin) {
			continue
		}
		o := cleat.Order{Upstream: pin.Upstream, Order: pin.Order, Model: pin.Model, Detail: []byte(pin.Detail)}
		if issued, ok := t.issue(now, u, o, pin); ok {
			orders = append(orders, issued)
		}
	}
	return orders
}

// satisfied tells whether an upstream announces what the pin wants.
func (t *Table) satisfied(u Upstream, pin Pin) bool {
	return pin.Order == cleat.OrderLoadModel && slices.Contains(u.Models, pin.Model)
}

// place orders loads for models whose demand has exceeded their replicas long enough.
func (t *Table) place(now time.Time, v View) []cleat.Order {
	counts := replicas(v.Upstreams)
	wanted := t.wanted(v)
	t.track(now, v.Placements, counts, wanted)
	var orders []cleat.Order
	for _, p := range v.Placements {
		if !t.due(now, t.above, p.Model, t.raiseAfter(p, counts)) {
			continue
		}
		u, ok := t.candidate(now, v, p.Model, counts, wanted)
		if !ok {
			continue
		}
		o := cleat.Order{Upstream: u.ID, Order: cleat.OrderLoadModel, Model: p.Model}
		if issued, ok := t.issue(now, u, o, Pin{}); ok {
			orders = append(orders, issued)
		}
	}
	return orders
}

// raiseAfter is zero below the least replicas, which need no proof by demand.
func (t *Table) raiseAfter(p Placement, counts map[cleat.ModelID]int) time.Duration {
	if counts[p.Model]+t.loading(p.Model) < p.Min {
		return 0
	}
	return t.cfg.RaiseAfter
}

// wanted returns the replicas that each placed model should have.
func (t *Table) wanted(v View) map[cleat.ModelID]int {
	demand := make(map[cleat.ModelID]int)
	for _, d := range v.Demand {
		demand[d.Model] += int(d.Waiting) + int(d.Running)
	}
	wanted := make(map[cleat.ModelID]int, len(v.Placements))
	for _, p := range v.Placements {
		need := int(math.Ceil(float64(demand[p.Model]) / float64(t.cfg.RequestsPerReplica)))
		wanted[p.Model] = min(max(need, p.Min), p.Max)
	}
	return wanted
}

// track notes since when each model has too few or too many replicas.
func (t *Table) track(now time.Time, placements []Placement, counts, wanted map[cleat.ModelID]int) {
	for _, p := range placements {
		have := counts[p.Model] + t.loading(p.Model)
		note(t.above, p.Model, have < wanted[p.Model], now)
		note(t.below, p.Model, have > wanted[p.Model], now)
	}
}

func note(since map[cleat.ModelID]time.Time, m cleat.ModelID, holds bool, now time.Time) {
	if !holds {
		delete(since, m)
		return
	}
	if _, ok := since[m]; !ok {
		since[m] = now
	}
}

func (t *Table) due(now time.Time, since map[cleat.ModelID]time.Time, m cleat.ModelID, after time.Duration) bool {
	at, ok := since[m]
	return ok && now.Sub(at) >= after
}

// loading returns how many replicas of a model are being loaded.
func (t *Table) loading(m cleat.ModelID) int {
	n := 0
	for _, p := range t.pending {
		if p.order.Order == cleat.OrderLoadModel && p.order.Model == m {
			n++
		}
	}
	return n
}

// candidate picks the upstream to load a model at: one without a model before
// one whose models all have replicas to spare, in the domain with the fewest
// replicas of the model, then by id.
func (t *Table) candidate(now time.Time, v View, m cleat.ModelID, counts, wanted map[cleat.ModelID]int) (Upstream, bool) {
	spread := t.spread(v.Upstreams, m)
	var best Upstream
	found := false
	for _, u := range v.Upstreams {
		if !t.free(now, u) || slices.Contains(u.Models, m) || !t.spare(now, u, counts, wanted) {
			continue
		}
		if !found || t.preferred(u, best, spread) {
			best, found = u, true
		}
	}
	return best, found
}

func (t *Table) preferred(a, b Upstream, spread map[cleat.DomainID]int) bool {
	if (len(a.Models) == 0) != (len(b.Models) == 0) {
		return len(a.Models) == 0
	}
	return spread[a.Domain] < spread[b.Domain]
}

// spread counts a model's replicas, with those being loaded, by failure domain.
func (t *Table) spread(upstreams []Upstream, m cleat.ModelID) map[cleat.DomainID]int {
	n := make(map[cleat.DomainID]int)
	for _, u := range upstreams {
		if slices.Contains(u.Models, m) {
			n[u.Domain]++
		}
	}
	for _, p := range t.pending {
		if p.order.Model == m {
			n[p.domain]++
		}
	}
	return n
}

// free tells whether an upstream can take an order to load now.
func (t *Table) free(now time.Time, u Upstream) bool {
	_, busy := t.pending[u.ID]
	return u.CanLoad && !busy && !now.Before(t.backoff[u.ID])
}

// spare tells whether every model of an upstream has had a replica too many
// for long enough, and still has after the ones being replaced.
func (t *Table) spare(now time.Time, u Upstream, counts, wanted map[cleat.ModelID]int) bool {
	for _, m := range u.Models {
		if _, placed := wanted[m]; !placed {
			return false
		}
		if !t.due(now, t.below, m, t.cfg.LowerAfter) || counts[m]-1 < wanted[m] {
			return false
		}
	}
	return true
}

// issue gives an order its fence when the upstream, the weight store's rate
// and the failure domain allow it.
func (t *Table) issue(now time.Time, u Upstream, o cleat.Order, pin Pin) (cleat.Order, bool) {
	if !t.free(now, u) || t.domainBusy(u.Domain, o.Order) {
		return o, false
	}
	if o.Order != cleat.OrderChangeRole && !t.bucket.take() {
		return o, false
	}
	t.seq++
	o.Fence = cleat.Fence(t.term<<32 | t.seq)
	o.ID = uint64(o.Fence)
	if o.Fence <= t.fence {
		assert.Fail("order.rising", "fence %d follows %d", o.Fence, t.fence)
	}
	t.fence = o.Fence
	t.pending[u.ID] = &pending{order: o, domain: u.Domain, pin: pin, first: now, sent: now}
	return o, true
}

// domainBusy tells whether an order of the kind is in flight in a failure domain.
func (t *Table) domainBusy(d cleat.DomainID, k cleat.OrderKind) bool {
	for _, p := range t.pending {
		if p.domain == d && p.order.Order == k {
			return true
		}
	}
	return false
}

// replicas counts the upstreams that hold each model.
func replicas(upstreams []Upstream) map[cleat.ModelID]int {
	n := make(map[cleat.ModelID]int)
	for _, u := range upstreams {
		for _, m := range u.Models {
			n[m]++
		}
	}
	return n
}

func find(upstreams []Upstream, id cleat.UpstreamID) (Upstream, bool) {
	for _, u := range upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}

// bucket holds the loads that the weight store's rate allows.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time, perMinute float64, burst int) {
	if b.at.IsZero() {
		b.tokens = 1
		b.at = now
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Minutes()*perMinute, float64(burst))
	b.at = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
