package node

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/member"
	"marigoldcleat.example/cleat/state/config"
)

// Client is a node's client to the control instances.
type Client struct {
	cfg    Config
	self   func() cleat.Peer
	clock  cleat.Clock
	log    *log.Logger
	dialer *wire.Dialer
	fleet  atomic.Pointer[cleat.Fleet]

	deliver sync.Mutex // Serialises callbacks; taken before mu.
	hooks   hooks
	view    *config.View
	members *member.View
	from    cleat.Link // Which link view's pieces came from.
	kept    manifest

	mu        sync.Mutex
	links     map[cleat.InstanceID]*control
	primary   cleat.InstanceID
	confirmed time.Time // When the primary last sent something confirmed.
	reported  map[cleat.WorkspaceID]cleat.WorkspaceStatus
	statusDue time.Time
	calls     calls
	orders    orders
}

type control struct {
	link  cleat.Link
	stale time.Time // When it was last left for lack of a quorum.
}

type hooks struct {
	fleet   func(*cleat.Fleet)
	members func([]cleat.Member)
	sums    func(*cleat.LedgerSums)
	order   func(cleat.Order) cleat.OrderResult

	manifest  func(version uint64, body []byte)
	upstreams func([]cleat.UpstreamRecord)
}

var (
	_ cleat.FleetSource = (*Client)(nil)
	_ cleat.Claims      = (*Client)(nil)
	_ cleat.LinkHandler = (*Client)(nil)
)

// New returns a client that connects once Run is called; cfg must be valid
// after Defaults. Callbacks are to be set before Run.
func New(cfg Config, wcfg wire.Config, self func() cleat.Peer, clock cleat.Clock, logger *log.Logger) *Client {
	cfg.Defaults()
	c := &Client{
		cfg: cfg, self: self, clock: clock, log: logger,
		view:    config.NewView(),
		members: member.NewView(),
		links:   make(map[cleat.InstanceID]*control),
		calls:   newCalls(),
		orders:  newOrders(),
	}
	c.dialer = wire.NewDialer(wcfg, self, c, logger)
	return c
}

// OnFleet sets what is called with new settings in force.
func (c *Client) OnFleet(f func(*cleat.Fleet)) { c.hooks.fleet = f }

// OnMembers sets what is called with all members when any changed.
func (c *Client) OnMembers(f func([]cleat.Member)) { c.hooks.members = f }

// OnSums sets what is called with sums of the service ledger.
func (c *Client) OnSums(f func(*cleat.LedgerSums)) { c.hooks.sums = f }

// OnOrder sets what carries out an order; it may take long and is called at
// most once for each order, never with a lower fence than one seen.
func (c *Client) OnOrder(f func(cleat.Order) cleat.OrderResult) { c.hooks.order = f }

// Fleet returns the settings in force, or false until a read confirmed by a quorum.
func (c *Client) Fleet() (*cleat.Fleet, bool) {
	f := c.fleet.Load()
	return f, f != nil
}

// OnManifest sets what is called with each newer manifest, the first time with
// one that a quorum confirmed.
func (c *Client) OnManifest(f func(version uint64, body []byte)) { c.hooks.manifest = f }

// OnUpstreams sets what is called with announcements of upstreams.
func (c *Client) OnUpstreams(f func([]cleat.UpstreamRecord)) { c.hooks.upstreams = f }

// SetControls replaces the link addresses of the control instances, as host:port.
func (c *Client) SetControls(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range c.cfg.Controls {
		if !slices.Contains(addrs, addr) {
			c.dialer.Drop(addr)
		}
	}
	c.cfg.Controls = slices.Clone(addrs)
	for _, addr := range addrs {
		c.dialer.Keep(addr)
	}
}

// Run keeps links to all control instances until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.SetControls(c.cfg.Controls)
	defer c.dialer.Close()
	heartbeat := time.NewTicker(c.cfg.Heartbeat)
	defer heartbeat.Stop()
	retry := time.NewTicker(c.cfg.RetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-heartbeat.C:
			c.beat()
		case <-retry.C:
			c.retry()
		case <-ctx.Done():
			c.leave()
			return nil
		}
	}
}

