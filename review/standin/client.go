package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client, and what it got.
type attempt struct {
	id     string
	entry  *process
	path   string
	at     time.Time
	status int // Zero without an answer.
	body   string
	err    error
}

// clients send requests to the entries until they are stopped.
type clients struct {
	w       *world
	clients map[*process]*http.Client // Connections are kept.
	wg      sync.WaitGroup
	stop    chan struct{}
}

func (w *world) newClients() *clients {
	c := &clients{w: w, clients: make(map[*process]*http.Client), stop: make(chan struct{})}
	for _, p := range w.procsOf("entry") {
		c.clients[p] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 30, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
	}
	return c
}

// send sends one request to an entry.
func (c *clients) send(p *process, path string, deadline time.Duration) *attempt {
	w := c.w
	w.mu.Lock()
	w.lastID++
	a := &attempt{id: fmt.Sprintf("%016x", w.lastID), entry: p, path: path, at: time.Now()}
	w.attempts[a.id] = a
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", p.ip, w.base+2, path), strings.NewReader("body of "+a.id))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // The transport must not send a request again by itself.
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	w.logf("client: request %s to %s%s", a.id, p.name, path)
	resp, err := c.clients[p].Do(req)
	if err != nil {
		a.err = err
		w.logf("client: request %s: no answer: %v", a.id, err)
		return a
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.status, a.body, a.err = resp.StatusCode, string(b), err
	w.logf("client: request %s: answered %d %q, err %v", a.id, a.status, strings.TrimSpace(a.body), err)
	return a
}

// every sends requests to an entry at random intervals until stopAll.
func (c *clients) every(mean time.Duration, p *process, path string, deadline time.Duration) {
	c.wg.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration(c.w.intn(int(2 * mean)))):
				c.wg.Go(func() { c.send(p, path, deadline) })
			}
		}
	})
}

func (c *clients) stopAll() {
	close(c.stop)
	c.wg.Wait()
}
