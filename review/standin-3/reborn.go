package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

var (
	errNoConfiguration   = errors.New("the configuration was not acknowledged")
	errNoAcknowledgement = errors.New("the withdrawal was not acknowledged")
	errNotUsed           = errors.New("the server ran no request before it left")
)

const (
	cutTime = 5 * time.Second         // For which the server's calls don't reach the fleet.
	lateBy  = 2 * time.Second         // Between the withdrawal and the arrival of an earlier heartbeat.
	served  = 14 * time.Second        // For which the server goes on serving after its withdrawal.
	downFor = 500 * time.Millisecond  // Between the server's crash and its next start.
	upFor   = 2500 * time.Millisecond // Between that start and the end of the cut.
)

// playReborn cuts a server off from the control instances. It crashes behind the cut and starts
// again under its id. When the cut has healed, it withdraws; a heartbeat that it sent before
// arrives later. The server must get no request later than drain-ms after the withdrawal was
// acknowledged.
func playReborn(w *world) (bool, error) {
	leaving, err := w.startAll()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	clients := w.startClients(6, stop)
	if err := w.awaitUse(leaving); err != nil {
		return false, err
	}
	if w.trouble {
		next, err := w.rebear(leaving)
		if err != nil {
			return false, err
		}
		defer next.http.Close()
		leaving = next
	} else {
		time.Sleep(cutTime)
		leaving.stopBeats()
		time.Sleep(2 * callTimeout) // A heartbeat that was on its way has arrived.
	}
	beat := leaving.heartbeat()
	w.note("a heartbeat of %s, born %d, has set out; it will arrive late", leaving.id, leaving.born)
	if w.trouble {
		time.Sleep(upFor)
		w.note("the cut heals")
	}
	ok, last := callAny(w.seeds(), http.MethodDelete, leaving.path(), nil)
	if !ok {
		return false, errNoAcknowledgement
	}
	gone := time.Now()
	w.note("%s withdraws (DELETE): %s", leaving.id, last)
	time.Sleep(lateBy)
	_, last = callAny(w.seeds(), http.MethodPut, leaving.path(), beat)
	w.note("the late heartbeat arrives: %s", last)
	time.Sleep(time.Until(gone.Add(served)))
	end := time.Now()
	close(stop)
	late := leaving.ranBetween(gone.Add(drainTime), end)
	// The last disruption, the cut, has ended contact-ms before then.
	inTouch := leaving.ranBetween(gone.Add(max(drainTime, contactTime)), end)
	w.note("%s ran %d requests later than drain-ms after the acknowledgement, %d of them later than contact-ms", leaving.id, late, inTouch)
	clients.mu.Lock()
	w.note("clients got %v", clients.counts)
	clients.mu.Unlock()
	return inTouch > 0, nil
}

// startAll starts the fleet with its configuration and three servers, and returns the first one.
func (w *world) startAll() (*server, error) {
	if err := w.start(true, append(w.controls, w.entries...)...); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if !w.order(1, time.Now().Add(10*time.Second)) {
		return nil, errNoConfiguration
	}
	var first *server
	for i, id := range []string{"i-one", "i-two", "i-three"} {
		s, err := w.startServer(id, fmt.Sprintf("%s%d:0", w.prefix, 200+i), false)
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = s
		}
	}
	return first, nil
}

// awaitUse waits until all processes are in touch, and checks that a server is used.
func (w *world) awaitUse(s *server) error {
	time.Sleep(2 * contactTime)
	ran := s.ranBetween(w.started, time.Now())
	w.note("%s, born %d, has run %d requests", s.id, s.born, ran)
	if ran == 0 {
		return errNotUsed
	}
	return nil
}

// rebear cuts a server off, lets it crash, and starts it again under its id and address behind
// the cut.
func (w *world) rebear(s *server) (*server, error) {
	address := s.listener.Addr().String()
	s.stopBeats()
	w.note("%s is cut off from the control instances, for %v", s.id, cutTime)
	time.Sleep(cutTime - downFor - upFor)
	s.crash()
	w.note("%s crashes", s.id)
	time.Sleep(downFor)
	next, err := w.startServer(s.id, address, true)
	if err == nil {
		w.note("%s starts again under its id at its address, born %d", next.id, next.born)
	}
	return next, err
}
