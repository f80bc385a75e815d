package agent

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Events gives tests the splitter of streams.
type Events struct{ events }

// NewEvents returns an empty splitter.
func NewEvents() *Events { return &Events{} }

// Feed takes the next bytes and returns those that end whole events.
func (e *Events) Feed(b []byte) []byte { return e.feed(b) }

// Broken reports whether the stream stopped before its end.
func (e *Events) Broken() bool { return e.broken() }

// Used returns the usage seen.
func (e *Events) Used() cleat.Usage { return e.used }

// Run gives tests one run's answer buffer.
type Run struct{ *run }

// NewRun returns the run of an empty dispatch with a buffer of maxBytes.
func NewRun(l cleat.Link, maxBytes int, now time.Time) Run {
	m := &cleat.Dispatch{Attempt: cleat.Attempt{Request: "r1", Number: 1}, Repeatable: true}
	return Run{newRun(m, "u1", l, maxBytes, now)}
}

// Room returns how many bytes fit without blocking.
func (r Run) Room() int { return r.maxBytes - r.kept() }

// Write keeps b and sends it.
func (r Run) Write(b []byte) error { return r.write(b, false) }

// Start keeps the answer's status.
func (r Run) Start(status int) { r.start(status, nil) }

// Finish ends the answer.
func (r Run) Finish() { r.finish(cleat.Outcome{Kind: cleat.OutcomeDone}) }

// Ack takes an acknowledgement and reports whether the entry has all.
func (r Run) Ack(offset uint64, done bool) bool {
	return r.ack(&cleat.PartAck{Attempt: r.attempt(), Offset: offset, Done: done})
}

// Resume sends the answer over l again from an offset.
func (r Run) Resume(l cleat.Link, offset uint64) bool { return r.resume(l, offset) }

// Detach notes that l is down.
func (r Run) Detach(l cleat.Link, now time.Time) { r.detach(l, now) }
