package main

import (
	"errors"
	"sync/atomic"
	"time"
)

// playExpire lets the fleet run for more than a minute. Then a server is partitioned from
// control for a few seconds, and leaves meanwhile without draining first.
func playExpire(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(3, 2, plainConfig()); err != nil {
		return false, err
	}
	for i := range 4 {
		if _, err := w.addServer(i, "desk"); err != nil {
			return false, err
		}
	}
	s := w.servers[3]
	var cut atomic.Bool
	s.isCut = cut.Load
	w.sleepUntil(60 * time.Second)
	c := w.startClients()
	w.sleepUntil(67500 * time.Millisecond)
	if trouble {
		cut.Store(true)
		w.notef("%s is cut off from control", s.id)
		time.AfterFunc(3*time.Second, func() {
			cut.Store(false)
			w.notef("%s reaches control again", s.id)
		})
	}
	w.sleepUntil(69 * time.Second)
	s.stopBeats()
	w.notef("%s begins to leave", s.id)
	if err := s.withdraw(); err != nil {
		return false, err
	}
	return w.watchLeft(c, s)
}

// startClients sends requests to both routes through all entries.
func (w *world) startClients() *clients {
	c := w.newClients()
	for _, p := range w.procsOf("entry") {
		c.every(100*time.Millisecond, p, "/pay/1", 4*time.Second)
		c.every(100*time.Millisecond, p, "/look/1", 4*time.Second)
	}
	return c
}

// watchLeft lets a server whose withdrawal was just acknowledged serve on for some seconds.
// It reports whether requests reach it after the time that the rule allows, while all
// control instances and entries are in touch.
func (w *world) watchLeft(c *clients, s *server) (bool, error) {
	acked := time.Now()
	if len(s.arrivalsAfter(acked.Add(-2*time.Second))) == 0 {
		return false, errors.New("the server got no requests before it left")
	}
	time.Sleep(drainTime + 6*time.Second)
	late := s.arrivalsAfter(acked.Add(drainTime))
	s.crash()
	time.Sleep(500 * time.Millisecond)
	c.stopAll()
	w.noteFailed()
	w.notef("%d requests reached %s later than %v after its withdrawal was acknowledged", len(late), s.id, drainTime)
	return len(late) > 0, nil
}

// noteFailed notes the requests that got no answer of a server and no promise that they
// have not run.
func (w *world) noteFailed() {
	w.mu.Lock()
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	w.mu.Unlock()
	failed := 0
	for _, a := range list {
		if a.status == 502 || a.status == 504 || a.err != nil {
			failed++
			w.logf("request %s (%s at %s) got %d, err %v", a.id, a.path, a.entry.name, a.status, a.err)
		}
	}
	w.notef("%d requests were sent, %d of them got 502, 504 or no answer", len(list), failed)
}
