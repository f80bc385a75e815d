package main

import (
	"errors"
	"sync/atomic"
	"time"
)

// playClock lets the time of day of a server's machine step back between two starts of
// the server under its id. The server drains afterwards.
func playClock(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(3, 2, plainConfig()); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := w.addServer(i, "desk"); err != nil {
			return false, err
		}
	}
	w.sleepUntil(5 * time.Second)
	c := w.startClients()

	w.sleepUntil(6 * time.Second)
	s, err := w.addServer(3, "desk")
	if err != nil {
		return false, err
	}
	var ahead atomic.Int64
	s.clock = func() time.Duration { return time.Duration(ahead.Load()) }
	w.sleepUntil(6800 * time.Millisecond)
	if trouble {
		const step = -2400 * time.Millisecond
		ahead.Store(int64(step))
		w.notef("the time of day of the machine of %s steps by %v for 6 s", s.id, step)
		time.AfterFunc(6*time.Second, func() {
			ahead.Store(0)
			w.notef("the time of day of the machine of %s steps back", s.id)
		})
	}
	w.sleepUntil(7 * time.Second)
	s.crash()
	w.sleepUntil(7500 * time.Millisecond)
	if err := s.startRun(); err != nil {
		return false, err
	}

	w.sleepUntil(16 * time.Second) // The clock is right again; all are in touch.
	if n := len(s.arrivalsAfter(w.start.Add(12 * time.Second))); n == 0 {
		return false, errors.New("the server got no requests after its restart")
	}
	acked, err := s.drain()
	if err != nil {
		return false, err
	}
	time.Sleep(drainTime + 4*time.Second) // It serves on for a little longer.
	late := s.arrivalsAfter(acked.Add(drainTime))
	if err := s.withdraw(); err != nil {
		return false, err
	}
	s.crash()
	time.Sleep(time.Second)
	c.stopAll()
	w.noteFailed()
	w.notef("%d requests reached %s later than %v after its draining was acknowledged", len(late), s.id, drainTime)
	return len(late) > 0, nil
}
