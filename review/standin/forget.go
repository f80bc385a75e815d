package main

import (
	"sync/atomic"
	"time"
)

// playForget kills all control instances at once and starts them again within a second. A
// server whose heartbeats arrive late leaves when they are back and in touch.
func playForget(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(3, 2, plainConfig()); err != nil {
		return false, err
	}
	var late atomic.Int64
	for i := range 4 {
		s, err := w.addServer(i, "desk")
		if err != nil {
			return false, err
		}
		if i == 3 {
			s.beatDelay = func() time.Duration { return time.Duration(late.Load()) }
		}
	}
	s := w.servers[3]
	w.sleepUntil(6 * time.Second)
	c := w.startClients()
	w.sleepUntil(9 * time.Second)
	s.awaitBeat()
	const delay = 4 * time.Second
	late.Store(int64(delay))
	w.notef("heartbeats of %s arrive %v late", s.id, delay)
	killAt := time.Since(w.start) + 100*time.Millisecond
	for _, p := range w.procsOf("control") {
		if err := p.restartSettings(); err != nil {
			return false, err
		}
	}
	w.sleepUntil(killAt)
	if trouble {
		for _, p := range w.procsOf("control") {
			p.kill()
			w.notef("%s is killed", p.name)
		}
		w.sleepUntil(killAt + 900*time.Millisecond)
		for _, p := range w.procsOf("control") {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	w.sleepUntil(killAt + time.Second + contactTime + 200*time.Millisecond)
	s.stopBeats()
	if err := s.withdraw(); err != nil {
		return false, err
	}
	return w.watchLeft(c, s)
}
