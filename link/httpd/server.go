package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultHeadTimeout   = 10 * time.Second
	DefaultIdleTimeout   = 20 * time.Second
	DefaultLingerTimeout = 500 * time.Millisecond // A few round trips to distant callers.
	DefaultMaxHeadBytes  = 64 << 10
	DefaultMaxDrainBytes = 256 << 10
	DefaultMaxPending    = 64
)

// Config holds the settings of a Server.
type Config struct {
	HeadTimeout   time.Duration // Time from the first byte of a request to the end of its head.
	IdleTimeout   time.Duration // Time that a connection may stay open without a request.
	LingerTimeout time.Duration // Time to read the rest of a request before the connection is closed.
	MaxHeadBytes  int64         // Maximum size of a request's head; a few KiB more may pass, because reads are buffered.
	MaxDrainBytes int64         // Limit on the unread body bytes that are discarded to keep the connection open.
	MaxPending    int           // Accepted connections that no worker has started to serve; further ones stay in the listener's queue.
	Budget        *Budget       // What callers make the process hold; shared by its servers, nil for one with defaults.
	Busy          func() bool   // Whether the process is so short of processor time that few connections are served; nil for never.

	// RetryAfter returns when a caller that is turned away may try again; nil for no statement.
	RetryAfter func() time.Duration

	// Screen decides on a caller that would be turned away, given the head of its request,
	// which has not been parsed; nil to turn away all. It is called for each caller of a
	// crowd, and has to return at once. Calls don't overlap unless Serve is called twice.
	Screen func(head []byte) Screening
}

// Screening is what a busy server does with a new connection.
type Screening uint8

// Values of Screening.
const (
	ScreenTurnAway Screening = iota // Answer 503, and let the caller try again.
	ScreenServe                     // Serve the connection, if the pace of accepts allows it.
	ScreenDenyKey                   // Answer 401: no server would serve the request.
)

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.HeadTimeout, DefaultHeadTimeout)
	cleat.SetDefault(&c.IdleTimeout, DefaultIdleTimeout)
	cleat.SetDefault(&c.LingerTimeout, DefaultLingerTimeout)
	cleat.SetDefault(&c.MaxHeadBytes, int64(DefaultMaxHeadBytes))
	cleat.SetDefault(&c.MaxDrainBytes, int64(DefaultMaxDrainBytes))
	cleat.SetDefault(&c.MaxPending, DefaultMaxPending)
}

// Validate returns a trace.BadParameter error if a field is negative.
func (c *Config) Validate() error {
	if c.HeadTimeout < 0 || c.IdleTimeout < 0 || c.LingerTimeout < 0 || c.MaxHeadBytes < 0 || c.MaxDrainBytes < 0 || c.MaxPending < 0 {
		return trace.BadParameter("httpd.Config: a timeout or bound is negative")
	}
	return nil
}

// Handler answers one request. Neither w nor the request may be used after it returns.
// It may panic with http.ErrAbortHandler to abort the answer.
type Handler func(w *Response, req *http.Request)

// maxIdleWorkers bounds the worker goroutines that wait for another connection.
const maxIdleWorkers = 64

// Server accepts connections and serves the requests on them.
type Server struct {
	cfg         Config
	handler     Handler
	log         *log.Logger
	accepted    chan incoming // Hands accepted connections to idle workers.
	pending     chan struct{} // Has an element for each accepted connection that no worker has started to serve.
	idleWorkers atomic.Int64  // Workers that wait for a connection.
	acceptedN   atomic.Int64  // Connections accepted since the start.
	failedN     atomic.Int64  // Failed accepts since the start.
	turnedN     atomic.Int64  // Connections turned away since the start.
	deniedN     atomic.Int64  // Those of them whose key was denied.
	abandonedN  atomic.Int64  // Connections that callers had closed before their first request was served.
	closing     atomic.Bool
	quit        chan struct{} // Closed by Shutdown; ends idle workers.
	received    []byte        // What is received from callers that are turned away; used by Serve.

	mu         sync.Mutex
	listeners  []net.Listener
	conns      map[*conn]struct{}
	connClosed chan struct{} // Signaled when a connection ends during a shutdown.
}

