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
	DefaultSuspectAfter         = 3 * time.Second
	DefaultDetachGrace          = time.Second
	DefaultDeadAfter            = 10 * time.Second
	DefaultControlPeerRetention = time.Minute
	DefaultSettleTime           = 3 * time.Second
)

// Config holds the timeouts of the membership.
type Config struct {
	SuspectAfter         time.Duration // How long after its last heartbeat an instance with a link is suspected.
	DetachGrace          time.Duration // How long after its last heartbeat an instance without a link is suspected.
	DeadAfter            time.Duration // How long after its last heartbeat an instance is removed.
	ControlPeerRetention time.Duration // How long the members of an unreachable control instance are kept.
	SettleTime           time.Duration // How long after a start absent members are not yet treated as gone.
}

// Defaults sets the zero fields to their defaults.
func (c *Config) Defaults() {
	for field, value := range map[*time.Duration]time.Duration{
		&c.SuspectAfter:         DefaultSuspectAfter,
		&c.DetachGrace:          DefaultDetachGrace,
		&c.DeadAfter:            DefaultDeadAfter,
		&c.ControlPeerRetention: DefaultControlPeerRetention,
		&c.SettleTime:           DefaultSettleTime,
	} {
		if *field == 0 {
			*field = value
		}
	}
}

// Validate returns a trace.BadParameter error if a time is out of range.
func (c *Config) Validate() error {
	if c.SuspectAfter <= 0 || c.DetachGrace <= 0 || c.ControlPeerRetention <= 0 || c.SettleTime < 0 {
		return trace.BadParameter("Config.Validate: SuspectAfter, DetachGrace and ControlPeerRetention must be positive, SettleTime not negative")
	}
	if c.DeadAfter <= c.SuspectAfter {
		return trace.BadParameter("Config.Validate: DeadAfter must exceed SuspectAfter")
	}
	return nil
}

// Table is the membership as known to one control instance. It is not safe for
// concurrent use.
type Table struct {
	cfg          Config
	started      time.Time
	nodes        map[cleat.InstanceID]*node
	controlPeers map[cleat.InstanceID]*controlPeer
	direct       feed // Instances registered here; sent to other control instances.
	merged       feed // All instances; sent to nodes.
}

// node is an instance registered here.
type node struct {
	registration  cleat.Register
	status        map[cleat.WorkspaceID]cleat.WorkspaceStatus
	lastHeartbeat time.Time
	detached      bool // Its link is closed.
}

// controlPeer is another control instance with the members registered there.
type controlPeer struct {
	members        map[cleat.InstanceID]cleat.Member
	disconnectedAt time.Time // When its link closed; zero while the link is up.
}

// New returns an empty table; cfg must be valid.
func New(cfg Config, now time.Time) *Table {
	return &Table{
		cfg:          cfg,
		started:      now,
		nodes:        make(map[cleat.InstanceID]*node),
		controlPeers: make(map[cleat.InstanceID]*controlPeer),
		direct:       newFeed(),
		merged:       newFeed(),
	}
}

// Register records a registration or heartbeat. It returns false if a newer
// incarnation of the instance is registered here.
func (t *Table) Register(now time.Time, m *cleat.Register) bool {
	id := m.Peer.Instance
	n, ok := t.nodes[id]
	if ok && m.Peer.Incarnation < n.registration.Peer.Incarnation {
		return false
	}
	if !ok || m.Peer.Incarnation > n.registration.Peer.Incarnation {
		n = &node{status: make(map[cleat.WorkspaceID]cleat.WorkspaceStatus)}
		t.nodes[id] = n
	}
	n.lastHeartbeat, n.detached = now, false
	n.merge(m)
	t.refresh(now, id)
	return true
}

// merge replaces the registration, but keeps upstreams, demand and workspace statuses
// that the heartbeat omits.
func (n *node) merge(m *cleat.Register) {
	old := n.registration
	n.registration = *m
	if m.Upstreams == nil {
		n.registration.Upstreams = old.Upstreams
	}
	if m.Demand == nil {
		n.registration.Demand = old.Demand
	}
	n.registration.Status = nil
	for _, s := range m.Status {
		n.status[s.Workspace] = s
	}
}

// MarkDetached records that the link to an instance closed.
func (t *Table) MarkDetached(id cleat.InstanceID, incarnation cleat.Incarnation) {
	if n, ok := t.nodes[id]; ok && n.registration.Peer.Incarnation == incarnation {
		n.detached = true
	}
}

// MergePeerView merges the members registered with another control instance.
func (t *Table) MergePeerView(now time.Time, from cleat.InstanceID, m *cleat.Members) {
	p, ok := t.controlPeers[from]
	if !ok {
		p = &controlPeer{members: make(map[cleat.InstanceID]cleat.Member)}
		t.controlPeers[from] = p
	}
	p.disconnectedAt = time.Time{}
	changed := m.Gone
	if m.Complete {
		changed = append(changed, slices.Sorted(maps.Keys(p.members))...)
		p.members = make(map[cleat.InstanceID]cleat.Member, len(m.Members))
	}
	for _, member := range m.Members {
		p.members[member.Peer.Instance] = member
		changed = append(changed, member.Peer.Instance)
	}
	for _, id := range m.Gone {
		delete(p.members, id)
	}
	for _, id := range changed {
		t.refresh(now, id)
	}
}

// MarkControlPeerDown records that the link to another control instance closed.
func (t *Table) MarkControlPeerDown(now time.Time, from cleat.InstanceID) {
	if p, ok := t.controlPeers[from]; ok && p.disconnectedAt.IsZero() {
		p.disconnectedAt = now
	}
}

