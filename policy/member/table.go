package member

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultDetachGrace  = time.Second
	DefaultDeadAfter    = 10 * time.Second
	DefaultRelayGrace   = time.Minute
	DefaultSettle       = 3 * time.Second
)

// Config holds the times of the membership.
type Config struct {
	SuspectAfter time.Duration // Silence of a linked instance until it is suspected.
	DetachGrace  time.Duration // Silence of an instance without a link until it is suspected.
	DeadAfter    time.Duration // Silence until it is gone.
	RelayGrace   time.Duration // How long members of an unreachable control instance are kept.
	Settle       time.Duration // After a start, before absent members count as gone.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	for field, value := range map[*time.Duration]time.Duration{
		&c.SuspectAfter: DefaultSuspectAfter,
		&c.DetachGrace:  DefaultDetachGrace,
		&c.DeadAfter:    DefaultDeadAfter,
		&c.RelayGrace:   DefaultRelayGrace,
		&c.Settle:       DefaultSettle,
	} {
		if *field == 0 {
			*field = value
		}
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.SuspectAfter <= 0 || c.DetachGrace <= 0 || c.RelayGrace <= 0 || c.Settle < 0 {
		return trace.BadParameter("Config.Validate: all times must be positive")
	}
	if c.DeadAfter <= c.SuspectAfter {
		return trace.BadParameter("Config.Validate: DeadAfter must exceed SuspectAfter")
	}
	return nil
}

// Table is the membership as one control instance sees it. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	started time.Time
	nodes   map[cleat.InstanceID]*node
	relays  map[cleat.InstanceID]*relay
	direct  feed // Of the instances that register here, for control instances.
	merged  feed // Of all instances, for nodes.
}

// node is an instance that registers here.
type node struct {
	register cleat.Register
	status   map[cleat.WorkspaceID]cleat.WorkspaceStatus
	heard    time.Time
	detached bool
}

// relay is another control instance with the members that register there.
type relay struct {
	members map[cleat.InstanceID]cleat.Member
	lost    time.Time // Zero while its link is up.
}

// New returns a membership without members; cfg must be valid.
func New(cfg Config, now time.Time) *Table {
	return &Table{
		cfg:     cfg,
		started: now,
		nodes:   make(map[cleat.InstanceID]*node),
		relays:  make(map[cleat.InstanceID]*relay),
		direct:  newFeed(),
		merged:  newFeed(),
	}
}

// Register takes a registration or heartbeat in; false when a newer life of
// the instance is known.
func (t *Table) Register(now time.Time, m *cleat.Register) bool {
	id := m.Peer.Instance
	n, ok := t.nodes[id]
	if ok && m.Peer.Incarnation < n.register.Peer.Incarnation {
		return false
	}
	if !ok || m.Peer.Incarnation > n.register.Peer.Incarnation {
		n = &node{status: make(map[cleat.WorkspaceID]cleat.WorkspaceStatus)}
		t.nodes[id] = n
	}
	n.heard, n.detached = now, false
	n.merge(m)
	t.refresh(now, id)
	return true
}

// merge keeps what light heartbeats leave out.
func (n *node) merge(m *cleat.Register) {
	old := n.register
	n.register = *m
	if m.Upstreams == nil {
		n.register.Upstreams = old.Upstreams
	}
	if m.Demand == nil {
		n.register.Demand = old.Demand
	}
	n.register.Status = nil
	for _, s := range m.Status {
		n.status[s.Workspace] = s
	}
}

// Detach notes that the link to an instance broke.
func (t *Table) Detach(id cleat.InstanceID, incarnation cleat.Incarnation) {
	if n, ok := t.nodes[id]; ok && n.register.Peer.Incarnation == incarnation {
		n.detached = true
	}
}

// Relay takes in the members that register with another control instance.
func (t *Table) Relay(now time.Time, from cleat.InstanceID, m *cleat.Members) {
	r, ok := t.relays[from]
	if !ok {
		r = &relay{members: make(map[cleat.InstanceID]cleat.Member)}
		t.relays[from] = r
	}
	r.lost = time.Time{}
	changed := m.Gone
	if m.Complete {
		changed = append(changed, slices.Sorted(maps.Keys(r.members))...)
		r.members = make(map[cleat.InstanceID]cleat.Member, len(m.Members))
	}
	for _, member := range m.Members {
		r.members[member.Peer.Instance] = member
		changed = append(changed, member.Peer.Instance)
	}
	for _, id := range m.Gone {
		delete(r.members, id)
	}
	for _, id := range changed {
		t.refresh(now, id)
	}
}

// RelayDown notes that the link to another control instance broke.
func (t *Table) RelayDown(now time.Time, from cleat.InstanceID) {
	if r, ok := t.relays[from]; ok && r.lost.IsZero() {
		r.lost = now
	}
}

