package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// Timing of links, as the wire package keeps it.
const (
	peerTimeout     = 3 * time.Second // Silence after which a link counts as down.
	redialMost      = 500 * time.Millisecond
	pingEvery       = time.Second
	retransmitDelay = 200 * time.Millisecond
	lossPart        = 0.02
	doublePart      = 0.02
	resetEvery      = 20 * time.Second      // Mean time between resets of one lossy link.
	kindsMost       = cleat.MessageKind(64) // Above every message kind.
)

// host is one instance on the fake network.
type host interface {
	linkUp(p cleat.Peer)
	linkDown(id cleat.InstanceID)
	message(from cleat.InstanceID, m cleat.Message)
}

// station is an instance's place on the network.
type station struct {
	peer   cleat.Peer
	domain int
	host   host
	bytes  map[cleat.MessageKind]float64 // Control bytes, sent and received.
}

// wireEnd is a link's queue in one direction.
type wireEnd struct {
	last  time.Time // When the latest message arrives; links keep order.
	held  []cleat.Message
	sizer *wire.Sizer
	sent  time.Time // When it last carried anything.
}

// cable is a link between two stations that may be cut.
type cable struct {
	ends [2]*station
	up   bool
	gen  uint64 // Rises with each reset; messages of an earlier one are lost.
	dirs [2]wireEnd
}

// network carries messages between stations.
type network struct {
	s        *sim
	stations map[cleat.InstanceID]*station
	cables   map[[2]cleat.InstanceID]*cable
	order    []*cable
	spent    *spent
}

func newNetwork(s *sim, sp *spent) *network {
	n := &network{s: s, spent: sp, stations: make(map[cleat.InstanceID]*station), cables: make(map[[2]cleat.InstanceID]*cable)}
	s.w.every(100*time.Millisecond, 100*time.Millisecond, n.watch)
	s.w.every(pingEvery, pingEvery, n.ping)
	return n
}

func (n *network) add(p cleat.Peer, domain int, h host) *station {
	st := &station{peer: p, domain: domain, host: h, bytes: make(map[cleat.MessageKind]float64)}
	n.stations[p.Instance] = st
	return st
}

func cableKey(a, b cleat.InstanceID) [2]cleat.InstanceID {
	if a > b {
		a, b = b, a
	}
	return [2]cleat.InstanceID{a, b}
}

// connect makes a link and brings it up.
func (n *network) connect(a, b cleat.InstanceID) {
	c := &cable{ends: [2]*station{n.stations[a], n.stations[b]}}
	n.cables[cableKey(a, b)] = c
	n.order = append(n.order, c)
	n.bringUp(c)
}

func (n *network) bringUp(c *cable) {
	if c.up || !n.s.connected(c.ends[0].domain, c.ends[1].domain) {
		return
	}
	c.up = true
	c.gen++
	c.dirs = [2]wireEnd{{sizer: wire.NewSizer()}, {sizer: wire.NewSizer()}}
	gen := c.gen
	for i := range c.ends {
		n.s.w.after(n.delay(c), func() {
			if c.gen == gen {
				c.ends[i].host.linkUp(c.ends[1-i].peer)
			}
		})
	}
}

func (n *network) delay(c *cable) time.Duration {
	return n.s.delayBetween(c.ends[0].domain, c.ends[1].domain)
}

// reset breaks a link; both sides notice at once and dial again.
func (n *network) reset(c *cable) {
	if !c.up {
		return
	}
	c.up = false
	c.gen++
	for i := range c.ends {
		c.ends[i].host.linkDown(c.ends[1-i].peer.Instance)
	}
	n.redial(c)
}

func (n *network) redial(c *cable) {
	n.s.w.after(time.Duration(n.s.w.rnd.Int63n(int64(redialMost)))+n.delay(c), func() {
		n.bringUp(c)
		if !c.up {
			n.redial(c)
		}
	})
}

// resetAll breaks every link of an instance.
func (n *network) resetAll(id cleat.InstanceID) {
	for _, c := range n.order {
		if c.ends[0].peer.Instance == id || c.ends[1].peer.Instance == id {
			n.reset(c)
		}
	}
}

// watch notices cuts after the peer timeout, lets held messages go after a
// short cut, and resets lossy links now and then.
func (n *network) watch() {
	for _, c := range n.order {
		open := n.s.connected(c.ends[0].domain, c.ends[1].domain)
		switch {
		case !c.up:
		case !open && n.silentFor() >= peerTimeout:
			n.reset(c)
		case open && len(c.dirs[0].held)+len(c.dirs[1].held) > 0:
			n.release(c)
		case n.s.lossy && n.s.w.rnd.Float64() < 0.1/resetEvery.Seconds():
			n.reset(c)
		}
	}
}

