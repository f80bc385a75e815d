package agent

import "marigoldcleat.example/cleat"

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
