package wire

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Dialer maintains one link to each address of a changing set and reconnects with a backoff.
type Dialer struct {
	cfg     Config
	self    Identity
	handler cleat.LinkHandler
	log     *log.Logger
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// NewDialer returns a dialer without links. It applies Defaults to cfg, which must then pass
// Validate; NewDialer does not check this.
func NewDialer(cfg Config, self func() cleat.Peer, h cleat.LinkHandler, logger *log.Logger) *Dialer {
	cfg.Defaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Dialer{
		cfg: cfg, self: self, handler: h, log: logger,
		ctx: ctx, stop: stop, cancels: make(map[string]context.CancelFunc),
	}
}

// Counters returns the traffic counters.
func (d *Dialer) Counters() *Counters { return d.cfg.Counters }

// AddAddress keeps one link to addr (host:port) open until RemoveAddress or Close is called.
func (d *Dialer) AddAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.cancels[addr]; ok || d.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancels[addr] = cancel
	d.workers.Go(func() { d.maintainLink(ctx, addr) })
}

// RemoveAddress closes the link to addr and stops reconnecting to it.
func (d *Dialer) RemoveAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel, ok := d.cancels[addr]; ok {
		cancel()
		delete(d.cancels, addr)
	}
}

// Close closes all links and waits for their handlers.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	d.workers.Wait()
}

func (d *Dialer) maintainLink(ctx context.Context, addr string) {
	backoff := d.cfg.MinBackoff
	for attempt := 0; ctx.Err() == nil; attempt++ {
		started := time.Now()
		err := d.connect(ctx, addr, attempt > 0)
		if ctx.Err() != nil {
			return
		}
		d.log.Debug("link down; reconnecting after backoff", "addr", addr, "err", err)
		// An attempt or link that lasted longer than MaxBackoff resets the backoff.
		if time.Since(started) > d.cfg.MaxBackoff {
			backoff = d.cfg.MinBackoff
		}
		if !sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, d.cfg.MaxBackoff)
	}
}

// connect dials once and serves the link until it goes down.
func (d *Dialer) connect(ctx context.Context, addr string, reconnect bool) error {
	h, err := d.openHandshake(ctx, addr)
	if err != nil {
		return trace.Wrap(err, "Dialer.connect: %s", addr)
	}
	if reconnect {
		d.cfg.Counters.reconnections.Add(1)
	}
	c := newConn(d.cfg, h.conn, h.r, h.peer.Peer, d.handler)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	return c.run()
}

func (d *Dialer) openHandshake(ctx context.Context, addr string) (*handshake, error) {
	conn, err := d.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	h, err := newHandshake(d.cfg, conn, d.self())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := h.runDialer(); err != nil {
		_ = conn.Close()
		if ctx.Err() == nil {
			d.cfg.Counters.refusedHellos.Add(1)
			d.log.Warn("hello failed", "addr", addr, "err", err)
		}
		return nil, err
	}
	return h, nil
}

func (d *Dialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: d.cfg.DialTimeout}
	if d.cfg.TLS == nil {
		return dialer.DialContext(ctx, "tcp", addr)
	}
	td := &tls.Dialer{NetDialer: dialer, Config: d.cfg.TLS}
	return td.DialContext(ctx, "tcp", addr)
}

// jitter returns a random delay between half of the backoff and all of it, so that
// processes don't reconnect at the same moment.
func jitter(backoff time.Duration) time.Duration {
	return backoff/2 + rand.N(backoff/2+1)
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
