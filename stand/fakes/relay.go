package fakes

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// relayMode is what a relay does with bytes and connections.
type relayMode int

const (
	relayForward relayMode = iota
	relayCut
	relaySilent
)

const relayBufferBytes = 16 << 10

// Relay forwards TCP connections to a target and can cut, silence or slow them.
type Relay struct {
	listener net.Listener
	target   string
	workers  sync.WaitGroup

	mu    sync.Mutex
	mode  relayMode
	delay time.Duration
	conns map[net.Conn]bool
	ended bool
}

// StartRelay starts a relay to target, as host:port; Close ends it.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "StartRelay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	r.workers.Go(r.serve)
	return r, nil
}

// Addr returns where the relay accepts connections, as host:port.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut closes all connections and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.set(relayCut)
	r.closeAll()
}

// Silence swallows all bytes until Heal; connections stay open.
func (r *Relay) Silence() { r.set(relaySilent) }

// Heal forwards again; silenced connections, which lost bytes, are closed.
func (r *Relay) Heal() {
	r.closeAll()
	r.set(relayForward)
}

// Delay makes each piece of data wait for d before it passes on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.closeAll()
	r.workers.Wait()
}

func (r *Relay) set(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) serve() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		if !r.track(a, b) {
			continue
		}
		r.workers.Go(func() { r.forward(a, b) })
		r.workers.Go(func() { r.forward(b, a) })
	}
}

func (r *Relay) track(a, b net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == relayCut || r.ended {
		_ = a.Close()
		_ = b.Close()
		return false
	}
	r.conns[a], r.conns[b] = true, true
	return true
}

func (r *Relay) forward(from, to net.Conn) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		mode, delay := r.present()
		if mode == relayForward && n > 0 {
			time.Sleep(delay)
			if _, err := to.Write(buf[:n]); err != nil {
				r.untrack(from, to)
				return
			}
		}
		if err != nil && mode == relaySilent {
			// A silent cut hides that the other side went away, too.
			r.untrack(from)
			return
		}
		if err != nil {
			r.untrack(from, to)
			return
		}
	}
}

func (r *Relay) untrack(conns ...io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c.(net.Conn))
	}
}

func (r *Relay) present() (relayMode, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.delay
}
