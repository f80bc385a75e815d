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

// Config holds the timeouts of the membership.
type Config struct {
	SuspectAfter time.Duration // Without heartbeats, until an instance with a link is suspected.
	DetachGrace  time.Duration // Without heartbeats, until an instance without a link is suspected.
	DeadAfter    time.Duration // Without heartbeats, until an instance is removed.
	RelayGrace   time.Duration // How long the members of an unreachable control instance are kept.
	Settle       time.Duration // After a start, until absent members count as gone.
}

// Defaults sets the zero fields to their defaults.
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

// Validate returns a trace.BadParameter error if a time is out of range.
func (c *Config) Validate() error {
	if c.SuspectAfter <= 0 || c.DetachGrace <= 0 || c.RelayGrace <= 0 || c.Settle < 0 {
		return trace.BadParameter("Config.Validate: all times must be positive")
	}
	if c.DeadAfter <= c.SuspectAfter {
		return trace.BadParameter("Config.Validate: DeadAfter must exceed SuspectAfter")
	}
	return nil
}

// Table is the membership as known to one control instance. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	started time.Time
	nodes   map[cleat.InstanceID]*node
	relays  map[cleat.InstanceID]*relay
	direct  feed // Instances registered here; sent to control instances.
	merged  feed // All instances; sent to nodes.
}

// node is an instance registered here.
type node struct {
	register      cleat.Register
	status        map[cleat.WorkspaceID]cleat.WorkspaceStatus
	lastHeartbeat time.Time // Time of the last heartbeat.
	detached      bool      // Its link is closed.
}

// relay is another control instance with the members registered there.
type relay struct {
	members        map[cleat.InstanceID]cleat.Member
	disconnectedAt time.Time // When its link closed; zero while the link is up.
}

// New returns an empty table; cfg must be valid.
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

// Register records a registration or heartbeat. It returns false if a newer
// incarnation of the instance is known.
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
	n.lastHeartbeat, n.detached = now, false
	n.merge(m)
	t.refresh(now, id)
	return true
}

// merge replaces the registration, except for fields that light heartbeats omit.
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

// Detach records that the link to an instance closed.
func (t *Table) Detach(id cleat.InstanceID, incarnation cleat.Incarnation) {
	if n, ok := t.nodes[id]; ok && n.register.Peer.Incarnation == incarnation {
		n.detached = true
	}
}

// Relay merges the members registered with another control instance.
func (t *Table) Relay(now time.Time, from cleat.InstanceID, m *cleat.Members) {
	r, ok := t.relays[from]
	if !ok {
		r = &relay{members: make(map[cleat.InstanceID]cleat.Member)}
		t.relays[from] = r
	}
	r.disconnectedAt = time.Time{}
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

// RelayDown records that the link to another control instance closed.
func (t *Table) RelayDown(now time.Time, from cleat.InstanceID) {
	if r, ok := t.relays[from]; ok && r.disconnectedAt.IsZero() {
		r.disconnectedAt = now
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
	for _, from := range slices.Sorted(maps.Keys(t.relays)) {
		t.expireRelay(now, from)
	}
}

func (t *Table) expireRelay(now time.Time, from cleat.InstanceID) {
	r := t.relays[from]
	if r.disconnectedAt.IsZero() || now.Sub(r.disconnectedAt) < t.cfg.RelayGrace {
		return
	}
	delete(t.relays, from)
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
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
		Peer:      n.register.Peer,
		Models:    n.register.Models,
		Leaving:   n.register.Leaving,
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
	for _, from := range slices.Sorted(maps.Keys(t.relays)) {
		m, ok := t.relays[from].members[id]
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
// the table has settled after its start, absent members don't count as gone.
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
	return now.Sub(t.started) >= t.cfg.Settle
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
		r := n.register
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

// Host returns the instance, among those registered here, that hosts an upstream.
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
