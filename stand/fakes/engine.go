package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Defaults of EngineConfig.
const (
	DefaultOutputTokens = 32
	DefaultCacheBlocks  = 256
	DefaultResumeWindow = 2 * time.Second
	defaultSlots        = 16
	bytesPerToken       = 4
)

// EngineConfig describes a stand-in model engine; zero times cost nothing.
type EngineConfig struct {
	ID               cleat.UpstreamID
	Addr             string // To listen on, as host:port; empty takes a free port on loopback.
	AgentURL         string // Base URL of its agent's HTTP address; empty announces nothing.
	Models           []cleat.ModelID
	Slots            uint32        // Announced as a hint; all requests are admitted.
	TokenInterval    time.Duration // Between tokens of a request that runs alone.
	BatchInterval    time.Duration // Added to it for each further running request.
	PrefillInterval  time.Duration // Per input token that is not cached.
	OutputTokens     int           // Where the request sets no max_tokens.
	CacheBlocks      int           // Prefix digests kept.
	CacheLossEvery   int           // Every n-th cache event is lost; zero loses none.
	ReportDelay      time.Duration // By which load reports and cache events are late.
	AnnounceInterval time.Duration
	ResumeWindow     time.Duration // A cut stream can be resumed for so long.
	Fencing          bool          // It refuses orders with old fencing numbers.
}

// Defaults sets what was left out.
func (c *EngineConfig) Defaults() {
	if c.OutputTokens == 0 {
		c.OutputTokens = DefaultOutputTokens
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
	if c.ResumeWindow == 0 {
		c.ResumeWindow = DefaultResumeWindow
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *EngineConfig) Validate() error {
	if c.ID == "" {
		return trace.BadParameter("EngineConfig.Validate: ID must not be empty")
	}
	if len(c.Models) == 0 {
		return trace.BadParameter("EngineConfig.Validate: Models must not be empty")
	}
	return nil
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Started   int
	Finished  int
	Canceled  int
	Resumed   int
	MaxBatch  int
	OutTokens int
}

// Engine is a stand-in model engine behind HTTP. It admits everything, batches
// continuously, caches prefixes in limited memory, and streams tokens.
type Engine struct {
	*server
	cfg EngineConfig

	mu      sync.Mutex
	faults  faults
	models  []cleat.ModelID
	cache   *prefixCache
	events  uint64
	running int
	streams map[string]*stream // Cut streams that may be resumed.
	fence   cleat.Fence
	orders  []cleat.Order
	runs    map[string]int
	stats   EngineStats
}

// StartEngine starts a stand-in engine; Close ends it.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "StartEngine")
	}
	e := &Engine{
		cfg: cfg, models: slices.Clone(cfg.Models),
		cache:   newPrefixCache(cfg.CacheBlocks),
		streams: make(map[string]*stream),
		runs:    make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cleat.ChatPath, e.chat)
	mux.HandleFunc("POST "+cleat.PathUpstreamOrders, e.order)
	mux.HandleFunc("GET "+cleat.PathUpstreamHealth, func(http.ResponseWriter, *http.Request) {})
	s, err := newServer(cfg.Addr, cfg.AgentURL, mux)
	if err != nil {
		return nil, trace.Wrap(err, "StartEngine")
	}
	e.server = s
	s.start(cfg.AnnounceInterval, e.announce)
	return e, nil
}

// SetFault makes the following requests go wrong.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.set(f)
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Running returns how many requests run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Runs returns how often requests with the idempotency key or request id arrived.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []cleat.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Announcement returns what the engine says of itself.
func (e *Engine) Announcement() cleat.Announcement {
	e.mu.Lock()
	models := slices.Clone(e.models)
	e.mu.Unlock()
	a := e.announcement(e.cfg.ID, cleat.KindModel, models)
	a.Slots, a.Fencing, a.CanResume, a.CanLoad = e.cfg.Slots, e.cfg.Fencing, true, true
	return a
}

func (e *Engine) announce() {
	if err := e.post(cleat.PathAgentAnnounce, e.Announcement()); err != nil {
		return
	}
	r := cleat.LoadReport{Upstream: e.cfg.ID, Running: uint32(e.Running())}
	e.later(e.cfg.ReportDelay, func() { _ = e.post(cleat.PathAgentLoad, r) })
}

// publish tells the agent late of a change of the cache, or loses the event.
func (e *Engine) publish(ev cleat.CacheEvent) {
	if e.agentURL == "" || (e.cfg.CacheLossEvery > 0 && ev.Seq%uint64(e.cfg.CacheLossEvery) == 0) {
		return
	}
	e.later(e.cfg.ReportDelay, func() { _ = e.post(cleat.PathAgentCache, ev) })
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o cleat.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.takeOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

func (e *Engine) takeOrder(o cleat.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if o.Order == cleat.OrderLoadModel && !slices.Contains(e.models, o.Model) {
		e.models = append(e.models, o.Model)
	}
	return true
}
