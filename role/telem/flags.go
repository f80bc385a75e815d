package telem

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// MinFleetKeyBytes is the minimum length of the shared fleet key.
const MinFleetKeyBytes = 16

// Flags are the settings common to all daemons, from flags or CLEAT_ environment variables.
type Flags struct {
	ID        string
	Fleet     string
	Listen    string
	HTTP      string
	Domain    string
	FleetKey  string
	TLSCert   string
	TLSKey    string
	TLSCA     string
	Controls  []string
	AddrFile  string
	LogLevel  string
	LogFormat string
}

// RegisterFlags adds the common flags to app and returns the Flags that parsing fills in.
func RegisterFlags(app *kingpin.Application) *Flags {
	f := new(Flags)
	app.Flag("id", "Name of this instance; kept over restarts, unique in the fleet.").Envar("CLEAT_ID").Required().StringVar(&f.ID)
	app.Flag("fleet", "Name of the fleet; links to another fleet are refused.").Envar("CLEAT_FLEET").Default(wire.DefaultFleet).StringVar(&f.Fleet)
	app.Flag("listen", "Address for links from other instances, as host:port; port 0 takes a free one.").Envar("CLEAT_LISTEN").Default("127.0.0.1:0").StringVar(&f.Listen)
	app.Flag("http", "Address for HTTP, as host:port; port 0 takes a free one.").Envar("CLEAT_HTTP").Default("127.0.0.1:0").StringVar(&f.HTTP)
	app.Flag("domain", "Failure domain of this instance.").Envar("CLEAT_DOMAIN").Default("default").StringVar(&f.Domain)
	app.Flag("fleet-key", "Key shared by all instances of the fleet.").Envar("CLEAT_FLEET_KEY").StringVar(&f.FleetKey)
	app.Flag("tls-cert", "Certificate file (PEM) for mutual TLS on links.").Envar("CLEAT_TLS_CERT").StringVar(&f.TLSCert)
	app.Flag("tls-key", "Private key file (PEM) for mutual TLS on links.").Envar("CLEAT_TLS_KEY").StringVar(&f.TLSKey)
	app.Flag("tls-ca", "File with the fleet's certificate authority (PEM) for mutual TLS on links.").Envar("CLEAT_TLS_CA").StringVar(&f.TLSCA)
	app.Flag("control", "Link address of a control instance, as host:port; repeatable.").Envar("CLEAT_CONTROL").StringsVar(&f.Controls)
	app.Flag("addr-file", "File that receives the bound addresses as JSON lines.").Envar("CLEAT_ADDR_FILE").StringVar(&f.AddrFile)
	app.Flag("log-level", "Minimum level of log lines: debug, info, warn or error.").Envar("CLEAT_LOG_LEVEL").Default("info").StringVar(&f.LogLevel)
	app.Flag("log-format", "Log format: text, logfmt or json.").Envar("CLEAT_LOG_FORMAT").Default("logfmt").StringVar(&f.LogFormat)
	return f
}

// Validate returns a trace.BadParameter error that names the first invalid flag.
func (f *Flags) Validate() error {
	if f.ID == "" {
		return trace.BadParameter("Flags.Validate: --id must not be empty")
	}
	if f.Domain == "" {
		return trace.BadParameter("Flags.Validate: --domain must not be empty")
	}
	if f.Fleet == "" {
		return trace.BadParameter("Flags.Validate: --fleet must not be empty")
	}
	if err := validateAddress("--listen", f.Listen); err != nil {
		return err
	}
	if err := validateAddress("--http", f.HTTP); err != nil {
		return err
	}
	for _, c := range f.Controls {
		if err := validateAddress("--control", c); err != nil {
			return err
		}
	}
	return f.validateSecrets()
}

func (f *Flags) validateSecrets() error {
	anyTLS := f.TLSCert != "" || f.TLSKey != "" || f.TLSCA != ""
	allTLS := f.TLSCert != "" && f.TLSKey != "" && f.TLSCA != ""
	if anyTLS && !allTLS {
		return trace.BadParameter("Flags.Validate: --tls-cert, --tls-key and --tls-ca must be given together")
	}
	if !allTLS && f.FleetKey == "" {
		return trace.BadParameter("Flags.Validate: --fleet-key or --tls-cert, --tls-key and --tls-ca must be given")
	}
	if f.FleetKey != "" && len(f.FleetKey) < MinFleetKeyBytes {
		return trace.BadParameter("Flags.Validate: --fleet-key must have at least %d bytes", MinFleetKeyBytes)
	}
	return nil
}

func validateAddress(flag, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return trace.BadParameter("Flags.Validate: %s must be host:port, not %q", flag, addr)
	}
	return nil
}

// TLS returns the configuration for mutual TLS on links, or nil when the fleet uses only its key.
func (f *Flags) TLS() (*tls.Config, error) {
	if f.TLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(f.TLSCert, f.TLSKey)
	if err != nil {
		return nil, trace.BadParameter("Flags.TLS: --tls-cert, --tls-key: %v", err)
	}
	pem, err := os.ReadFile(f.TLSCA)
	if err != nil {
		return nil, trace.BadParameter("Flags.TLS: --tls-ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("Flags.TLS: --tls-ca: no certificate in %s", f.TLSCA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Wire returns the configuration of links, or a trace.BadParameter error that
// names the invalid flag.
func (f *Flags) Wire() (wire.Config, error) {
	t, err := f.TLS()
	if err != nil {
		return wire.Config{}, err
	}
	cfg := wire.Config{Fleet: f.Fleet, Key: []byte(f.FleetKey), TLS: t}
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return wire.Config{}, trace.Wrap(err)
	}
	return cfg, nil
}

// Peer returns the identity of this process for its links; now is its start time and
// address is where it accepts links.
func (f *Flags) Peer(now time.Time, role cleat.Role, address string) cleat.Peer {
	return cleat.Peer{
		Instance:    cleat.InstanceID(f.ID),
		Incarnation: cleat.NewIncarnation(now),
		Role:        role,
		Domain:      cleat.DomainID(f.Domain),
		Address:     address,
	}
}
