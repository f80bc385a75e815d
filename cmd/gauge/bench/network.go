package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// Timing of links and fault rates of lossy ones. pingInterval equals the wire package's
// default; linkTimeout and maxRedialDelay are shorter than its defaults.
const (
	linkTimeout       = 3 * time.Second // Time without messages after which a link counts as down.
	maxRedialDelay    = 500 * time.Millisecond
	pingInterval      = time.Second
	retransmitDelay   = 200 * time.Millisecond
	lossFraction      = 0.02                  // Fraction of messages that a lossy link delays by retransmitDelay.
	duplicateFraction = 0.02                  // Fraction of control messages that a lossy link delivers twice.
	meanResetInterval = 20 * time.Second      // Mean time between resets of one lossy link.
	messageKindLimit  = cleat.MessageKind(64) // Greater than every message kind.
)

// host is an instance on the simulated network.
type host interface {
	linkUp(p cleat.Peer)
	linkDown(id cleat.InstanceID)
	handleMessage(from cleat.InstanceID, m cleat.Message)
}

// endpoint is an instance's attachment to the network.
type endpoint struct {
	peer   cleat.Peer
	domain int
	host   host
	bytes  map[cleat.MessageKind]float64 // Control bytes, sent and received.
}

// direction is the state of a link in one direction.
type direction struct {
	lastArrival time.Time // Arrival time of the latest message; links deliver in order.
	buffered    []cleat.Message
	sizer       *wire.Sizer
	lastSent    time.Time // When the latest message was sent.
}

// link connects two endpoints; a partition can interrupt it.
type link struct {
	ends       [2]*endpoint
	up         bool
	gen        uint64 // Rises with each reset; messages of an earlier generation are lost.
	directions [2]direction
}

// network delivers messages between endpoints.
type network struct {
	sim       *sim
	endpoints map[cleat.InstanceID]*endpoint
	links     map[[2]cleat.InstanceID]*link
	ordered   []*link // In order of creation; the iteration order of the map links is random, which would make runs irreproducible.
	cpu       *cpuMeter
}

func newNetwork(sim *sim, cpu *cpuMeter) *network {
	n := &network{sim: sim, cpu: cpu, endpoints: make(map[cleat.InstanceID]*endpoint), links: make(map[[2]cleat.InstanceID]*link)}
	sim.sched.every(100*time.Millisecond, 100*time.Millisecond, n.checkLinks)
	sim.sched.every(pingInterval, pingInterval, n.recordPings)
	return n
}

func (n *network) addEndpoint(p cleat.Peer, domain int, h host) *endpoint {
	ep := &endpoint{peer: p, domain: domain, host: h, bytes: make(map[cleat.MessageKind]float64)}
	n.endpoints[p.Instance] = ep
	return ep
}

func linkKey(a, b cleat.InstanceID) [2]cleat.InstanceID {
	if a > b {
		a, b = b, a
	}
	return [2]cleat.InstanceID{a, b}
}

// connect creates a link and brings it up.
func (n *network) connect(a, b cleat.InstanceID) {
	l := &link{ends: [2]*endpoint{n.endpoints[a], n.endpoints[b]}}
	n.links[linkKey(a, b)] = l
	n.ordered = append(n.ordered, l)
	n.bringUp(l)
}

func (n *network) bringUp(l *link) {
	if l.up || !n.sim.connected(l.ends[0].domain, l.ends[1].domain) {
		return
	}
	l.up = true
	l.gen++
	l.directions = [2]direction{{sizer: wire.NewSizer()}, {sizer: wire.NewSizer()}}
	gen := l.gen
	for i := range l.ends {
		n.sim.sched.after(n.delay(l), func() {
			if l.gen == gen {
				l.ends[i].host.linkUp(l.ends[1-i].peer)
			}
		})
	}
}

func (n *network) delay(l *link) time.Duration {
	return n.sim.delayBetween(l.ends[0].domain, l.ends[1].domain)
}

// reset closes a link; both sides are notified at once and the link is redialed.
func (n *network) reset(l *link) {
	if !l.up {
		return
	}
	l.up = false
	l.gen++
	for i := range l.ends {
		l.ends[i].host.linkDown(l.ends[1-i].peer.Instance)
	}
	n.redial(l)
}

func (n *network) redial(l *link) {
	n.sim.sched.after(time.Duration(n.sim.sched.rnd.Int63n(int64(maxRedialDelay)))+n.delay(l), func() {
		n.bringUp(l)
		if !l.up {
			n.redial(l)
		}
	})
}

// resetAll closes every link of an instance.
func (n *network) resetAll(id cleat.InstanceID) {
	for _, l := range n.ordered {
		if l.ends[0].peer.Instance == id || l.ends[1].peer.Instance == id {
			n.reset(l)
		}
	}
}

// checkLinks resets links that a partition interrupts for linkTimeout, delivers
// the buffered messages after a shorter partition, and resets lossy links at random.
// It runs every 0.1 s.
func (n *network) checkLinks() {
	for _, l := range n.ordered {
		connected := n.sim.connected(l.ends[0].domain, l.ends[1].domain)
		switch {
		case !l.up:
		case !connected && n.partitionAge() >= linkTimeout:
			n.reset(l)
		case connected && len(l.directions[0].buffered)+len(l.directions[1].buffered) > 0:
			n.deliverBuffered(l)
		case n.sim.lossy && n.sim.sched.rnd.Float64() < 0.1/meanResetInterval.Seconds():
			n.reset(l)
		}
	}
}

