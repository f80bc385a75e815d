package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call sends one call to a control instance over a new connection.
func call(address, method, path string, body []byte) (status int, answer string) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(b))
}

// callAny calls control instances in turn until one acknowledges.
func callAny(addresses []string, method, path string, body []byte) (acknowledged bool, last string) {
	for _, a := range addresses {
		status, answer := call(a, method, path, body)
		last = fmt.Sprintf("%s answers %d %s", a, status, answer)
		if status >= 200 && status < 300 {
			return true, last
		}
	}
	return false, last
}

// configuration returns a configuration with a safe route to the service "desk".
func configuration(version int) []byte {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-look", "host": "shop.example", "path-prefix": "/look/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2,
				"service": "desk", "max-attempts": 2, "public": false, "sticky": false, "resumable": false,
			},
		},
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tokens-per-s": 180000,
		},
		"tenants": []map[string]any{{"name": "club", "api-keys": []string{"key-of-the-club"}, "priority": 1}},
	})
	if err != nil {
		panic(err) // The document is fixed.
	}
	return b
}

// order sends the operator's configuration, and the same again until a control instance
// acknowledges it or the time is over.
func (w *world) order(version int, until time.Time) (acknowledged bool) {
	w.note("the operator sends configuration %d", version)
	body := configuration(version)
	for tries := 1; ; tries++ {
		ok, last := callAny(w.seeds(), http.MethodPut, "/marigoldcleat/config", body)
		if ok {
			w.note("acknowledged at try %d: %s", tries, last)
			return true
		}
		if tries == 1 || tries%10 == 0 || !time.Now().Before(until) {
			w.note("no acknowledgement at try %d: %s", tries, last)
		}
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// server is a sound server of the service "desk".
type server struct {
	world    *world
	id       string
	listener net.Listener
	http     *http.Server
	born     int64

	mu       sync.Mutex
	sequence int
	draining bool
	silent   bool // It sends no heartbeats of its own any more.
	ran      []time.Time
}

// startServer starts a server at an address, and its heartbeats unless it is cut off.
func (w *world) startServer(id, address string, cutOff bool) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{world: w, id: id, listener: l, born: time.Now().UnixMilli(), silent: cutOff}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // Ends with the case.
	go s.beatLoop()
	return s, nil
}

// heartbeat returns the next heartbeat.
func (s *server) heartbeat() []byte { return encode(s.fields()) }

// fields returns the fields of the next heartbeat.
func (s *server) fields() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"service": "desk", "address": s.listener.Addr().String(), "zone": "a", "version": "v1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

func encode(fields map[string]any) []byte {
	b, err := json.Marshal(fields)
	if err != nil {
		panic(err) // The fields are plain.
	}
	return b
}

// drain makes the server announce that it drains. It reports whether a control instance
// acknowledged that.
func (s *server) drain() (acknowledged bool, last string) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return callAny(s.world.seeds(), http.MethodPut, s.path(), s.heartbeat())
}

func (s *server) path() string { return "/marigoldcleat/instances/" + s.id }

func (s *server) beatLoop() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		callAny(s.world.seeds(), http.MethodPut, s.path(), s.heartbeat())
		time.Sleep(beatTime)
	}
}

// crash ends the server with its heartbeats and connections.
func (s *server) crash() {
	s.stopBeats()
	_ = s.http.Close()
}

// stopBeats ends the heartbeats.
func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// ServeHTTP runs a request, unless it names another server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	h.Set("Server-Load", "1,0,6")
	if named := r.Header.Get("Expect-Instance"); named != "" && named != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran = append(s.ran, time.Now())
	s.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	h.Set("Server-Stamp", "stamp-"+s.id)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id")) // The entry may have left.
}

// ranBetween returns how many requests the server began to run in a time.
func (s *server) ranBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.ran {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// tally counts what clients got.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[what]++
}

// startClients sends requests to the entries in turn until stop is closed, each over a new
// connection.
func (w *world) startClients(clients int, stop <-chan struct{}) *tally {
	t := &tally{counts: make(map[string]int)}
	for c := range clients {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				t.add(w.request(w.entries[(c+n)%len(w.entries)], fmt.Sprintf("%08x%08x", c+1, n)))
			}
		}()
	}
	return t
}

// clientDeadline is how long clients wait.
const clientDeadline = 4 * time.Second

// newRequest returns a client's request to an entry.
func newRequest(entry *process, id string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.address(frontPort)+"/look/1", nil)
	if err != nil {
		return nil, err
	}
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer key-of-the-club")
	return req, nil
}

// request sends one request to an entry and returns how it ended.
func (w *world) request(entry *process, id string) string {
	client := http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := newRequest(entry, id)
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return strconv.Itoa(resp.StatusCode)
}
