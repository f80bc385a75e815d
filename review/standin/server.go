package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	ran    bool
	ended  bool // The server wrote its answer.
}

// server is a stand-in server of a plain service. It keeps its id and address over its
// starts, as PROTOCOL.md allows.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration
	clock   func() time.Duration // By how much the time of day of its machine is ahead.

	beatDelay func() time.Duration // By which a heartbeat arrives late.
	isCut     func() bool          // Its calls don't reach control.

	mu       sync.Mutex
	next     int        // The control instance that it calls: first that of its zone, after a failure the next one.
	run      *serverRun // Nil while it is down.
	arrivals []*arrival
}

// serverRun is one incarnation of a server.
type serverRun struct {
	born     int64
	http     *http.Server
	ended    chan struct{}
	stop     chan struct{} // Closed when no more heartbeats are sent.
	stopOnce sync.Once
	mu       sync.Mutex
	sequence uint64
	state    string
	running  int
}

func (w *world) addServer(i int, service string) (*server, error) {
	s := &server{
		w: w, id: fmt.Sprintf("i-%s%d", service, i), service: service, zone: zoneOf(i), slots: 6, work: 60 * time.Millisecond,
		addr: fmt.Sprintf("%s%d:%d", w.prefix, 200+i, w.base+2), clock: func() time.Duration { return 0 },
		beatDelay: func() time.Duration { return 0 }, isCut: func() bool { return false }, next: i % len(w.controls),
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, s.startRun()
}

// startRun starts an incarnation.
func (s *server) startRun() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	run := &serverRun{born: time.Now().Add(s.clock()).UnixMilli(), stop: make(chan struct{}), ended: make(chan struct{}), state: "ready"}
	run.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(run, rw, r) })}
	s.mu.Lock()
	s.run = run
	s.mu.Unlock()
	s.w.notef("server %s starts, born %d", s.id, run.born)
	go func() { _ = run.http.Serve(l) }() // Ends when the incarnation does.
	go s.beat(run)
	return nil
}

// crash ends the incarnation without notice.
func (s *server) crash() {
	s.mu.Lock()
	run := s.run
	s.run = nil
	s.mu.Unlock()
	if run == nil {
		return
	}
	run.stopBeats()
	close(run.ended)
	_ = run.http.Close() // Its connections end whatever the error.
	s.w.notef("server %s ends", s.id)
}

func (r *serverRun) stopBeats() { r.stopOnce.Do(func() { close(r.stop) }) }

// hasStopped reports whether no more heartbeats are sent.
func (r *serverRun) hasStopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// beat announces the incarnation until it ends.
func (s *server) beat(run *serverRun) {
	for {
		go s.announceLate(run)
		select {
		case <-time.After(beatTime):
		case <-run.stop:
			return
		}
	}
}

// announceLate sends a heartbeat after the delay of its way.
func (s *server) announceLate(run *serverRun) {
	body, err := s.heartbeat(run)
	if err != nil {
		return
	}
	if d := s.beatDelay(); d > 0 {
		select {
		case <-time.After(d):
		case <-run.ended:
			return
		}
	}
	_, _ = s.sendBeat(body) // The next heartbeat follows.
}

// announce sends a heartbeat to control instances until one acknowledges it.
func (s *server) announce(run *serverRun) (string, error) {
	body, err := s.heartbeat(run)
	if err != nil {
		return "", err
	}
	return s.sendBeat(body)
}

func (s *server) heartbeat(run *serverRun) ([]byte, error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.sequence++
	return json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": run.state, "cold-remaining-ms": 0,
		"sequence": run.sequence, "born": run.born,
	})
}

func (s *server) sendBeat(body []byte) (string, error) {
	addr, err := s.call(http.MethodPut, body)
	s.w.logf("server %s: heartbeat %s: acknowledged by %q, err %v", s.id, body, addr, err)
	return addr, err
}

// drain announces that the server drains, until a control instance has acknowledged it.
func (s *server) drain() (at time.Time, err error) {
	s.mu.Lock()
	run := s.run
	s.mu.Unlock()
	run.mu.Lock()
	run.state = "draining"
	run.mu.Unlock()
	for range 10 {
		var addr string
		if addr, err = s.announce(run); err == nil {
			s.w.notef("server %s: draining is acknowledged by %s", s.id, addr)
			return time.Now(), nil
		}
	}
	return time.Time{}, err
}

// stopBeats sends no more heartbeats: a server that leaves without draining has begun to leave.
func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run.stopBeats()
}

// awaitBeat returns when the next heartbeat has been sent.
func (s *server) awaitBeat() {
	s.mu.Lock()
	run := s.run
	s.mu.Unlock()
	for last := run.sent(); run.sent() == last; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // Until it has arrived.
}

func (r *serverRun) sent() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// withdraw tells the fleet that the server is gone.
func (s *server) withdraw() error {
	for end := time.Now().Add(10 * time.Second); ; {
		addr, err := s.call(http.MethodDelete, nil)
		if err == nil {
			s.w.notef("server %s: withdrawal is acknowledged by %s", s.id, addr)
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// call calls control. It moves on to the next control instance after a failure or a second
// without an answer, and stays with one that answers.
func (s *server) call(method string, body []byte) (string, error) {
	var err error
	for range s.w.controls {
		s.mu.Lock()
		n, run := s.next, s.run
		s.mu.Unlock()
		if method == http.MethodPut && run != nil && run.hasStopped() {
			return "", errors.New("given up")
		}
		addr, status := s.w.controls[n], 0
		if s.isCut() {
			time.Sleep(callTime)
			err = errors.New("no answer")
		} else if status, _, err = s.w.call(addr, method, "/marigoldcleat/instances/"+s.id, body); err == nil && status < http.StatusMultipleChoices {
			return addr, nil
		}
		s.w.logf("server %s: %s at %s: status %d, err %v", s.id, method, addr, status, err)
		s.mu.Lock()
		if s.next == n {
			s.next = (n + 1) % len(s.w.controls)
		}
		s.mu.Unlock()
	}
	return "", fmt.Errorf("not acknowledged: %w", err)
}

func (s *server) serve(run *serverRun, rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	a := &arrival{id: id, server: s.id, at: time.Now()}
	h := rw.Header()
	h.Set("Attempt-Id", id)
	run.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", run.running, s.slots)
	status := 0
	switch {
	case r.Header.Get("Expect-Instance") != s.id:
		status = http.StatusMisdirectedRequest
	case run.running >= s.slots:
		status = http.StatusServiceUnavailable
	default:
		run.running++
		a.ran = true
	}
	run.mu.Unlock()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.w.logf("server %s: request %s arrives, status %d, Deadline-Ms %s", s.id, id, status, r.Header.Get("Deadline-Ms"))
	h.Set("Server-Load", load)
	if status != 0 {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	defer func() {
		run.mu.Lock()
		run.running--
		run.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(r.Context(), s.work)
	defer cancel()
	<-ctx.Done()
	select {
	case <-run.ended:
		s.w.logf("server %s: request %s is broken off", s.id, id)
		panic(http.ErrAbortHandler)
	default:
	}
	body := "answer of " + s.id + " to " + id
	h.Set("Server-Stamp", "3e1b."+s.id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.mu.Lock()
	a.ended = true
	s.mu.Unlock()
	s.w.logf("server %s: request %s has run", s.id, id)
	_, _ = io.WriteString(rw, body) // The caller may be gone.
}

// arrivalsAfter returns the requests, other than those rejected with 421, that reached
// the server after a time.
func (s *server) arrivalsAfter(t time.Time) []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*arrival
	for _, a := range s.arrivals {
		if a.ran && a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}
