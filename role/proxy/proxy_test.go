package proxy

import (
	"context"
	"io"
	"math"
	"math/rand"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/role/telem"
)

func TestShedFraction(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		lag, objective time.Duration
		fraction       float64
	}{
		"no lag":                               {0, second / 2, 0},
		"lag up to which nothing is refused":   {100 * time.Millisecond, second / 2, 0},
		"halfway between the limits":           {200 * time.Millisecond, second / 2, 0.5},
		"lag from which everything is refused": {300 * time.Millisecond, second / 2, 1},
		"lag above both limits":                {time.Minute, second / 2, 1},
		"a longer objective":                   {300 * time.Millisecond, second, 0.25},
		"no objective":                         {200 * time.Millisecond, 0, 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := shedFraction(c.lag, c.objective); math.Abs(got-c.fraction) > 1e-9 {
				t.Errorf("shedFraction: got %v, want %v", got, c.fraction)
			}
		})
	}
}

// FAIR on pastor-andino-grown: a busy entry refused whoever came, share or not.
func TestBusyEntryRefusesACrowdFirst(t *testing.T) {
	r := &Role{clock: cleat.SystemClock{}, planner: place.New(place.Config{}), rnd: rand.New(rand.NewSource(1))}
	r.lag.epoch = time.Now()
	r.lag.highWater.Store(int64(200 * time.Millisecond))
	r.planner.SetServices([]cleat.Service{{Name: "model", Engine: &cleat.ModelEngine{Slots: 64, MemoryTokens: 1e6}}}, 1e4)
	r.planner.SetUpstreams([]cleat.UpstreamRecord{{Upstream: "u", Service: "model", Phase: cleat.UpstreamReady}})
	prompts := map[cleat.WorkspaceID]int{"crowd": 30000, "small": 10}
	now := time.Now()
	for i := range uint64(2) {
		r.planner.Submit(now, &place.Job{
			ID: i + 1, Service: "model", Workspace: "crowd", PromptTokens: prompts["crowd"], Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute),
		})
	}
	cases := map[string]struct {
		workspace cleat.WorkspaceID
		service   cleat.ServiceName
		objective time.Duration
		shed      int // Of 100 requests.
	}{
		"beyond its share":                {"crowd", "model", time.Second, 100},
		"within its share":                {"small", "model", time.Second, 0},
		"within, with a short objective":  {"small", "model", 300 * time.Millisecond, 100},
		"a plain service, which has none": {"crowd", "desk", time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			shed := 0
			for range 100 {
				job := &place.Job{Service: c.service, Workspace: c.workspace, PromptTokens: prompts[c.workspace]}
				x := &exchange{role: r, job: job, route: &cleat.Route{Target: c.objective}}
				if _, ok := r.shouldShed(x); ok {
					shed++
				}
			}
			if shed != c.shed {
				t.Errorf("refused %d of 100 requests, want %d", shed, c.shed)
			}
		})
	}
}

func TestLastID(t *testing.T) {
	cases := map[string]struct {
		events, id string
		ok         bool
	}{
		"one event":                  {"id: 3\ndata: x\n\n", "3", true},
		"several events":             {"id: 3\ndata: x\n\nid: 4\ndata: y\n\n", "4", true},
		"last event without an id":   {"id: 3\ndata: x\n\ndata: y\n\n", "3", true},
		"no event with an id":        {"data: x\n\n", "", false},
		"an id after the data":       {"data: x\nid: 9\n\n", "9", true},
		"data that looks like an id": {"data: id: 7\n\n", "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			id, ok := lastID([]byte(c.events))
			if id != c.id || ok != c.ok {
				t.Errorf("lastID: got %q, %v", id, ok)
			}
		})
	}
}

