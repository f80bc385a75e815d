package fakes

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// relayMode selects how a relay treats connections and their data.
type relayMode int

const (
	relayForward relayMode = iota
	relayCut               // Connections are closed, new ones as soon as they are accepted.
	relaySilent            // Data is discarded; connections stay open.
)

const relayBufferBytes = 16 << 10

// Relay forwards TCP connections to a target and can close, black-hole or delay them.
type Relay struct {
	listener net.Listener
	target   string
	workers  sync.WaitGroup

	mu       sync.Mutex
	mode     relayMode
	delay    time.Duration
	conns    map[net.Conn]bool
	isClosed bool
}

// StartRelay starts a relay to target, as host:port; Close stops it.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "StartRelay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	r.workers.Go(r.serve)
	return r, nil
}

// Addr returns the address on which the relay listens, as host:port.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut closes all connections and, until Heal, each new one as soon as it is accepted.
func (r *Relay) Cut() {
	r.setMode(relayCut)
	r.closeAll()
}

// Silence discards all data until Heal; connections stay open.
func (r *Relay) Silence() { r.setMode(relaySilent) }

// Heal ends Cut and Silence. It closes all connections, since silenced ones have
// lost data.
func (r *Relay) Heal() {
	r.closeAll()
	r.setMode(relayForward)
}

// SetDelay delays each chunk of data by d.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.isClosed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.closeAll()
	r.workers.Wait()
}

func (r *Relay) setMode(m relayMode) {
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		if !r.track(client, upstream) {
			continue
		}
		r.workers.Go(func() { r.forward(client, upstream) })
		r.workers.Go(func() { r.forward(upstream, client) })
	}
}

func (r *Relay) track(client, upstream net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == relayCut || r.isClosed {
		_ = client.Close()
		_ = upstream.Close()
		return false
	}
	r.conns[client], r.conns[upstream] = true, true
	return true
}

func (r *Relay) forward(from, to net.Conn) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		mode, delay := r.modeAndDelay()
		if mode == relayForward && n > 0 {
			time.Sleep(delay)
			if _, err := to.Write(buf[:n]); err != nil {
				r.untrack(from, to)
				return
			}
		}
		if err != nil && mode == relaySilent {
			// A silenced relay also hides from one side that the other closed its connection.
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

func (r *Relay) modeAndDelay() (relayMode, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.delay
}
