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

// Client is a node's client of the control instances.
type Client struct {
	cfg    Config
	self   func() cleat.Peer
	clock  cleat.Clock
	log    *log.Logger
	dialer *wire.Dialer
	fleet  atomic.Pointer[cleat.Fleet]

	callbackMu sync.Mutex // Serialises callbacks; locked before mu.
	callbacks  callbacks
	view       *config.View
	members    *member.View
	viewLink   cleat.Link // Link of the last settings message; view must not combine pieces from two links.
	manifest   manifest

	evacuationRevision uint64 // Of the newest list of evacuated domains; guarded by callbackMu.

	exitsAhead map[cleat.Link]*cleat.UpstreamExits // Received, for the update that follows on the link; guarded by callbackMu.

	mu             sync.Mutex
	links          map[cleat.InstanceID]*controlLink
	primary        cleat.InstanceID
	lastConfirmed  time.Time // When the primary last sent a quorum-confirmed message, or was chosen.
	lastContact    time.Time // When the primary last sent a quorum-confirmed message.
	reportedStatus map[cleat.WorkspaceID]cleat.WorkspaceStatus
	statusDue      time.Time
	calls          pendingCalls
	orders         orders
}

type controlLink struct {
	link       cleat.Link
	noQuorumAt time.Time // When the client last switched from this instance because it had no quorum.
}

type callbacks struct {
	fleet   func(*cleat.Fleet)
	members func([]cleat.Member)
	sums    func(*cleat.LedgerSums)
	order   func(cleat.Order) cleat.OrderResult

	manifest  func(version uint64, body []byte, age time.Duration)
	upstreams func(*cleat.UpstreamUpdate)
	streams   streamCallbacks

	evacuations func(revision uint64, domains []cleat.DomainID)
}

var (
	_ cleat.FleetSource = (*Client)(nil)
	_ cleat.Claims      = (*Client)(nil)
	_ cleat.LinkHandler = (*Client)(nil)
)

// New returns a client that connects once Run is called. It applies the defaults
// to cfg, which must then be valid. Callbacks must be set before Run.
func New(cfg Config, wcfg wire.Config, self func() cleat.Peer, clock cleat.Clock, logger *log.Logger) *Client {
	cfg.Defaults()
	c := &Client{
		cfg: cfg, self: self, clock: clock, log: logger,
		view:       config.NewView(),
		members:    member.NewView(),
		links:      make(map[cleat.InstanceID]*controlLink),
		exitsAhead: make(map[cleat.Link]*cleat.UpstreamExits),
		calls:      newPendingCalls(),
		orders:     newOrders(),
	}
	c.dialer = wire.NewDialer(wcfg, self, c, logger)
	return c
}

// OnFleet sets the callback for new settings in force.
func (c *Client) OnFleet(f func(*cleat.Fleet)) { c.callbacks.fleet = f }

// OnMembers sets the callback that receives all members when any changed.
func (c *Client) OnMembers(f func([]cleat.Member)) { c.callbacks.members = f }

// OnSums sets the callback for sums of the service ledger.
func (c *Client) OnSums(f func(*cleat.LedgerSums)) { c.callbacks.sums = f }

// OnOrder sets the callback that executes an order. It may take long; it is called
// at most once for each order, and never with a fence lower than one seen before for
// the same upstream.
func (c *Client) OnOrder(f func(cleat.Order) cleat.OrderResult) { c.callbacks.order = f }

// Fleet returns the settings in force, or false until a quorum has confirmed a read.
func (c *Client) Fleet() (*cleat.Fleet, bool) {
	f := c.fleet.Load()
	return f, f != nil
}

// OnManifest sets the callback for each newer manifest; the first one is confirmed
// by a quorum. The control instance has had it for the age given.
func (c *Client) OnManifest(f func(version uint64, body []byte, age time.Duration)) {
	c.callbacks.manifest = f
}

// OnUpstreams sets the callback for announcements of upstreams.
func (c *Client) OnUpstreams(f func(*cleat.UpstreamUpdate)) { c.callbacks.upstreams = f }

// LastContact returns when a control instance that reaches a quorum was last heard;
// announcements of upstreams from before that have arrived.
func (c *Client) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

// SetControls replaces the link addresses of the control instances, as host:port.
func (c *Client) SetControls(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range c.cfg.Controls {
		if !slices.Contains(addrs, addr) {
			c.dialer.RemoveAddress(addr)
		}
	}
	c.cfg.Controls = slices.Clone(addrs)
	for _, addr := range addrs {
		c.dialer.AddAddress(addr)
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
			c.sendHeartbeat()
		case <-retry.C:
			c.resendUnanswered()
		case <-ctx.Done():
			c.sendLeaving()
			return nil
		}
	}
}

