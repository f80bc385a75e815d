package ctrl

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/member"
	"marigoldcleat.example/cleat/policy/order"
	"marigoldcleat.example/cleat/state/quorum"
)

// Defaults of Config, and fixed intervals and limits.
const (
	DefaultPushInterval      = 50 * time.Millisecond
	DefaultMemberInterval    = 200 * time.Millisecond
	DefaultSumsInterval      = 500 * time.Millisecond
	DefaultConfirmInterval   = time.Second
	DefaultOrderInterval     = 5 * time.Second
	DefaultClaimTimeout      = 2 * time.Second
	DefaultChangeTimeout     = 5 * time.Second
	DefaultHolderLostAfter   = 30 * time.Second
	DefaultClaimTick         = time.Minute
	DefaultAutopilotInterval = 200 * time.Millisecond
	DefaultReplicaLostAfter  = 2 * time.Second // Longer than an election with one retry.
	DefaultMaxQuorumAge      = 1500 * time.Millisecond
	ControlFileInterval      = time.Second // Between reads of the control file.
	MaxClaimsInFlight        = 4096
	MaxBodyBytes             = 4 << 20 // Of one request to the operators' API.
)

// Config sets up one control instance.
type Config struct {
	ID               cleat.InstanceID
	Domain           cleat.DomainID
	Listen           string             // For links, as host:port; port 0 reuses the port of the last start if it is free.
	HTTP             string             // For operators, as host:port; port 0 as for Listen.
	DataFolder       string             // Holds the log, the bound addresses and the root token.
	Disk             cleat.Disk         // For the log; nil for a subfolder of DataFolder.
	Controls         []string           // Link addresses of the other control instances, as host:port.
	ControlFile      string             // File with further link addresses, one per line, read again while running.
	InitialInstances []cleat.InstanceID // The initial members of a new log; empty to join an existing log.
	Join             []cleat.InstanceID // Instances of an existing log that this instance joins.
	NewFleet         bool               // There has been no fleet before the first start of this instance, and so no streams.
	Seed             string             // File with the state of a lost log, restored into a new log of one instance.
	Wire             wire.Config
	Member           member.Config
	Order            order.Config

	Decoder   cleat.RouteTableDecoder    // Decodes manifests; nil if the instance accepts none.
	ExtraHTTP string                     // Address of the additional API, as host:port; used with Extra.
	Extra     func(r *Role) http.Handler // Makes the handler of the additional API; nil for none.
	Autopilot bool                       // Replaces lost members of the log by new instances without an operator.

	AutopilotInterval time.Duration // Between checks of the log's members.
	ReplicaLostAfter  time.Duration // Time without contact after which a member of the log counts as lost.
	ToleratedLosses   int           // Members of the log that may be lost at once; zero when not known.
	MaxQuorumAge      time.Duration // Upstreams are announced or withdrawn only if a quorum answered within this time.

	PushInterval    time.Duration // Least time between two pushes of changed settings to nodes.
	MemberInterval  time.Duration // Between batches of membership changes.
	SumsInterval    time.Duration // Between ledger sums sent to agents.
	ConfirmInterval time.Duration // Between confirmed reads that show nodes that this instance reaches a quorum.
	OrderInterval   time.Duration // Between rounds of the leader's work: lost claim holders and orders.
	ClaimTimeout    time.Duration
	ChangeTimeout   time.Duration
	HolderLostAfter time.Duration // Absence after which an entry's claims are put in doubt.
	ClaimTick       time.Duration // Between commands that advance the claims' clock.
	MaxHeldBytes    int64         // Memory that all callers of the APIs make the process hold; see httpd.Budget.
	MaxConns        int           // Open connections to the APIs; above three quarters, some without a request are closed.
}

// Defaults sets the fields that are left at zero.
func (c *Config) Defaults() {
	c.Wire.Defaults()
	c.Member.Defaults()
	c.Order.Defaults()
	cleat.SetDefault(&c.PushInterval, DefaultPushInterval)
	cleat.SetDefault(&c.MemberInterval, DefaultMemberInterval)
	cleat.SetDefault(&c.SumsInterval, DefaultSumsInterval)
	cleat.SetDefault(&c.ConfirmInterval, DefaultConfirmInterval)
	cleat.SetDefault(&c.OrderInterval, DefaultOrderInterval)
	cleat.SetDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	cleat.SetDefault(&c.ChangeTimeout, DefaultChangeTimeout)
	cleat.SetDefault(&c.HolderLostAfter, DefaultHolderLostAfter)
	cleat.SetDefault(&c.ClaimTick, DefaultClaimTick)
	cleat.SetDefault(&c.AutopilotInterval, DefaultAutopilotInterval)
	cleat.SetDefault(&c.ReplicaLostAfter, DefaultReplicaLostAfter)
	cleat.SetDefault(&c.MaxQuorumAge, DefaultMaxQuorumAge)
	cleat.SetDefault(&c.MaxHeldBytes, httpd.DefaultMaxHeldBytes)
	cleat.SetDefault(&c.MaxConns, httpd.DefaultMaxConns)
	if len(c.InitialInstances) == 0 && len(c.Join) == 0 && len(c.Controls) == 0 && c.ControlFile == "" {
		c.InitialInstances = []cleat.InstanceID{c.ID}
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.ID == "" {
		return trace.BadParameter("Config.Validate: the instance ID is empty")
	}
	if c.DataFolder == "" {
		return trace.BadParameter("Config.Validate: the data folder is not set")
	}
	if c.ToleratedLosses < 0 || 2*c.ToleratedLosses+1 > quorum.MaxVoters {
		return trace.BadParameter("Config.Validate: %d lost members can't be tolerated: the log has at most %d voters", c.ToleratedLosses, quorum.MaxVoters)
	}
	if len(c.InitialInstances) == 0 && len(c.Join) == 0 {
		return trace.BadParameter("Config.Validate: either the initial instances of a new log or the instances to join are required")
	}
	if len(c.InitialInstances) > 0 && len(c.Join) > 0 {
		return trace.BadParameter("Config.Validate: initial instances and instances to join are mutually exclusive")
	}
	if c.Seed != "" && (len(c.InitialInstances) != 1 || c.InitialInstances[0] != c.ID) {
		return trace.BadParameter("Config.Validate: a state can be restored only into a new log whose sole instance is this one")
	}
	if err := c.Wire.Validate(); err != nil {
		return trace.Wrap(err)
	}
	if err := c.Member.Validate(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.Order.Validate())
}
