package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	maxPendingHandshakes = 128
	acceptRetryDelay     = 50 * time.Millisecond // Wait after a failed accept.
)

// Server accepts links from dialers.
type Server struct {
	cfg            Config
	self           Identity
	handler        cleat.LinkHandler
	log            *log.Logger
	listener       net.Listener
	handshakeSlots chan struct{} // Bounds connections that are not authenticated yet.
	workers        sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]*Conn // The Conn is nil until the hello is done.
	closed bool
}

// Listen binds addr (host:port); Serve then accepts links.
func Listen(cfg Config, addr string, self func() cleat.Peer, h cleat.LinkHandler, logger *log.Logger) (*Server, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "Listen")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "Listen: %s", addr)
	}
	return &Server{
		cfg: cfg, self: self, handler: h, log: logger, listener: listener,
		handshakeSlots: make(chan struct{}, maxPendingHandshakes),
		conns:          make(map[net.Conn]*Conn),
	}, nil
}

// Addr returns the bound address, as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counters returns the traffic counters.
func (s *Server) Counters() *Counters { return s.cfg.Counters }

// Serve accepts links until Shutdown; it then returns nil.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors or memory: established links continue, and accepting is retried.
			s.log.Warn("accepting a connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.handshakeSlots <- struct{}{}
		if !s.track(conn) {
			_ = conn.Close()
			return nil
		}
		go s.serveConn(conn)
	}
}

// Shutdown stops accepting, closes all links and waits until their handlers have
// returned or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.listener.Close()
	s.closeAll()
	workersDone := make(chan struct{})
	go func() {
		s.workers.Wait()
		close(workersDone)
	}()
	select {
	case <-workersDone:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "Server.Shutdown")
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for raw, c := range s.conns {
		if c == nil {
			_ = raw.Close()
			continue
		}
		_ = c.Close()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = nil
	s.workers.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.workers.Done()
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.untrack(raw)
	h, err := s.acceptHandshake(raw)
	<-s.handshakeSlots
	if err != nil {
		s.cfg.Counters.refusedHellos.Add(1)
		s.log.Warn("link refused", "remote", raw.RemoteAddr(), "err", err)
		_ = raw.Close()
		return
	}
	c := newConn(s.cfg, h.conn, h.r, h.peer.Peer, s.handler)
	if !s.registerConn(raw, c) {
		_ = raw.Close()
		return
	}
	s.log.Debug("link up", "peer", c.peer.Instance)
	err = c.run()
	s.log.Debug("link down", "peer", c.peer.Instance, "err", err)
}

// registerConn records c, so that closeAll flushes it; it returns false when the server is closed.
func (s *Server) registerConn(raw net.Conn, c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[raw] = c
	return !s.closed
}

func (s *Server) acceptHandshake(raw net.Conn) (*handshake, error) {
	conn := raw
	if s.cfg.TLS != nil {
		conn = tls.Server(raw, s.cfg.TLS)
	}
	h, err := newHandshake(s.cfg, conn, s.self())
	if err != nil {
		return nil, err
	}
	return h, h.runAccepter()
}