// New returns a server that passes requests to handler.
func New(cfg Config, handler Handler, logger *log.Logger) (*Server, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Budget == nil {
		var err error
		if cfg.Budget, err = NewBudget(BudgetConfig{}); err != nil {
			return nil, err
		}
	}
	return &Server{
		cfg: cfg, handler: handler, log: logger, accepted: make(chan incoming), quit: make(chan struct{}),
		conns: make(map[*conn]struct{}), connClosed: make(chan struct{}, 1), pending: make(chan struct{}, cfg.MaxPending),
		received: make([]byte, screenBytes),
	}, nil
}

// Listen binds an address for Serve, as host:port. Accepted connections send no
// TCP keep-alive probes: idle connections and answers have time limits anyway.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "httpd.Listen")
	}
	if err := setBacklog(l, maxBacklog); err != nil {
		return nil, trace.NewAggregate(trace.Wrap(err, "httpd.Listen"), l.Close())
	}
	return l, nil
}

// maxBacklog bounds the connections that wait to be accepted, as far as the system keeps
// to it; see queueWatch.
const maxBacklog = 128

// setBacklog sets the length of a listener's queue.
func setBacklog(l net.Listener, n int) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// Conns returns how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Accepted returns how many connections were accepted since the start.
func (s *Server) Accepted() int64 { return s.acceptedN.Load() }

// AcceptFailures returns how many accepts failed since the start, for example for lack
// of file descriptors.
func (s *Server) AcceptFailures() int64 { return s.failedN.Load() }

// Abandoned returns how many connections since the start ended without a request, or were
// closed by their callers before their first request was served. The latter are seen only
// while the server is busy.
func (s *Server) Abandoned() int64 { return s.abandonedN.Load() }

// Bounds of the back-off after a failed accept, for example for lack of file descriptors.
const minAcceptBackoff, maxAcceptBackoff = 5 * time.Millisecond, time.Second

// Serve accepts connections until the listener is closed; it returns nil when
// Shutdown closed it, or was called before.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	closed := s.closing.Load()
	s.mu.Unlock()
	if closed {
		return trace.Wrap(l.Close(), "Server.Serve")
	}
	backoff, queue := time.Duration(0), &queueWatch{}
	for {
		if s.awaitTime(l, queue) {
			continue
		}
		c, err := l.Accept()
		var netErr net.Error
		switch {
		case err == nil:
			backoff = 0
			s.acceptedN.Add(1)
			s.pending <- struct{}{}
			s.dispatchConn(incoming{Conn: c})
		case s.closing.Load():
			return nil
		case errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed):
			s.failedN.Add(1)
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			s.log.Warn("connection not accepted", "err", err, "retry_in", backoff)
			time.Sleep(backoff)
		default:
			return trace.Wrap(err, "Server.Serve")
		}
	}
}

// incoming is an accepted connection.
type incoming struct {
	net.Conn
	received []byte // Already received from it.
}

// dispatchConn hands a connection to an idle worker, or to a new one.
func (s *Server) dispatchConn(c incoming) {
	select {
	case s.accepted <- c:
	default:
		go s.runWorker(c)
	}
}

// runWorker serves connections one after another, reusing its stack and buffers.
func (s *Server) runWorker(c incoming) {
	w := newConn(s)
	for {
		<-s.pending
		w.reset(c)
		if s.cfg.Budget.add(time.Now(), w) {
			s.addConn(w)
			w.serve()
			s.removeConn(w)
			s.cfg.Budget.remove(w)
		} else {
			w.close()
		}
		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)
			return
		}
		select {
		case c = <-s.accepted:
			s.idleWorkers.Add(-1)
		case <-s.quit:
			return
		}
	}
}

func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closing.Load() {
		select {
		case s.connClosed <- struct{}{}:
		default:
		}
	}
}

// Shutdown stops accepting, closes connections without a request and waits for the
// others to end. If ctx ends first, it closes them as well and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.closing.Swap(true) {
		close(s.quit)
	}
	s.mu.Lock()
	for _, l := range s.listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("listener not closed", "err", err)
		}
	}
	s.mu.Unlock()
	for s.closeConns(false) > 0 {
		select {
		case <-s.connClosed:
		case <-ctx.Done():
			s.closeConns(true)
			return ctx.Err()
		}
	}
	return nil
}

// closeConns closes the connections without a request, or all of them, and returns
// how many have not ended yet.
func (s *Server) closeConns(all bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// A request that has arrived but was not read yet is answered first.
		if all || (c.idle.Load() && !hasUnread(c.net)) {
			c.close()
		}
	}
	return len(s.conns)
}
