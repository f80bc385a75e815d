package ctrl

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/member"
	"marigoldcleat.example/cleat/policy/order"
)

// Defaults of Config.
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
	DefaultControlFileCheck  = time.Second
	DefaultAutopilotInterval = 200 * time.Millisecond
	DefaultSilentAfter       = 2 * time.Second // Above an election with a retry.
	DefaultAckConfirmed      = 1500 * time.Millisecond
	MaxClaimsInFlight        = 4096
	MaxBodyBytes             = 4 << 20 // Of one call to the operators' API.
)

// Config sets up one control instance.
type Config struct {
	ID          cleat.InstanceID
	Domain      cleat.DomainID
	Listen      string             // For links, as host:port; port 0 takes the port of the last start, else a free one.
	HTTP        string             // For operators, as host:port; port 0 as for Listen.
	DataFolder  string             // Where the log and the addresses are kept.
	Disk        cleat.Disk         // For the log; nil for a folder inside DataFolder.
	Controls    []string           // Link addresses of the other control instances, as host:port.
	ControlFile string             // File with further link addresses, one a line, read again while running.
	First       []cleat.InstanceID // The instances that form a new log together; empty to join one.
	Join        []cleat.InstanceID // The instances of the log to join.
	Seed        string             // File with the state of a lost log, taken over by a new log of one instance.
	Wire        wire.Config
	Member      member.Config
	Order       order.Config

	Decoder   cleat.RouteTableDecoder    // Of manifests; nil when the instance takes none.
	ExtraHTTP string                     // Address of a further API, as host:port; used with Extra.
	Extra     func(r *Role) http.Handler // Makes the further API; nil for none.
	Autopilot bool                       // Lost members of the log are replaced by new instances without an operator.

	AutopilotInterval time.Duration // Between decisions on members of the log.
	SilentAfter       time.Duration // Silence after which a member of the log counts as lost.
	AckConfirmed      time.Duration // Age of the last confirmation by a quorum up to which announcements are taken.

	PushInterval    time.Duration // Between checks for settings to send to nodes.
	MemberInterval  time.Duration // Between batches of membership changes.
	SumsInterval    time.Duration // Between sums of the ledger to an agent.
	ConfirmInterval time.Duration // Between confirmed reads that tell nodes of a quorum.
	OrderInterval   time.Duration // Between decisions on orders.
	ClaimTimeout    time.Duration
	ChangeTimeout   time.Duration
	HolderLostAfter time.Duration // Absence of an entry until its claims are in doubt.
	ClaimTick       time.Duration // Between commands that move the claims' time.
}

// Defaults sets what was left out.
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
	cleat.SetDefault(&c.SilentAfter, DefaultSilentAfter)
	cleat.SetDefault(&c.AckConfirmed, DefaultAckConfirmed)
	if len(c.First) == 0 && len(c.Join) == 0 && len(c.Controls) == 0 && c.ControlFile == "" {
		c.First = []cleat.InstanceID{c.ID}
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.ID == "" {
		return trace.BadParameter("Config.Validate: the instance needs a name")
	}
	if c.DataFolder == "" {
		return trace.BadParameter("Config.Validate: the instance needs a data folder")
	}
	cleat.SetDefault(&c.AutopilotInterval, DefaultAutopilotInterval)
	cleat.SetDefault(&c.SilentAfter, DefaultSilentAfter)
	cleat.SetDefault(&c.AckConfirmed, DefaultAckConfirmed)
	if len(c.First) == 0 && len(c.Join) == 0 {
		return trace.BadParameter("Config.Validate: name the first instances of a new log or the instances to join")
	}
	if len(c.First) > 0 && len(c.Join) > 0 {
		return trace.BadParameter("Config.Validate: an instance either forms a new log or joins one")
	}
	if c.Seed != "" && (len(c.First) != 1 || c.First[0] != c.ID) {
		return trace.BadParameter("Config.Validate: only a new log of this instance alone can take over a state")
	}
	if err := c.Wire.Validate(); err != nil {
		return trace.Wrap(err)
	}
	if err := c.Member.Validate(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.Order.Validate())
}