// silentFor returns how long nothing has crossed the cut.
func (n *network) silentFor() time.Duration {
	for _, f := range n.s.o.Faults {
		if f.Kind == FaultPartition && n.s.w.elapsed() >= f.From && n.s.w.elapsed() < f.To {
			return n.s.w.elapsed() - f.From
		}
	}
	return 0
}

func (n *network) release(c *cable) {
	for i := range c.dirs {
		held := c.dirs[i].held
		c.dirs[i].held = nil
		for _, m := range held {
			n.carry(c, i, m)
		}
	}
}

// ping accounts the keepalives of links that carried nothing for an interval.
func (n *network) ping() {
	for _, c := range n.order {
		for dir := range c.dirs {
			if c.up && n.s.w.now.Sub(c.dirs[dir].sent) >= pingEvery {
				n.account(c, dir, &cleat.Ping{})
			}
		}
	}
}

// linked reports whether the sender believes its link to be up.
func (n *network) linked(a, b cleat.InstanceID) bool {
	c := n.cables[cableKey(a, b)]
	return c != nil && c.up
}

// send puts a message on the link; it reports whether the link took it.
func (n *network) send(from, to cleat.InstanceID, m cleat.Message) bool {
	c := n.cables[cableKey(from, to)]
	if c == nil || !c.up {
		return false
	}
	dir := 0
	if c.ends[1].peer.Instance == from {
		dir = 1
	}
	n.account(c, dir, m)
	if !n.s.connected(c.ends[0].domain, c.ends[1].domain) {
		c.dirs[dir].held = append(c.dirs[dir].held, m)
		return true
	}
	n.carry(c, dir, m)
	if n.s.lossy && isControl(m) && n.s.w.rnd.Float64() < doublePart {
		n.carry(c, dir, m)
	}
	return true
}

func (n *network) carry(c *cable, dir int, m cleat.Message) {
	at := n.s.w.now.Add(n.delay(c))
	if n.s.lossy && n.s.w.rnd.Float64() < lossPart {
		at = at.Add(retransmitDelay)
	}
	if at.Before(c.dirs[dir].last) {
		at = c.dirs[dir].last
	}
	c.dirs[dir].last = at
	gen := c.gen
	from, to := c.ends[dir], c.ends[1-dir]
	n.s.w.at(at, func() {
		if c.gen == gen {
			to.host.message(from.peer.Instance, m)
		}
	})
}

// isControl tells control messages from those that carry callers' bytes.
func isControl(m cleat.Message) bool {
	switch m.Kind() {
	case cleat.KindDispatch, cleat.KindBody, cleat.KindPart, cleat.KindPartAck:
		return false
	default:
		return true
	}
}

func (n *network) account(c *cable, dir int, m cleat.Message) {
	c.dirs[dir].sent = n.s.w.now
	if !isControl(m) {
		return
	}
	began := n.spent.begin()
	bytes, err := c.dirs[dir].sizer.Bytes(m)
	n.spent.end(c.ends[dir].peer.Role, began)
	if err != nil {
		return
	}
	size := float64(bytes)
	c.ends[0].bytes[m.Kind()] += size
	c.ends[1].bytes[m.Kind()] += size
}

// traffic returns control bytes a second by role, keepalives included.
func (n *network) traffic(elapsed time.Duration) []Traffic {
	sums := make(map[cleat.Role]*Traffic)
	counts := make(map[cleat.Role]float64)
	for _, id := range sortedInstances(n.stations) {
		st := n.stations[id]
		t := sums[st.peer.Role]
		if t == nil {
			t = &Traffic{Role: st.peer.Role, kinds: make(map[cleat.MessageKind]float64)}
			sums[st.peer.Role] = t
		}
		counts[st.peer.Role]++
		t.add(st, elapsed.Seconds())
	}
	var list []Traffic
	for role, t := range sums {
		t.settle(counts[role])
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Role < list[j].Role })
	return list
}

// add takes one instance's traffic into the role's.
func (t *Traffic) add(st *station, seconds float64) {
	total := 0.0
	for k := range kindsMost {
		rate := st.bytes[k] / seconds
		total += rate
		t.kinds[k] += rate
	}
	t.Mean += total
	t.Worst = max(t.Worst, total)
}

// settle turns sums into means, and kinds into a list.
func (t *Traffic) settle(instances float64) {
	t.Mean /= instances
	for k := range kindsMost {
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
