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
	maxHandshakes = 128
	acceptPause   = 50 * time.Millisecond // After a connection that could not be accepted.
)

// Server accepts links.
type Server struct {
	cfg      Config
	self     Identity
	handler  cleat.LinkHandler
	log      *log.Logger
	listener net.Listener
	slots    chan struct{} // Bounds connections that have not proved themselves.
	workers  sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]*Conn // Nil until the hello is done.
	closed bool
}

// Listen binds addr, as host:port; Serve then accepts links.
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
		slots: make(chan struct{}, maxHandshakes),
		conns: make(map[net.Conn]*Conn),
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
			// Descriptors or memory are short: links that stand go on, and new ones may come later.
			s.log.Warn("link not accepted", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.slots <- struct{}{}
		if !s.track(conn) {
			_ = conn.Close()
			return nil
		}
		go s.serve(conn)
	}
}

// Shutdown stops accepting, closes all links and waits for their handlers or ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.listener.Close()
	s.closeAll()
	ended := make(chan struct{})
	go func() {
		s.workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
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

func (s *Server) serve(raw net.Conn) {
	defer s.untrack(raw)
	h, err := s.hello(raw)
	<-s.slots
	if err != nil {
		s.cfg.Counters.refused.Add(1)
		s.log.Warn("refused a link", "remote", raw.RemoteAddr(), "err", err)
		_ = raw.Close()
		return
	}
	c := newConn(s.cfg, h.conn, h.r, h.peer.Peer, s.handler)
	if !s.admit(raw, c) {
		_ = raw.Close()
		return
	}
	s.log.Debug("link up", "peer", c.peer.Instance)
	err = c.run()
	s.log.Debug("link down", "peer", c.peer.Instance, "err", err)
}

func (s *Server) admit(raw net.Conn, c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[raw] = c
	return !s.closed
}

func (s *Server) hello(raw net.Conn) (*handshake, error) {
	conn := raw
	if s.cfg.TLS != nil {
		conn = tls.Server(raw, s.cfg.TLS)
	}
	h, err := newHandshake(s.cfg, conn, s.self())
	if err != nil {
		return nil, err
	}
	return h, h.accept()
}