// sendHeartbeat sends a heartbeat to the primary. It first switches to another
// control instance when the primary has confirmed nothing for Config.ConfirmTimeout.
func (c *Client) sendHeartbeat() {
	now := c.clock.Now()
	c.mu.Lock()
	stale := c.primary != "" && len(c.links) > 1 && now.Sub(c.lastConfirmed) > c.cfg.ConfirmTimeout
	if stale {
		c.log.Warn("control instance has no quorum; switching to another", "control", c.primary)
		c.links[c.primary].noQuorumAt = now
		c.choosePrimary(now)
	}
	link := c.primaryLink()
	c.mu.Unlock()
	if link == nil {
		return
	}
	if stale {
		c.startSession(link)
		return
	}
	c.register(link, false)
}

// sendLeaving notifies the primary that this node is shutting down.
func (c *Client) sendLeaving() {
	c.mu.Lock()
	link := c.primaryLink()
	c.mu.Unlock()
	if link != nil {
		m := c.registration()
		m.Leaving = true
		c.send(link, &m)
	}
}

// registration returns the registration of this node with its current settings
// revision and manifest version.
func (c *Client) registration() cleat.Register {
	m := c.cfg.Register()
	m.Peer = c.self()
	if f := c.fleet.Load(); f != nil {
		m.Revision = f.Revision()
	}
	m.ManifestVersion = c.manifestVersion()
	return m
}

// register sends a heartbeat. Every Config.StatusInterval it also reports upstreams,
// demand and the workspaces whose status changed. When complete is set, it always
// reports them, with the status of all workspaces.
func (c *Client) register(link cleat.Link, complete bool) {
	m := c.registration()
	now := c.clock.Now()
	c.mu.Lock()
	if complete {
		c.reportedStatus = make(map[cleat.WorkspaceID]cleat.WorkspaceStatus)
	}
	if !complete && now.Before(c.statusDue) {
		m.Status, m.Upstreams, m.Demand = nil, nil, nil
	} else {
		c.statusDue = now.Add(c.cfg.StatusInterval)
		m.Status = c.changedStatus(m.Status)
	}
	c.mu.Unlock()
	c.send(link, &m)
}

// changedStatus returns the workspaces whose status differs from the one last sent;
// Client.mu is held.
func (c *Client) changedStatus(list []cleat.WorkspaceStatus) []cleat.WorkspaceStatus {
	changed := make([]cleat.WorkspaceStatus, 0, len(list))
	for _, s := range list {
		if old, ok := c.reportedStatus[s.Workspace]; ok && sameStatus(old, s) {
			continue
		}
		c.reportedStatus[s.Workspace] = s
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

// Report sends service totals to the primary. Without a link they are dropped:
// totals are cumulative, so a later report includes them.
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

// primaryLink returns the link to the primary, or nil when there is none; Client.mu
// is held.
func (c *Client) primaryLink() cleat.Link {
	if ctl, ok := c.links[c.primary]; ok {
		return ctl.link
	}
	return nil
}

// choosePrimary makes the best linked control instance the primary: first one that
// did not recently lack a quorum, then one of the same failure domain, then by a
// rendezvous hash that spreads nodes over the instances. Client.mu is held.
func (c *Client) choosePrimary(now time.Time) {
	c.primary = ""
	for id := range c.links {
		if c.primary == "" || c.prefers(now, id, c.primary) {
			c.primary = id
		}
	}
	c.lastConfirmed = now
}

// prefers reports whether a is a better primary than b; see choosePrimary.
func (c *Client) prefers(now time.Time, a, b cleat.InstanceID) bool {
	noQuorumA, noQuorumB := c.recentNoQuorum(now, a), c.recentNoQuorum(now, b)
	if !noQuorumA.Equal(noQuorumB) {
		return noQuorumA.Before(noQuorumB)
	}
	sameDomainA := c.links[a].link.Peer().Domain == c.self().Domain
	sameDomainB := c.links[b].link.Peer().Domain == c.self().Domain
	if sameDomainA != sameDomainB {
		return sameDomainA
	}
	return c.rendezvousHash(a) < c.rendezvousHash(b)
}

// noQuorumBackoff is how long a control instance without a quorum is avoided.
const noQuorumBackoff = time.Minute

// recentNoQuorum returns when the control instance was last found without a quorum,
// or the zero time when that is longer ago than noQuorumBackoff.
func (c *Client) recentNoQuorum(now time.Time, id cleat.InstanceID) time.Time {
	at := c.links[id].noQuorumAt
	if now.Sub(at) > noQuorumBackoff {
		return time.Time{}
	}
	return at
}

func (c *Client) rendezvousHash(id cleat.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.self().Instance))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