// partitionAge returns how long the current partition has lasted.
func (n *network) partitionAge() time.Duration {
	for _, f := range n.sim.opts.Faults {
		if f.Kind == FaultPartition && n.sim.sched.elapsed() >= f.From && n.sim.sched.elapsed() < f.To {
			return n.sim.sched.elapsed() - f.From
		}
	}
	return 0
}

func (n *network) deliverBuffered(l *link) {
	for i := range l.directions {
		messages := l.directions[i].buffered
		l.directions[i].buffered = nil
		for _, m := range messages {
			n.scheduleDelivery(l, i, m)
		}
	}
}

// recordPings counts the keepalives of links that carried no message for an interval.
func (n *network) recordPings() {
	for _, l := range n.ordered {
		for dir := range l.directions {
			if l.up && n.sim.sched.now.Sub(l.directions[dir].lastSent) >= pingInterval {
				n.recordTraffic(l, dir, &cleat.Ping{})
			}
		}
	}
}

// isLinked reports whether the link is up from the sender's point of view; an
// undetected partition counts as up.
func (n *network) isLinked(a, b cleat.InstanceID) bool {
	l := n.links[linkKey(a, b)]
	return l != nil && l.up
}

// send sends a message over the link; it reports whether the link accepted it.
func (n *network) send(from, to cleat.InstanceID, m cleat.Message) bool {
	l := n.links[linkKey(from, to)]
	if l == nil || !l.up {
		return false
	}
	dir := 0
	if l.ends[1].peer.Instance == from {
		dir = 1
	}
	n.recordTraffic(l, dir, m)
	if !n.sim.connected(l.ends[0].domain, l.ends[1].domain) {
		l.directions[dir].buffered = append(l.directions[dir].buffered, m)
		return true
	}
	n.scheduleDelivery(l, dir, m)
	if n.sim.lossy && isControl(m) && n.sim.sched.rnd.Float64() < duplicateFraction {
		n.scheduleDelivery(l, dir, m)
	}
	return true
}

func (n *network) scheduleDelivery(l *link, dir int, m cleat.Message) {
	at := n.sim.sched.now.Add(n.delay(l))
	if n.sim.lossy && n.sim.sched.rnd.Float64() < lossFraction {
		at = at.Add(retransmitDelay)
	}
	if at.Before(l.directions[dir].lastArrival) {
		at = l.directions[dir].lastArrival
	}
	l.directions[dir].lastArrival = at
	gen := l.gen
	from, to := l.ends[dir], l.ends[1-dir]
	n.sim.sched.at(at, func() {
		if l.gen == gen {
			to.host.handleMessage(from.peer.Instance, m)
		}
	})
}

// isControl reports whether a message is control traffic, not callers' bytes.
func isControl(m cleat.Message) bool {
	switch m.Kind() {
	case cleat.KindDispatch, cleat.KindBody, cleat.KindPart, cleat.KindPartAck:
		return false
	default:
		return true
	}
}

func (n *network) recordTraffic(l *link, dir int, m cleat.Message) {
	l.directions[dir].lastSent = n.sim.sched.now
	if !isControl(m) {
		return
	}
	start := n.cpu.start()
	bytes, err := l.directions[dir].sizer.Bytes(m)
	n.cpu.stop(l.ends[dir].peer.Role, start)
	if err != nil {
		return
	}
	size := float64(bytes)
	l.ends[0].bytes[m.Kind()] += size
	l.ends[1].bytes[m.Kind()] += size
}

// traffic returns control bytes per second by role, including keepalives.
func (n *network) traffic(elapsed time.Duration) []Traffic {
	sums := make(map[cleat.Role]*Traffic)
	counts := make(map[cleat.Role]float64)
	for _, id := range sortedInstances(n.endpoints) {
		ep := n.endpoints[id]
		t := sums[ep.peer.Role]
		if t == nil {
			t = &Traffic{Role: ep.peer.Role, kinds: make(map[cleat.MessageKind]float64)}
			sums[ep.peer.Role] = t
		}
		counts[ep.peer.Role]++
		t.addEndpoint(ep, elapsed.Seconds())
	}
	var list []Traffic
	for role, t := range sums {
		t.average(counts[role])
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Role < list[j].Role })
	return list
}

// addEndpoint adds one instance's traffic to its role's sums.
func (t *Traffic) addEndpoint(ep *endpoint, seconds float64) {
	total := 0.0
	for k := range messageKindLimit {
		rate := ep.bytes[k] / seconds
		total += rate
		t.kinds[k] += rate
	}
	t.Mean += total
	t.Worst = max(t.Worst, total)
}

// average divides the sums by the number of instances and lists the message kinds.
func (t *Traffic) average(instances float64) {
	t.Mean /= instances
	for k := range messageKindLimit {
		if b := t.kinds[k]; b > 0 {
			t.Kinds = append(t.Kinds, KindTraffic{Kind: kindName(k), Bytes: b / instances})
		}
	}
}

// kindName returns the name of a message kind's type.
func kindName(k cleat.MessageKind) string {
	m, err := cleat.NewMessage(k)
	if err != nil {
		return "unknown"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*cleat.")
}
