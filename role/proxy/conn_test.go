package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/policy/poison"
	"marigoldcleat.example/cleat/policy/resume"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/role/telem"
)

// An upstream that leaves closes connections with its answers, and then its listener.
func TestUpstreamHasShutDown(t *testing.T) {
	cases := map[string]struct {
		closes    []bool // Whether each answer closed its connection.
		listens   bool
		shutDown  bool
		connected bool
	}{
		"closed, then refused":                      {[]bool{true}, false, true, false},
		"refused without a closing answer":          {nil, false, false, false},
		"refused after a later answer kept it open": {[]bool{true, false}, false, false, false},
		"closed, and listening":                     {[]bool{true}, true, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }() // Closed already in most cases.
			if !c.listens {
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
			}
			var cfg Config
			cfg.Defaults()
			p := newPool(l.Addr().String(), &cfg)
			for _, closes := range c.closes {
				p.recordClose(closes)
			}
			conn, err := p.get(t.Context(), time.Now(), time.Time{})
			if err == nil {
				conn.close()
			}
			if (err == nil) != c.connected || (err != nil && p.hasShutDown(err) != c.shutDown) {
				t.Errorf("get: error %v, shut down %v, want connected %v, shut down %v", err, err != nil && p.hasShutDown(err), c.connected, c.shutDown)
			}
		})
	}
}

// An upstream that was warm again was taken for cold: a connection that it had closed before
// it restarted was counted with the first one after it.
func TestClosedConnectionIsForgottenOnceNoneCanBeMade(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	var cfg Config
	cfg.Defaults()
	for _, ctx := range []context.Context{t.Context(), canceled} {
		p := newPool(l.Addr().String(), &cfg)
		p.recordLost()
		if _, err := p.get(ctx, time.Now(), time.Time{}); err == nil {
			t.Fatal("connected")
		}
		if lost := p.takeLost(); lost != (ctx.Err() != nil) {
			t.Errorf("canceled %v: lost %v", ctx.Err() != nil, lost)
		}
	}
}

// A connection on which nothing was sent stays in use only if it was idle before.
func TestConnectionIsPutBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // The test is over.
	var cfg Config
	cfg.Defaults()
	now := time.Now()
	p := newPool(l.Addr().String(), &cfg)
	for name, used := range map[string]bool{"new": false, "used": true} {
		conn, err := p.get(t.Context(), now, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		if used {
			conn.expiry = now.Add(time.Minute)
		}
		p.putBack(conn)
		if again := p.popIdle(); (again == conn) != used {
			t.Errorf("%s: put back %v, want %v", name, again == conn, used)
		}
	}
}

// newTestRole returns a role without sockets.
func newTestRole() *Role {
	logger := log.New(io.Discard)
	return &Role{
		clock: cleat.SystemClock{}, log: logger, decisions: telem.NewDecisionLog(logger), planner: place.New(place.Config{}), roster: roster.New(),
		streams: resume.New(resume.Config{}, time.Now()), requests: poison.NewRequests(poison.RequestConfig{}), poison: poison.New(poison.Config{}),
		pools: make(map[cleat.UpstreamID]*pool), waiters: make(map[uint64]chan place.Verdict), sent: make(map[uint64]*sentJob), wake: make(chan struct{}, 1),
		listed: make(chan struct{}),
	}
}

// The news that an upstream leaves arrives while requests to it are being connected.
func TestNewsBeforeARequestIsSent(t *testing.T) {
	u := cleat.UpstreamRecord{Upstream: "u", Service: "desk", Address: "127.0.0.1:1", Slots: 4, Phase: cleat.UpstreamReady, StartedAtMillis: 7}
	cases := map[string]struct {
		status int
		info   cleat.AnswerInfo // Of an answer to another request.
		sent   bool
	}{
		"an answer without news":          {200, cleat.AnswerInfo{}, true},
		"an answer that says it leaves":   {200, cleat.AnswerInfo{Leaving: true}, false},
		"a refusal that names a time":     {503, cleat.AnswerInfo{RetryAfter: time.Second}, false},
		"a refusal for too many requests": {429, cleat.AnswerInfo{RetryAfter: time.Second}, false},
		"a refusal without a time":        {503, cleat.AnswerInfo{}, true},
		"a failure that names a time":     {500, cleat.AnswerInfo{RetryAfter: time.Second}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestRole()
			r.applyUpstreams(&cleat.UpstreamUpdate{Records: []cleat.UpstreamRecord{u}})
			now := r.clock.Now()
			job := &place.Job{ID: 1, Service: "desk", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
			if v, _ := r.submit(job); !v.Placed() {
				t.Fatalf("submit: got %+v, want a placement", v)
			}
			(&exchange{role: r}).recordNotice(u, c.status, c.info)
			if got := r.maySend(job, nil); got != c.sent {
				t.Errorf("maySend: got %v, want %v", got, c.sent)
			}
		})
	}
}

// Connections that wait at the listener are accepted while their answers can still be given.
func TestBusyEntryThatShutsDownAcceptsAll(t *testing.T) {
	cases := map[string]struct {
		lag            time.Duration
		draining, busy bool
	}{
		"with time":               {lagBusy, false, false},
		"short of time":           {lagBusy + time.Millisecond, false, true},
		"short of time, draining": {time.Minute, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestRole()
			r.lag.epoch = time.Now()
			r.lag.highWater.Store(int64(c.lag))
			r.draining.Store(c.draining)
			if got := r.isBusy(); got != c.busy {
				t.Errorf("isBusy: got %v, want %v", got, c.busy)
			}
		})
	}
}
