package telem

import (
	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// payloadKinds are the kinds of message that carry the bytes of callers' requests and
// responses; all others are control traffic.
var payloadKinds = []cleat.MessageKind{cleat.KindDispatch, cleat.KindBody, cleat.KindPart}

// LinkMetrics exports the traffic of a process's links as gauges that never decrease.
type LinkMetrics struct {
	counters *wire.Counters
	sent     traffic
	received traffic
}

// traffic holds the gauges of one direction.
type traffic struct {
	control tally.Gauge
	payload tally.Gauge
}

// NewLinkMetrics returns the gauges link_bytes, by direction and content, under a role's scope.
func NewLinkMetrics(scope tally.Scope, counters *wire.Counters) *LinkMetrics {
	return &LinkMetrics{counters: counters, sent: newTraffic(scope, "sent"), received: newTraffic(scope, "received")}
}

func newTraffic(scope tally.Scope, direction string) traffic {
	gauge := func(content string) tally.Gauge {
		return scope.Tagged(map[string]string{"direction": direction, "content": content}).Gauge("link_bytes")
	}
	return traffic{control: gauge("control"), payload: gauge("payload")}
}

// Update sets the gauges to the current counters.
func (l *LinkMetrics) Update() {
	l.sent.update(l.counters.Sent)
	l.received.update(l.counters.Received)
}

func (t traffic) update(count func(cleat.MessageKind) (frames, bytes uint64)) {
	var all, payload uint64
	for k := cleat.KindHello; k < cleat.KindLimit; k++ {
		_, n := count(k)
		all += n
	}
	for _, k := range payloadKinds {
		_, n := count(k)
		payload += n
	}
	t.payload.Update(float64(payload))
	t.control.Update(float64(all - payload))
}
