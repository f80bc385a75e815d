package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// PlainConfig configures a stand-in plain service.
type PlainConfig struct {
	ID               cleat.UpstreamID
	Addr             string        // Listen address, as host:port; empty takes a free port on loopback.
	AgentURL         string        // Base URL of the agent's HTTP server; empty turns announcements off.
	Pool             cleat.ModelID // Announced in place of a model.
	Slots            uint32
	ServiceTime      time.Duration // Time that each action or lookup takes.
	AnnounceInterval time.Duration
}

// Defaults fills in unset fields.
func (c *PlainConfig) Defaults() {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
}

// Validate returns a trace.BadParameter error if ID or Pool is empty.
func (c *PlainConfig) Validate() error {
	if c.ID == "" || c.Pool == "" {
		return trace.BadParameter("PlainConfig.Validate: ID and Pool must not be empty")
	}
	return nil
}

// Plain is a stand-in plain service. POST runs an action, which is counted by its
// idempotency key or, without one, by its request id; GET is a lookup.
type Plain struct {
	*server
	cfg PlainConfig

	mu         sync.Mutex
	faults     faults
	runsByKey  map[string]int // By idempotency key, or by request id without one.
	runsByPath map[string]int
	totalRuns  int
	lookups    int
	hold       chan struct{} // Closed on release; nil while no answers are withheld.
}

// StartPlain starts a stand-in plain service; Close stops it.
func StartPlain(cfg PlainConfig) (*Plain, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "StartPlain")
	}
	p := &Plain{cfg: cfg, runsByKey: make(map[string]int), runsByPath: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cleat.PathUpstreamHealth, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /", p.handleAction)
	mux.HandleFunc("GET /", p.handleLookup)
	s, err := newServer(cfg.Addr, cfg.AgentURL, mux)
	if err != nil {
		return nil, trace.Wrap(err, "StartPlain")
	}
	p.server = s
	s.start(cfg.AnnounceInterval, p.announce)
	return p, nil
}

// SetFault injects f into the answers to the following requests; their actions still run.
func (p *Plain) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.set(f)
}

// HoldAnswers makes the service withhold the answers of the following actions until release
// is called; the actions still run.
func (p *Plain) HoldAnswers() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hold := make(chan struct{})
	p.hold = hold
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.hold = nil
		close(hold)
	})
}

// Runs returns how often the action with the idempotency key or request id ran.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByKey[key]
}

// RunsAt returns how often an action at the path ran.
func (p *Plain) RunsAt(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByPath[path]
}

// TotalRuns returns how many actions ran.
func (p *Plain) TotalRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalRuns
}

// MostRuns returns the largest number of runs with the same key.
func (p *Plain) MostRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, n := range p.runsByKey {
		most = max(most, n)
	}
	return most
}

// Lookups returns how many lookups were served.
func (p *Plain) Lookups() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lookups
}

// Announcement returns the announcement that the service sends to its agent.
func (p *Plain) Announcement() cleat.Announcement {
	a := p.announcement(p.cfg.ID, cleat.KindPlain, []cleat.ModelID{p.cfg.Pool})
	a.Slots = p.cfg.Slots
	return a
}

func (p *Plain) announce() { _ = p.post(cleat.PathAgentAnnounce, p.Announcement()) }

func (p *Plain) handleAction(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key := r.Header.Get(cleat.DefaultIdempotencyHeader)
	if key == "" {
		key = r.Header.Get(cleat.HeaderUpstreamRequest)
	}
	n, hold, fault := p.recordRun(key, r.URL.Path)
	if hold != nil {
		<-hold
	}
	sleep(r.Context(), p.cfg.ServiceTime)
	if fault.Kind != FaultNone {
		fault.apply(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"ran\":%q,\"runs\":%d}\n", key, n)
}

func (p *Plain) recordRun(key, path string) (n int, hold chan struct{}, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runsByKey[key]++
	p.runsByPath[path]++
	p.totalRuns++
	return p.runsByKey[key], p.hold, p.faults.next()
}

func (p *Plain) handleLookup(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.lookups++
	fault := p.faults.next()
	p.mu.Unlock()
	sleep(r.Context(), p.cfg.ServiceTime)
	if fault.Kind != FaultNone {
		fault.apply(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"path\":%q}\n", r.URL.Path)
}
