package proxy

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/budget"
	"marigoldcleat.example/cleat/policy/place"
)

// Defaults of Config.
const (
	DefaultDialTimeout    = 400 * time.Millisecond // Several round trips inside a region.
	DefaultSilence        = time.Second            // Unacknowledged bytes or probes after which a connection is dead.
	DefaultIdle           = 30 * time.Second       // For which a connection to an upstream is kept, unless it says less.
	DefaultMaxIdle        = 64                     // Kept connections for each upstream.
	DefaultReportInterval = 50 * time.Millisecond  // Between reports to other entries.
	DefaultConfirmTimeout = 1500 * time.Millisecond
	DefaultGrace          = 8 * time.Second // From the request to shut down to the end.
	DefaultMaxKept        = 2000
	DefaultMaxBody        = 4 << 20  // Bytes of a request's body.
	DefaultHeldBytes      = 16 << 20 // Of all requests' bodies together.
)

// Config sets up an entry that forwards.
type Config struct {
	Self     cleat.InstanceID
	Domain   cleat.DomainID
	Callers  string // For callers, as host:port.
	HTTP     string // For health and metrics, as host:port.
	Links    string // For links from other entries, as host:port.
	Controls []string
	Wire     wire.Config
	Place    place.Config
	Retries  budget.Config
	Dialect  cleat.Dialect
	Decoder  cleat.RouteTableDecoder

	ExtraHTTP string                                // Address of a further API, as host:port; used with Extra.
	Extra     func(r *Role) http.Handler            // Makes the further API; nil for none.
	Settings  func() (controls []string, err error) // Reads again what may change while running; nil for nothing.

	DialTimeout    time.Duration
	Silence        time.Duration
	Idle           time.Duration
	MaxIdle        int
	ReportInterval time.Duration
	ConfirmTimeout time.Duration // Without a quorum's word before another control instance is used.
	Grace          time.Duration
	MaxBody        int64
	HeldBytes      int64
	MaxKept        int // Callers' connections beyond which answers ask to close them.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	c.Wire.Defaults()
	c.Place.Domain = c.Domain
	c.Place.Defaults()
	cleat.SetDefault(&c.Retries.Ratio, 0.1)
	cleat.SetDefault(&c.Retries.Slack, 10)
	cleat.SetDefault(&c.Retries.Window, 10*time.Second)
	cleat.SetDefault(&c.DialTimeout, DefaultDialTimeout)
	cleat.SetDefault(&c.Silence, DefaultSilence)
	cleat.SetDefault(&c.Idle, DefaultIdle)
	cleat.SetDefault(&c.MaxIdle, DefaultMaxIdle)
	cleat.SetDefault(&c.ReportInterval, DefaultReportInterval)
	cleat.SetDefault(&c.ConfirmTimeout, DefaultConfirmTimeout)
	cleat.SetDefault(&c.Grace, DefaultGrace)
	cleat.SetDefault(&c.MaxBody, DefaultMaxBody)
	cleat.SetDefault(&c.HeldBytes, DefaultHeldBytes)
	cleat.SetDefault(&c.MaxKept, DefaultMaxKept)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	switch {
	case c.Self == "" || c.Domain == "":
		return trace.BadParameter("Config.Validate: the instance needs a name and a failure domain")
	case c.Callers == "" || c.Links == "" || c.HTTP == "":
		return trace.BadParameter("Config.Validate: the addresses for callers, links and metrics must be set")
	case c.Dialect == nil || c.Decoder == nil:
		return trace.BadParameter("Config.Validate: a dialect and a decoder of manifests are needed")
	case len(c.Controls) == 0:
		return trace.BadParameter("Config.Validate: at least one control instance is needed")
	}
	return trace.Wrap(c.Wire.Validate())
}