// FAIR on pastor-andino-grown: the dispatcher of a busy entry paused for 749 ms.
func TestPauseAfterDispatch(t *testing.T) {
	cases := map[string]struct {
		took    time.Duration
		decided int
		pause   time.Duration
	}{
		"a short pass":                      {100 * time.Microsecond, 1, minDispatchPause},
		"a pass that decided":               {5 * time.Millisecond, 20, 45 * time.Millisecond},
		"a pass that left all jobs waiting": {2 * time.Millisecond, 0, 78 * time.Millisecond},
		"a pass at a slow entry":            {19 * time.Millisecond, 8, maxDispatchPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pauseAfterDispatch(c.took, c.decided); got != c.pause {
				t.Errorf("pauseAfterDispatch: got %v, want %v", got, c.pause)
			}
		})
	}
}

// FAIR on pastor-andino-grown: errors that came within milliseconds counted as started
// requests, and raised the learnt prefill rate.
func TestErrorAnswerIsNoFirstEvent(t *testing.T) {
	cases := map[string]struct{ status, started int }{
		"an answer":             {http.StatusOK, 5000},
		"an answer 4xx":         {http.StatusNotFound, 5000},
		"an error":              {http.StatusInternalServerError, 0},
		"an error not to relay": {http.StatusServiceUnavailable, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock, logger := cleat.SystemClock{}, log.New(io.Discard)
			r := &Role{clock: clock, log: logger, decisions: telem.NewDecisionLog(logger), planner: place.New(place.Config{}), wake: make(chan struct{}, 1)}
			r.planner.SetServices([]cleat.Service{{Name: "s", Engine: &cleat.ModelEngine{Slots: 1, MemoryTokens: 1e6}}}, 1e6)
			u := cleat.UpstreamRecord{Upstream: "u", Service: "s", Phase: cleat.UpstreamReady}
			r.planner.SetUpstreams([]cleat.UpstreamRecord{u})
			now := clock.Now()
			x := &exchange{role: r, ctx: context.Background(), job: &place.Job{
				Service: "s", Workspace: "w", PromptTokens: 5000, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second),
			}}
			if v, _ := r.submit(x.job); !v.Placed() {
				t.Fatal("the job was not placed")
			}
			x.recordAnswer(c.status)
			if got := r.planner.ShareUsage(clock.Now(), "w").Started; got != c.started {
				t.Errorf("started: got %d cost units, want %d", got, c.started)
			}
		})
	}
}

// FAIR on pastor-andino-grown: at an entry that read requests seconds late, the measured
// lag was 28 ms.
func TestLagCountsGoroutinesThatAreReady(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(context.Background())
	r := &Role{clock: cleat.SystemClock{}, lag: lagMeter{epoch: time.Now()}}
	var g sync.WaitGroup
	g.Go(func() { _ = r.lagLoop(ctx) })
	const requests, work = 400, time.Millisecond
	for range requests {
		g.Go(func() {
			for ctx.Err() == nil {
				for start := time.Now(); time.Since(start) < work; {
					runtime.KeepAlive(start)
				}
				runtime.Gosched()
			}
		})
	}
	// The process may get no processor time at first: the meter has until then to begin.
	var lag time.Duration
	for end := time.Now().Add(20 * requests * work); lag < requests*work/2 && time.Now().Before(end); {
		time.Sleep(2 * requests * work)
		lag = r.lag.value(time.Now())
	}
	cancel()
	g.Wait()
	if lag < requests*work/2 {
		t.Errorf("lag: got %v while %d goroutines that each run for %v were ready", lag, requests, work)
	}
}

func TestLagMeter(t *testing.T) {
	epoch := time.Unix(1e9, 0)
	m := lagMeter{epoch: epoch}
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	m.start(at(1000))
	if lag := m.value(at(1400)); lag != 400*time.Millisecond {
		t.Errorf("value during a measurement: got %v", lag)
	}
	m.finish(at(1500))
	m.start(at(1520))
	m.finish(at(1520))
	if lag := m.value(at(1530)); lag != 425*time.Millisecond {
		t.Errorf("value after a short measurement: got %v", lag)
	}
}
