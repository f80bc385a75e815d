package main

import (
	"fmt"
	"net/http"
	"time"
)

// readBackTime is for how long the operator reads the configuration back, and sendTime for how
// long it sends its configuration before that.
const (
	readBackTime = 2 * contactTime
	sendTime     = 40 * time.Second
)

// playFirstStart kills one control instance at the first start of the fleet, before the last
// ones have started. It is back within a second. The operator sends its first configuration
// until it is acknowledged. Read back at the end, the configuration has to come.
func playFirstStart(w *world) (bool, error) {
	first, others := w.controls[0], w.controls[1:]
	if err := w.start(true, first); err != nil {
		return false, err
	}
	time.Sleep(250 * time.Millisecond)
	if w.trouble {
		w.kill(first)
	}
	time.Sleep(40 * time.Millisecond) // All have started within 0.3 s.
	if err := w.start(true, append(others, w.entries...)...); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		if err := first.start(false); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime)
	w.note("all run, and have for contact-ms: the core is stable")
	sent := time.Now()
	if !w.order(1, sent.Add(ackTime)) {
		w.note("no acknowledgement within ack-ms in one stretch with a stable core")
		if !w.order(1, sent.Add(sendTime)) {
			w.note("none within %v either", sendTime)
		}
	}
	for _, p := range w.entries {
		w.note("%s answers a client: %s", p.name, w.request(p, "00000000000000e1"))
	}
	comes := w.readBack(time.Now().Add(readBackTime))
	return !comes, nil
}

// readBack reads the configuration at all control instances in turn until it comes or the time
// is over.
func (w *world) readBack(until time.Time) (comes bool) {
	for tries := 1; time.Now().Before(until); tries++ {
		for _, a := range w.seeds() {
			status, answer := call(a, http.MethodGet, "/marigoldcleat/config", nil)
			if status == http.StatusOK {
				w.note("the configuration comes at try %d: %s answers 200", tries, a)
				return true
			}
			if tries == 1 {
				w.note("the configuration doesn't come: %s answers %d %s", a, status, answer)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.note("read back for %v, the configuration doesn't come", readBackTime)
	return false
}

// lateBy is how late the heartbeat arrives, and served how long the server goes on serving
// after its withdrawal was acknowledged.
const (
	lateBy = 4 * time.Second
	served = 14 * time.Second
)

// playWithdrawn lets a server withdraw while one of its heartbeats is still on its way. All
// processes are killed just after the acknowledgement and are back within a second. The
// server must get no request later than drain-ms after the acknowledgement.
func playWithdrawn(w *world) (bool, error) {
	if err := w.start(true, append(w.controls, w.entries...)...); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !w.order(1, time.Now().Add(10*time.Second)) {
		return false, errNoConfiguration
	}
	var servers []*server
	for i, id := range []string{"i-one", "i-two", "i-three"} {
		s, err := w.startServer(id, fmt.Sprintf("%s%d:0", w.prefix, 200+i), 0)
		if err != nil {
			return false, err
		}
		defer s.http.Close()
		servers = append(servers, s)
	}
	stop := make(chan struct{})
	clients := w.startClients(6, stop)
	time.Sleep(2 * contactTime)
	leaving := servers[0]
	leaving.stopBeats()
	time.Sleep(2 * callTimeout) // A heartbeat that was on its way has arrived.
	w.note("%s has run %d requests; its heartbeat sets out now and will arrive %v later", leaving.id, leaving.ranBetween(w.started, time.Now()), lateBy)
	beat, setOut := leaving.heartbeat(), time.Now()
	time.Sleep(200 * time.Millisecond)
	ok, last := callAny(w.seeds(), http.MethodDelete, leaving.path(), nil)
	if !ok {
		return false, errNoAcknowledgement
	}
	gone := time.Now()
	w.note("%s withdraws (DELETE): %s", leaving.id, last)
	time.Sleep(100 * time.Millisecond)
	back := gone
	if w.trouble {
		all := append(append([]*process(nil), w.controls...), w.entries...)
		w.kill(all...)
		time.Sleep(600 * time.Millisecond)
		if err := w.start(false, all...); err != nil {
			return false, err
		}
		back = time.Now()
	}
	time.Sleep(time.Until(setOut.Add(lateBy)))
	_, last = callAny(w.seeds(), http.MethodPut, leaving.path(), beat)
	w.note("the late heartbeat arrives: %s", last)
	time.Sleep(time.Until(gone.Add(served)))
	end := time.Now()
	close(stop)
	// After a fault that took the core, machines are in touch after twice contact-ms.
	inTouch := back.Add(2 * contactTime)
	if inTouch.Before(gone.Add(drainTime)) {
		inTouch = gone.Add(drainTime)
	}
	late, broken := leaving.ranBetween(gone.Add(drainTime), end), leaving.ranBetween(inTouch, end)
	w.note("%s ran %d requests later than drain-ms after the acknowledgement, %d of them from machines in touch", leaving.id, late, broken)
	clients.mu.Lock()
	w.note("clients got %v", clients.counts)
	clients.mu.Unlock()
	return broken > 0, nil
}
