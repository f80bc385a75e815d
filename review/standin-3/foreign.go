package main

import (
	"net/http"
	"time"
)

// drains is how long the server goes on serving after it announced that it drains.
const drains = 9 * time.Second

// foreignCount is how far the count of the other writer is ahead of the server's own.
const foreignCount = 1000

// playForeign lets another writer send a heartbeat that lacks the field born.
func playForeign(w *world) (bool, error) {
	return w.playOtherWriter(func(fields map[string]any) { delete(fields, "born") })
}

// playNumbered lets another writer, with a count of its own, send a heartbeat that lacks the
// field zone.
func playNumbered(w *world) (bool, error) {
	return w.playOtherWriter(func(fields map[string]any) {
		delete(fields, "zone")
		fields["sequence"] = fields["sequence"].(int) + foreignCount
	})
}

// playOtherWriter lets another writer send one heartbeat that names a known server, changed by
// spoil. Later the server drains. It must get no request later than drain-ms after a control
// instance has acknowledged that.
func (w *world) playOtherWriter(spoil func(fields map[string]any)) (bool, error) {
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
		fields := leaving.fields()
		spoil(fields)
		body := encode(fields)
		status, answer := call(w.seeds()[0], http.MethodPut, leaving.path(), body)
		w.note("another writer sends %s: %d %s", body, status, answer)
	}
	time.Sleep(2 * contactTime)
	w.note("%s has run %d requests", leaving.id, leaving.ranBetween(w.started, time.Now()))
	ok, last := leaving.drain()
	if !ok {
		return false, errNoAcknowledgement
	}
	acknowledged := time.Now()
	w.note("%s drains: %s", leaving.id, last)
	time.Sleep(drains)
	end := time.Now()
	close(stop)
	late := leaving.ranBetween(acknowledged.Add(drainTime), end)
	w.note("%s ran %d requests later than drain-ms after the acknowledgement", leaving.id, late)
	clients.mu.Lock()
	w.note("clients got %v", clients.counts)
	clients.mu.Unlock()
	return late > 0, nil
}