// Tick suspects and forgets silent instances.
func (t *Table) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		if now.Sub(t.nodes[id].heard) >= t.cfg.DeadAfter {
			delete(t.nodes, id)
		}
		t.refresh(now, id)
	}
	for _, from := range slices.Sorted(maps.Keys(t.relays)) {
		t.tickRelay(now, from)
	}
}

func (t *Table) tickRelay(now time.Time, from cleat.InstanceID) {
	r := t.relays[from]
	if r.lost.IsZero() || now.Sub(r.lost) < t.cfg.RelayGrace {
		return
	}
	delete(t.relays, from)
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		t.refresh(now, id)
	}
}

// refresh brings the feeds up to date for one instance.
func (t *Table) refresh(now time.Time, id cleat.InstanceID) {
	if n, ok := t.nodes[id]; ok {
		t.direct.put(t.member(now, n))
	} else {
		t.direct.drop(id)
	}
	if m, ok := t.best(now, id); ok {
		t.merged.put(m)
	} else {
		t.merged.drop(id)
	}
}

func (t *Table) member(now time.Time, n *node) cleat.Member {
	return cleat.Member{
		Peer:      n.register.Peer,
		Models:    n.register.Models,
		Leaving:   n.register.Leaving,
		Suspected: t.suspected(now, n),
	}
}

func (t *Table) suspected(now time.Time, n *node) bool {
	silent := now.Sub(n.heard)
	return silent >= t.cfg.SuspectAfter || (n.detached && silent >= t.cfg.DetachGrace)
}

// best returns the newest word on an instance: of its newest life, and of one
// life from where it is not suspected.
func (t *Table) best(now time.Time, id cleat.InstanceID) (cleat.Member, bool) {
	var best cleat.Member
	found := false
	if n, ok := t.nodes[id]; ok {
		best, found = t.member(now, n), true
	}
	for _, from := range slices.Sorted(maps.Keys(t.relays)) {
		m, ok := t.relays[from].members[id]
		if ok && (!found || better(m, best)) {
			best, found = m, true
		}
	}
	return best, found
}

func better(a, b cleat.Member) bool {
	if a.Peer.Incarnation != b.Peer.Incarnation {
		return a.Peer.Incarnation > b.Peer.Incarnation
	}
	return !a.Suspected && b.Suspected
}

// Direct returns the changes since a cursor of the instances that register
// here, nil when there are none, and the next cursor.
func (t *Table) Direct(c Cursor) (*cleat.Members, Cursor) {
	return t.direct.since(c), t.direct.version
}

// Receiver follows the whole membership on behalf of one link.
type Receiver struct {
	cursor Cursor
	whole  bool // It was told which members there are, and so which are gone.
}

// Merged returns what a receiver has not been told yet, nil when there is
// nothing. Until the table has settled after its start, absent members don't
// count as gone.
func (t *Table) Merged(now time.Time, r *Receiver) *cleat.Members {
	c := r.cursor
	if t.Settled(now) && !r.whole {
		c = 0
	}
	m := t.merged.since(c)
	if m == nil {
		return nil
	}
	m.Complete = m.Complete && t.Settled(now)
	r.whole = r.whole || m.Complete
	r.cursor = t.merged.version
	return m
}

// Settled reports whether every live instance had time to register since the start.
func (t *Table) Settled(now time.Time) bool {
	return now.Sub(t.started) >= t.cfg.Settle
}

// Member returns an instance as the whole fleet's membership has it.
func (t *Table) Member(id cleat.InstanceID) (cleat.Member, bool) {
	v, ok := t.merged.members[id]
	return v.member, ok
}

// Members returns all instances, sorted.
func (t *Table) Members() []cleat.Member {
	list := make([]cleat.Member, 0, len(t.merged.members))
	for _, v := range t.merged.members {
		list = append(list, v.member)
	}
	sortMembers(list)
	return list
}

// Status returns what the instances that register here last said, sorted; of
// workspaces only the one asked for and backlogged ones, or none for an empty name.
func (t *Table) Status(now time.Time, workspace cleat.WorkspaceID) []cleat.NodeStatus {
	list := make([]cleat.NodeStatus, 0, len(t.nodes))
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		n := t.nodes[id]
		r := n.register
		r.Status = n.workspaces(workspace)
		list = append(list, cleat.NodeStatus{Register: r, Suspected: t.suspected(now, n), SinceHeartbeat: now.Sub(n.heard)})
	}
	return list
}

func (n *node) workspaces(asked cleat.WorkspaceID) []cleat.WorkspaceStatus {
	var list []cleat.WorkspaceStatus
	for _, s := range n.status {
		if asked != "" && (s.Workspace == asked || s.Waiting > 0) {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Host returns the instance registered here that hosts an upstream.
func (t *Table) Host(u cleat.UpstreamID) (cleat.InstanceID, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		for _, hosted := range t.nodes[id].register.Upstreams {
			if hosted.Upstream == u {
				return id, true
			}
		}
	}
	return "", false
}
