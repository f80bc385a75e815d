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

// Defaults of EngineConfig, and the size of a prompt token.
const (
	DefaultOutputTokens = 32
	DefaultCacheBlocks  = 256
	DefaultResumeWindow = 2 * time.Second
	defaultSlots        = 16 // Also the default of PlainConfig.
	bytesPerToken       = 4  // Bytes of prompt text that count as one token.
)

// EngineConfig configures a stand-in model engine. A zero TokenInterval,
// BatchInterval, PrefillInterval or ReportDelay means no delay.
type EngineConfig struct {
	ID               cleat.UpstreamID
	Addr             string // Listen address, as host:port; empty takes a free port on loopback.
	AgentURL         string // Base URL of the agent's HTTP server; empty turns announcements off.
	Models           []cleat.ModelID
	Slots            uint32        // Announced as a hint only; all requests are admitted.
	TokenInterval    time.Duration // Time between tokens of a request that runs alone.
	BatchInterval    time.Duration // Added to TokenInterval for each further running request.
	PrefillInterval  time.Duration // Time per uncached prompt token.
	OutputTokens     int           // Tokens to generate for a request that sets no token limit.
	CacheBlocks      int           // Capacity of the prefix cache, in prefix digests.
	CacheLossEvery   int           // Every n-th cache event is not sent; zero sends all.
	ReportDelay      time.Duration // Delay of load reports and cache events.
	AnnounceInterval time.Duration
	ResumeWindow     time.Duration // How long an interrupted stream can be resumed.
	Fencing          bool          // Refuses orders whose fencing number is lower than the highest seen.
}

// Defaults fills in unset fields.
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

// Validate returns a trace.BadParameter error that names the first invalid field.
func (c *EngineConfig) Validate() error {
	if c.ID == "" {
		return trace.BadParameter("EngineConfig.Validate: ID must not be empty")
	}
	if len(c.Models) == 0 {
		return trace.BadParameter("EngineConfig.Validate: Models must not be empty")
	}
	return nil
}

// EngineStats counts the requests and tokens of an engine.
type EngineStats struct {
	Started      int
	Finished     int
	Canceled     int // Ended before the last token, by the caller or by a fault.
	Resumed      int
	MaxBatch     int // Largest number of requests that ran at the same time.
	OutputTokens int
}

// Engine is a stand-in model engine behind HTTP. It admits every request, batches
// continuously, has a prefix cache of bounded size, and streams tokens.
type Engine struct {
	*server
	cfg EngineConfig

	mu                 sync.Mutex
	faults             faults
	models             []cleat.ModelID
	cache              *prefixCache
	cacheEvents        uint64
	running            int
	interruptedStreams map[string]*stream // Interrupted streams that may be resumed, by request id.
	highestFence       cleat.Fence
	orders             []cleat.Order
	runs               map[string]int // Requests started, by request id and by idempotency key.
	stats              EngineStats
}

// StartEngine starts a stand-in engine; Close stops it.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "StartEngine")
	}
	e := &Engine{
		cfg: cfg, models: slices.Clone(cfg.Models),
		cache:              newPrefixCache(cfg.CacheBlocks),
		interruptedStreams: make(map[string]*stream),
		runs:               make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cleat.ChatPath, e.handleChat)
	mux.HandleFunc("POST "+cleat.PathUpstreamOrders, e.handleOrder)
	mux.HandleFunc("GET "+cleat.PathUpstreamHealth, func(http.ResponseWriter, *http.Request) {})
	s, err := newServer(cfg.Addr, cfg.AgentURL, mux)
	if err != nil {
		return nil, trace.Wrap(err, "StartEngine")
	}
	e.server = s
	s.start(cfg.AnnounceInterval, e.announce)
	return e, nil
}

// SetFault injects f into the following requests.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.set(f)
}

// Stats returns the counters since the start.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Running returns the number of running requests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Runs returns how often a request with the idempotency key or request id was
// started; resumptions of a stream don't count.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Orders returns the orders that the engine accepted, including those of kinds that it ignores.
func (e *Engine) Orders() []cleat.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Announcement returns the announcement that the engine sends to its agent.
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
	e.runAfter(e.cfg.ReportDelay, func() { _ = e.post(cleat.PathAgentLoad, r) })
}

// publishCacheEvent sends a cache event to the agent after ReportDelay. It drops
// every n-th event if CacheLossEvery is n.
func (e *Engine) publishCacheEvent(ev cleat.CacheEvent) {
	if e.agentURL == "" || (e.cfg.CacheLossEvery > 0 && ev.Seq%uint64(e.cfg.CacheLossEvery) == 0) {
		return
	}
	e.runAfter(e.cfg.ReportDelay, func() { _ = e.post(cleat.PathAgentCache, ev) })
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o cleat.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

func (e *Engine) applyOrder(o cleat.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.orders = append(e.orders, o)
	if o.Order == cleat.OrderLoadModel && !slices.Contains(e.models, o.Model) {
		e.models = append(e.models, o.Model)
	}
	return true
}
