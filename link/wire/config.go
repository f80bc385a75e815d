package wire

import (
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Version is the protocol version that both sides of a link must share.
const Version uint16 = 1

// MaxDataBytes bounds the body or answer bytes that one message should carry,
// so that short messages are not delayed behind a large one.
const MaxDataBytes = 64 << 10

// BackpressureQueueBytes is the send queue size above which SendWithBackpressure and AwaitQueueSpace block,
// to apply backpressure to long bodies and answers.
const BackpressureQueueBytes = 256 << 10

// Defaults of Config.
const (
	DefaultMaxFrameBytes  = 4 << 20
	DefaultSendQueueBytes = 16 << 20
	DefaultPingInterval   = time.Second
	DefaultPeerTimeout    = 4 * time.Second
	DefaultDialTimeout    = 2 * time.Second
	DefaultMinBackoff     = 50 * time.Millisecond
	DefaultMaxBackoff     = 3 * time.Second
	DefaultFleet          = "marigoldcleat"
	minKeyBytes           = 16 // Not a default: the shortest fleet key that Validate accepts.
)

// Config holds the settings shared by all links of a process.
type Config struct {
	Fleet          string        // Name of the fleet; links to another fleet are refused.
	Key            []byte        // Shared fleet key; may be empty only with TLS.
	TLS            *tls.Config   // Mutual TLS; nil for plain TCP.
	MaxFrameBytes  int           // Largest frame sent or accepted, in bytes.
	SendQueueBytes int           // Unsent bytes above which the peer counts as too slow and the link is closed.
	PingInterval   time.Duration // A side that sent nothing for this long sends a ping.
	PeerTimeout    time.Duration // Time without data from the peer after which the link is closed.
	DialTimeout    time.Duration // Applies to the connect and, separately, to the hello.
	MinBackoff     time.Duration // Delay before the first reconnect.
	MaxBackoff     time.Duration // Upper bound of the exponential backoff.
	Counters       *Counters     // Traffic counters; created by Defaults when nil.
}

// Defaults fills in unset fields.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.Fleet, DefaultFleet)
	cleat.SetDefault(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	cleat.SetDefault(&c.SendQueueBytes, DefaultSendQueueBytes)
	cleat.SetDefault(&c.PingInterval, DefaultPingInterval)
	cleat.SetDefault(&c.PeerTimeout, DefaultPeerTimeout)
	cleat.SetDefault(&c.DialTimeout, DefaultDialTimeout)
	cleat.SetDefault(&c.MinBackoff, DefaultMinBackoff)
	cleat.SetDefault(&c.MaxBackoff, DefaultMaxBackoff)
	if c.Counters == nil {
		c.Counters = &Counters{}
	}
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (c *Config) Validate() error {
	if len(c.Key) == 0 && c.TLS == nil {
		return trace.BadParameter("Config.Validate: a fleet key or TLS is needed")
	}
	if len(c.Key) > 0 && len(c.Key) < minKeyBytes {
		return trace.BadParameter("Config.Validate: the fleet key must have at least %d bytes", minKeyBytes)
	}
	if c.TLS != nil && (c.TLS.ClientAuth != tls.RequireAndVerifyClientCert || c.TLS.ClientCAs == nil) {
		return trace.BadParameter("Config.Validate: TLS must require and verify certificates of both sides")
	}
	if c.MaxFrameBytes < 2*MaxDataBytes {
		return trace.BadParameter("Config.Validate: MaxFrameBytes must be at least %d", 2*MaxDataBytes)
	}
	if c.SendQueueBytes < c.MaxFrameBytes {
		return trace.BadParameter("Config.Validate: SendQueueBytes must be at least MaxFrameBytes")
	}
	if c.PeerTimeout < 2*c.PingInterval {
		return trace.BadParameter("Config.Validate: PeerTimeout must be at least twice PingInterval")
	}
	return nil
}

// Identity returns this process's own peer description; it is called for each hello.
type Identity func() cleat.Peer
