package proxy

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/budget"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/policy/poison"
	"marigoldcleat.example/cleat/policy/resume"
)

// Defaults of Config.
const (
	DefaultDialTimeout       = 400 * time.Millisecond // Several round trips inside a region.
	DefaultTCPUserTimeout    = time.Second            // Time that sent bytes or keep-alive probes may stay unacknowledged.
	DefaultIdleTimeout       = 30 * time.Second       // For connections to an upstream, unless its Keep-Alive header states less.
	DefaultMaxIdleConns      = 64                     // For each upstream.
	DefaultReportInterval    = 50 * time.Millisecond  // Between reports to other entries.
	DefaultConfirmTimeout    = 1500 * time.Millisecond
	DefaultGracePeriod       = 8 * time.Second
	DefaultMaxKeepAliveConns = 2000
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeldBytes      = httpd.DefaultMaxHeldBytes
	DefaultMaxConns          = httpd.DefaultMaxConns
	DefaultMaxAnswerBytes    = 256 << 20
)

// Config holds the settings of a forwarding entry.
type Config struct {
	Self     cleat.InstanceID
	Domain   cleat.DomainID
	Callers  string   // Address for callers, as host:port.
	HTTP     string   // Address for health and metrics, as host:port.
	Links    string   // Address for links from other entries, as host:port.
	Controls []string // Addresses of the control instances.
	Wire     wire.Config
	Place    place.Config
	Retries  budget.Config
	Resume   resume.Config
	Poison   poison.Config
	Requests poison.RequestConfig
	Dialect  cleat.Dialect
	Decoder  cleat.RouteTableDecoder

	ExtraHTTP      string                                // Address of an additional API, as host:port; used with Extra.
	Extra          func(r *Role) http.Handler            // Returns the handler of the additional API; nil for none.
	ReloadControls func() (controls []string, err error) // Reloads Controls while running; nil if they stay fixed.

	DialTimeout       time.Duration
	TCPUserTimeout    time.Duration // Time after which a connection without acknowledgements is closed.
	IdleTimeout       time.Duration
	MaxIdleConns      int
	ReportInterval    time.Duration
	ConfirmTimeout    time.Duration // Time without confirmation by a quorum before another control instance is used.
	GracePeriod       time.Duration // From the start of a graceful shutdown to its end.
	MaxBodyBytes      int64         // Size of a request's body.
	MaxHeldBytes      int64         // Memory that all callers make the process hold; see httpd.Budget.
	MaxConns          int           // Open connections of callers; above three quarters, some without a request are closed.
	MaxAnswerBytes    int64         // Size of an upstream's answer, with its framing; a longer one is broken off.
	MaxKeepAliveConns int           // Open connections of callers above which answers carry "Connection: close".
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	c.Wire.Defaults()
	c.Place.Domain, c.Place.Self = c.Domain, c.Self
	c.Place.Defaults()
	cleat.SetDefault(&c.Retries.Ratio, 0.1)
	cleat.SetDefault(&c.Retries.Slack, 10)
	cleat.SetDefault(&c.Retries.Window, 10*time.Second)
	cleat.SetDefault(&c.DialTimeout, DefaultDialTimeout)
	cleat.SetDefault(&c.TCPUserTimeout, DefaultTCPUserTimeout)
	cleat.SetDefault(&c.IdleTimeout, DefaultIdleTimeout)
	cleat.SetDefault(&c.MaxIdleConns, DefaultMaxIdleConns)
	cleat.SetDefault(&c.ReportInterval, DefaultReportInterval)
	cleat.SetDefault(&c.ConfirmTimeout, DefaultConfirmTimeout)
	cleat.SetDefault(&c.GracePeriod, DefaultGracePeriod)
	cleat.SetDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	cleat.SetDefault(&c.MaxHeldBytes, DefaultMaxHeldBytes)
	cleat.SetDefault(&c.MaxConns, DefaultMaxConns)
	cleat.SetDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	cleat.SetDefault(&c.MaxKeepAliveConns, DefaultMaxKeepAliveConns)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	switch {
	case c.Self == "" || c.Domain == "":
		return trace.BadParameter("Config.Validate: the instance needs a name and a failure domain")
	case c.Callers == "" || c.Links == "" || c.HTTP == "":
		return trace.BadParameter("Config.Validate: the addresses for callers, links and metrics must be set")
	case c.Dialect == nil || c.Decoder == nil:
		return trace.BadParameter("Config.Validate: a dialect and a manifest decoder are needed")
	case len(c.Controls) == 0:
		return trace.BadParameter("Config.Validate: at least one control instance is needed")
	}
	return trace.Wrap(c.Wire.Validate())
}