// Tick suspects and removes unresponsive instances.
func (t *Table) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		if now.Sub(t.nodes[id].lastHeartbeat) >= t.cfg.DeadAfter {
			delete(t.nodes, id)
		}
		t.refresh(now, id)
	}
	for _, from := range slices.Sorted(maps.Keys(t.controlPeers)) {
		t.expireControlPeer(now, from)
	}
}

func (t *Table) expireControlPeer(now time.Time, from cleat.InstanceID) {
	p := t.controlPeers[from]
	if p.disconnectedAt.IsZero() || now.Sub(p.disconnectedAt) < t.cfg.ControlPeerRetention {
		return
	}
	delete(t.controlPeers, from)
	for _, id := range slices.Sorted(maps.Keys(p.members)) {
		t.refresh(now, id)
	}
}

// refresh updates the feeds for one instance.
func (t *Table) refresh(now time.Time, id cleat.InstanceID) {
	if n, ok := t.nodes[id]; ok {
		t.direct.upsert(t.member(now, n))
	} else {
		t.direct.remove(id)
	}
	if m, ok := t.bestMember(now, id); ok {
		t.merged.upsert(m)
	} else {
		t.merged.remove(id)
	}
}

func (t *Table) member(now time.Time, n *node) cleat.Member {
	return cleat.Member{
		Peer:      n.registration.Peer,
		Models:    n.registration.Models,
		Leaving:   n.registration.Leaving,
		Suspected: t.suspected(now, n),
	}
}

func (t *Table) suspected(now time.Time, n *node) bool {
	silence := now.Sub(n.lastHeartbeat)
	return silence >= t.cfg.SuspectAfter || (n.detached && silence >= t.cfg.DetachGrace)
}

// bestMember returns the most reliable record of an instance: the newest incarnation,
// and for the same incarnation one that is not suspected.
func (t *Table) bestMember(now time.Time, id cleat.InstanceID) (cleat.Member, bool) {
	var best cleat.Member
	found := false
	if n, ok := t.nodes[id]; ok {
		best, found = t.member(now, n), true
	}
	for _, from := range slices.Sorted(maps.Keys(t.controlPeers)) {
		m, ok := t.controlPeers[from].members[id]
		if ok && (!found || supersedes(m, best)) {
			best, found = m, true
		}
	}
	return best, found
}

func supersedes(a, b cleat.Member) bool {
	if a.Peer.Incarnation != b.Peer.Incarnation {
		return a.Peer.Incarnation > b.Peer.Incarnation
	}
	return !a.Suspected && b.Suspected
}

// Direct returns the changes to the instances registered here since a cursor, nil if
// there are none, and the next cursor.
func (t *Table) Direct(c Cursor) (*cleat.Members, Cursor) {
	return t.direct.since(c), t.direct.version
}

// Receiver tracks which changes to the merged membership were sent over one link.
type Receiver struct {
	cursor      Cursor
	hasComplete bool // A complete set was sent, which implies the departures.
}

// Merged returns the changes not yet sent to a receiver, nil if there are none. Until
// the table has settled after its start, absent members are not treated as gone.
func (t *Table) Merged(now time.Time, r *Receiver) *cleat.Members {
	c := r.cursor
	if t.Settled(now) && !r.hasComplete {
		c = 0
	}
	m := t.merged.since(c)
	if m == nil {
		return nil
	}
	m.Complete = m.Complete && t.Settled(now)
	r.hasComplete = r.hasComplete || m.Complete
	r.cursor = t.merged.version
	return m
}

// Settled reports whether every running instance had time to register since the start.
func (t *Table) Settled(now time.Time) bool {
	return now.Sub(t.started) >= t.cfg.SettleTime
}

// Member returns an instance from the merged membership.
func (t *Table) Member(id cleat.InstanceID) (cleat.Member, bool) {
	v, ok := t.merged.members[id]
	return v.member, ok
}

// Members returns all instances, sorted by ID.
func (t *Table) Members() []cleat.Member {
	list := make([]cleat.Member, 0, len(t.merged.members))
	for _, v := range t.merged.members {
		list = append(list, v.member)
	}
	sortMembers(list)
	return list
}

// Status returns the last status reported by each instance registered here, sorted
// by ID. It includes the requested workspace and backlogged ones, or no workspaces if
// the name is empty.
func (t *Table) Status(now time.Time, workspace cleat.WorkspaceID) []cleat.NodeStatus {
	list := make([]cleat.NodeStatus, 0, len(t.nodes))
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		n := t.nodes[id]
		r := n.registration
		r.Status = n.workspaceStatuses(workspace)
		list = append(list, cleat.NodeStatus{Register: r, Suspected: t.suspected(now, n), SinceHeartbeat: now.Sub(n.lastHeartbeat)})
	}
	return list
}

func (n *node) workspaceStatuses(requested cleat.WorkspaceID) []cleat.WorkspaceStatus {
	var list []cleat.WorkspaceStatus
	for _, s := range n.status {
		if requested != "" && (s.Workspace == requested || s.Waiting > 0) {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// HostOf returns the instance, among those registered here, that hosts an upstream.
func (t *Table) HostOf(u cleat.UpstreamID) (cleat.InstanceID, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		for _, hosted := range t.nodes[id].registration.Upstreams {
			if hosted.Upstream == u {
				return id, true
			}
		}
	}
	return "", false
}
