package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBody     = 4 << 20 // max-body-bytes
	uploads     = 60
	uploadPause = 10 * time.Millisecond // Between parts of 64 KiB: about 50 Mbit/s for a client.
	entryMemory = 134                   // memory-mb of an entry
)

// playBodies lets clients send long bodies in chunks, all at once, to one entry. The platform
// kills a process that uses more memory than it has.
func playBodies(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(3, 2, plainConfig()); err != nil {
		return false, err
	}
	for i := range 4 {
		s, err := w.addServer(i, "desk")
		if err != nil {
			return false, err
		}
		s.work, s.slots = 450*time.Millisecond, 24
	}
	w.sleepUntil(6 * time.Second)
	entry := w.procsOf("entry")[0]
	if err := entry.restartSettings(); err != nil {
		return false, err
	}
	var killed atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	go entry.watchMemory(entryMemory<<20, &killed, stop)

	// Other clients use kept connections meanwhile.
	c := w.newClients()
	var wg sync.WaitGroup
	end := w.start.Add(21 * time.Second)
	for range 50 {
		wg.Go(func() {
			for time.Now().Before(end) {
				if a := c.send(entry, "/pay/1", 4*time.Second); a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for _, at := range []time.Duration{9 * time.Second, 15 * time.Second} {
		w.sleepUntil(at)
		for range uploads {
			if trouble {
				wg.Go(func() { w.upload(entry) })
			}
		}
		w.notef("%d clients send bodies of %d bytes in chunks: %v", uploads, maxBody, trouble)
	}
	wg.Wait()
	ran, lost := 0, 0
	for _, s := range w.servers {
		for _, a := range s.arrivalsAfter(w.start) {
			t := w.attempts[a.id]
			if t == nil {
				continue
			}
			ran++
			if t.status == 0 && !errors.Is(t.err, context.DeadlineExceeded) {
				lost++
				w.notef("request %s on a kept connection was passed on to %s at %.3f, and got no answer: %v", a.id, s.id, a.at.Sub(w.start).Seconds(), t.err)
			}
		}
	}
	w.notef("the entry was killed %d times for its memory", killed.Load())
	w.notef("%d requests on kept connections were passed on to servers, %d of them got no answer (3 are allowed)", ran, lost)
	return lost > 3, nil
}

// upload sends one long body in chunks.
func (w *world) upload(p *process) {
	w.mu.Lock()
	w.lastID++
	id := fmt.Sprintf("%016x", w.lastID)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, pw := io.Pipe()
	go func() {
		part := bytes.Repeat([]byte("x"), 64<<10)
		for range maxBody / len(part) {
			if _, err := pw.Write(part); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		_ = pw.Close()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/pay/1", p.ip, w.base+2), r)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "4000")
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	_ = r.Close()
	if err != nil {
		w.logf("upload %s: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	w.logf("upload %s: answered %d", id, resp.StatusCode)
}

// watchMemory kills the process when it uses more than limit bytes.
func (p *process) watchMemory(limit int64, killed *atomic.Int64, stop chan struct{}) {
	most := int64(0)
	for {
		select {
		case <-stop:
			p.w.logf("%s used %d bytes at most", p.name, most)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := p.residentBytes()
		if most = max(most, used); used <= limit {
			continue
		}
		p.kill()
		p.w.notef("%s used %d bytes of %d and is killed", p.name, used, limit)
		killed.Add(1)
		time.Sleep(500 * time.Millisecond)
		_ = p.start() // Its end is seen in the result.
	}
}

// residentBytes returns the memory that the process uses, without what it maps of files.
func (p *process) residentBytes() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0 // It has ended.
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}
