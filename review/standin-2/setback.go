package main

import (
	"fmt"
	"time"
)

// setBack is by how much a machine's clock is set back, and drains how long a server goes on
// serving after it announced that it drains.
const (
	setBack = 2400 * time.Millisecond
	drains  = 9 * time.Second
)

// playSetBack lets a server crash while all control instances are killed, and start again under
// its id after its machine's clock was set back. Later it drains. It must get no request later
// than drain-ms after a control instance has acknowledged that.
func playSetBack(w *world) (bool, error) {
	if err := w.start(true, append(w.controls, w.entries...)...); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !w.order(1, time.Now().Add(10*time.Second)) {
		return false, errNoConfiguration
	}
	for i, id := range []string{"i-two", "i-three"} {
		s, err := w.startServer(id, fmt.Sprintf("%s%d:0", w.prefix, 201+i), 0)
		if err != nil {
			return false, err
		}
		defer s.http.Close()
	}
	stop := make(chan struct{})
	clients := w.startClients(6, stop)
	defer close(stop)
	time.Sleep(2 * contactTime)
	first, err := w.startServer("i-one", fmt.Sprintf("%s200:0", w.prefix), 0)
	if err != nil {
		return false, err
	}
	defer first.http.Close()
	address := first.listener.Addr().String()
	w.note("i-one starts at %s, born %d", address, first.born)
	time.Sleep(800 * time.Millisecond)
	first.crash()
	w.note("i-one crashes, with %d requests run", first.ranBetween(w.started, time.Now()))
	behind := time.Duration(0)
	if w.trouble {
		behind = setBack
		w.kill(w.controls...)
		time.Sleep(700 * time.Millisecond)
		if err := w.start(false, w.controls...); err != nil {
			return false, err
		}
	}
	second, err := w.startServer("i-one", address, behind)
	if err != nil {
		return false, err
	}
	defer second.http.Close()
	w.note("i-one starts again at %s, born %d, its clock set back by %v", address, second.born, behind)
	time.Sleep(3 * contactTime)
	w.note("i-one has run %d requests since", second.ranBetween(w.started, time.Now()))
	ok, last := second.drain()
	if !ok {
		return false, errNoAcknowledgement
	}
	acknowledged := time.Now()
	w.note("i-one drains: %s", last)
	time.Sleep(drains)
	late := second.ranBetween(acknowledged.Add(drainTime), time.Now())
	w.note("i-one ran %d requests later than drain-ms after the acknowledgement", late)
	clients.mu.Lock()
	w.note("clients got %v", clients.counts)
	clients.mu.Unlock()
	return late > 0, nil
}