// beat sends a heartbeat, after leaving a control instance without a quorum.
func (c *Client) beat() {
	now := c.clock.Now()
	c.mu.Lock()
	stale := c.primary != "" && len(c.links) > 1 && now.Sub(c.confirmed) > c.cfg.ConfirmTimeout
	if stale {
		c.log.Warn("the control instance has no quorum; using another", "control", c.primary)
		c.links[c.primary].stale = now
		c.choose(now)
	}
	link := c.primaryLink()
	c.mu.Unlock()
	if link == nil {
		return
	}
	if stale {
		c.begin(link)
		return
	}
	c.register(link, false)
}

// leave tells the control instance that this node goes away.
func (c *Client) leave() {
	c.mu.Lock()
	link := c.primaryLink()
	c.mu.Unlock()
	if link != nil {
		m := c.describe()
		m.Leaving = true
		c.send(link, &m)
	}
}

// describe returns the registration without what goes out at intervals only.
func (c *Client) describe() cleat.Register {
	m := c.cfg.Register()
	m.Peer = c.self()
	if f := c.fleet.Load(); f != nil {
		m.Revision = f.Revision()
	}
	m.Manifest = c.manifestVersion()
	return m
}

// register sends a heartbeat; whole tells also what usually goes out at intervals.
func (c *Client) register(link cleat.Link, whole bool) {
	m := c.describe()
	now := c.clock.Now()
	c.mu.Lock()
	if whole {
		c.reported = make(map[cleat.WorkspaceID]cleat.WorkspaceStatus)
	}
	if !whole && now.Before(c.statusDue) {
		m.Status, m.Upstreams, m.Demand = nil, nil, nil
	} else {
		c.statusDue = now.Add(c.cfg.StatusInterval)
		m.Status = c.changedStatus(m.Status)
	}
	c.mu.Unlock()
	c.send(link, &m)
}

// changedStatus returns the workspaces that differ from what was last sent.
func (c *Client) changedStatus(list []cleat.WorkspaceStatus) []cleat.WorkspaceStatus {
	changed := make([]cleat.WorkspaceStatus, 0, len(list))
	for _, s := range list {
		if old, ok := c.reported[s.Workspace]; ok && sameStatus(old, s) {
			continue
		}
		c.reported[s.Workspace] = s
		changed = append(changed, s)
	}
	return changed
}

func sameStatus(a, b cleat.WorkspaceStatus) bool {
	if a.Waiting != b.Waiting || a.Running != b.Running || a.Served != b.Served || a.Service != b.Service || len(a.Refused) != len(b.Refused) {
		return false
	}
	for reason, n := range a.Refused {
		if b.Refused[reason] != n {
			return false
		}
	}
	return true
}

// Report sends service totals to one control instance; without any they are
// dropped, since later reports carry the same cumulative totals.
func (c *Client) Report(m *cleat.LedgerReport) {
	c.mu.Lock()
	link := c.primaryLink()
	c.mu.Unlock()
	if link != nil {
		c.send(link, m)
	}
}

func (c *Client) send(link cleat.Link, m cleat.Message) {
	if err := link.Send(m); err != nil {
		c.log.Debug("message to a control instance not sent", "control", link.Peer().Instance, "err", err)
	}
}

func (c *Client) primaryLink() cleat.Link {
	if ctl, ok := c.links[c.primary]; ok {
		return ctl.link
	}
	return nil
}

// choose makes the best linked control instance the primary one: one that was
// not left lately for lack of a quorum, then one of the same failure domain,
// then by a hash that spreads nodes.
func (c *Client) choose(now time.Time) {
	c.primary = ""
	for id := range c.links {
		if c.primary == "" || c.prefers(now, id, c.primary) {
			c.primary = id
		}
	}
	c.confirmed = now
}

func (c *Client) prefers(now time.Time, a, b cleat.InstanceID) bool {
	staleA, staleB := c.lately(now, a), c.lately(now, b)
	if !staleA.Equal(staleB) {
		return staleA.Before(staleB)
	}
	nearA := c.links[a].link.Peer().Domain == c.self().Domain
	nearB := c.links[b].link.Peer().Domain == c.self().Domain
	if nearA != nearB {
		return nearA
	}
	return c.spread(a) < c.spread(b)
}

// staleMemory is how long a control instance that had no quorum is avoided.
const staleMemory = time.Minute

func (c *Client) lately(now time.Time, id cleat.InstanceID) time.Time {
	stale := c.links[id].stale
	if now.Sub(stale) > staleMemory {
		return time.Time{}
	}
	return stale
}

func (c *Client) spread(id cleat.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.self().Instance))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
