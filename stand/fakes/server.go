package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// DefaultAnnounceInterval is the default time between announcements of a stand-in.
const DefaultAnnounceInterval = time.Second

const postTimeout = 2 * time.Second

// server is the HTTP server and the announcement loop that both stand-ins embed.
type server struct {
	listener net.Listener
	http     *http.Server
	agentURL string
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup

	mu      sync.Mutex
	leaving bool
}

func newServer(addr, agentURL string, h http.Handler) (*server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "newServer: %s", addr)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &server{listener: l, agentURL: agentURL, ctx: ctx, stop: stop}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	return s, nil
}

// URL returns the base URL of the stand-in.
func (s *server) URL() string { return "http://" + s.listener.Addr().String() }

// AnnounceLeaving marks the stand-in as leaving in the following announcements.
func (s *server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Close stops the stand-in at once and closes the connections of its running requests.
func (s *server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	_ = s.http.Close()
	s.workers.Wait()
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *server) start(interval time.Duration, announce func()) {
	s.workers.Go(func() { _ = s.http.Serve(s.listener) })
	if s.agentURL == "" {
		return
	}
	s.workers.Go(func() { s.runEvery(interval, announce) })
}

// runEvery calls f at once and then every interval until the stand-in closes.
func (s *server) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// runAfter calls f in a worker after delay unless the stand-in closes first.
func (s *server) runAfter(delay time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.workers.Go(func() {
		if sleep(s.ctx, delay) {
			f()
		}
	})
}

// post sends v as JSON to the agent. Callers don't retry a failed post: a later
// message makes up for a lost one.
func (s *server) post(path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(s.ctx, postTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.agentURL+path, bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		err = errors.New(resp.Status)
	}
	return trace.NewAggregate(err, resp.Body.Close())
}

func (s *server) announcement(id cleat.UpstreamID, kind cleat.UpstreamKind, models []cleat.ModelID) cleat.Announcement {
	return cleat.Announcement{Upstream: id, Kind: kind, Models: models, Address: s.URL(), Leaving: s.isLeaving()}
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
