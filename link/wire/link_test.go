package wire_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/stand/fakes"
)

const eventuallyTimeout = 20 * time.Second

var _ = Describe("Link", func() {
	var server, client *recorder

	BeforeEach(func() {
		server, client = &recorder{}, &recorder{}
	})

	connect := func(cfg wire.Config) (*wire.Server, *wire.Dialer) {
		s := listen(cfg, server)
		d := dial(cfg, entryPeer, s.Addr(), client)
		Eventually(client.UpCount, eventuallyTimeout).Should(Equal(1))
		Eventually(server.UpCount, eventuallyTimeout).Should(Equal(1))
		return s, d
	}

	It("gives each side the identity of its peer and delivers messages in order in both directions", func() {
		connect(testConfig())
		Expect(client.link.Peer()).To(Equal(agentPeer()))
		Expect(server.link.Peer()).To(Equal(entryPeer()))
		d := &cleat.Dispatch{
			Incarnation: 9, Grant: 3, Attempt: cleat.Attempt{Request: "r1", Number: 1},
			Stream: cleat.Stream{Workspace: "ring/desk", Class: "draft", Kind: cleat.KindModel, Model: "m"},
			Header: []cleat.HeaderField{{Name: "A", Value: "b"}}, Body: []byte("body"), BodyMore: true, Timeout: time.Minute,
		}
		b := &cleat.Body{Attempt: d.Attempt, Offset: 4, Data: make([]byte, wire.MaxDataBytes)}
		Expect(client.Send(d)).To(Succeed())
		Expect(client.Send(b)).To(Succeed())
		Eventually(server.Messages, eventuallyTimeout).Should(Equal([]cleat.Message{d, b}))
		p := &cleat.Part{Attempt: d.Attempt, Status: 200, Data: []byte("x"), End: true, Outcome: cleat.Outcome{Kind: cleat.OutcomeDone}}
		Expect(server.Send(p)).To(Succeed())
		Eventually(client.Messages, eventuallyTimeout).Should(Equal([]cleat.Message{p}))
	})

	refusals := map[string]struct {
		change func(c *wire.Config)
		self   func() cleat.Peer
	}{
		"a wrong key":                        {func(c *wire.Config) { c.Key = []byte("another key 1234") }, entryPeer},
		"another fleet":                      {func(c *wire.Config) { c.Fleet = "other" }, entryPeer},
		"a peer with the same instance name": {func(*wire.Config) {}, agentPeer},
		"a peer without an instance name":    {func(*wire.Config) {}, func() cleat.Peer { return cleat.Peer{} }},
		"a TLS dialer on a plain TCP server": {func(c *wire.Config) { c.TLS = mutualTLS() }, entryPeer},
	}
	for name, c := range refusals {
		It("refuses and counts "+name, func() {
			s := listen(testConfig(), server)
			cfg := testConfig()
			c.change(&cfg)
			dial(cfg, c.self, s.Addr(), client)
			Eventually(s.Counters().RefusedHellos, eventuallyTimeout).Should(BeNumerically(">=", 1))
			Expect(server.UpCount()).To(BeZero())
			Expect(client.UpCount()).To(BeZero())
		})
	}

	It("delivers messages over mutual TLS without a fleet key", func() {
		connect(wire.Config{TLS: mutualTLS()})
		Expect(client.Send(&cleat.Cancel{})).To(Succeed())
		Eventually(server.Messages, eventuallyTimeout).Should(HaveLen(1))
	})

	It("fails to send an oversized message and keeps the link up", func() {
		cfg := testConfig()
		cfg.MaxFrameBytes = 4 * wire.MaxDataBytes
		connect(cfg)
		err := client.Send(&cleat.Body{Data: make([]byte, cfg.MaxFrameBytes)})
		Expect(trace.IsLimitExceeded(err)).To(BeTrue())
		Expect(client.Send(&cleat.Cancel{})).To(Succeed())
		Eventually(server.Messages, eventuallyTimeout).Should(HaveLen(1))
	})

	It("closes a link whose peer sends a frame larger than allowed", func() {
		cfg := testConfig()
		cfg.MaxFrameBytes = 4 * wire.MaxDataBytes
		s := listen(cfg, server)
		dial(testConfig(), entryPeer, s.Addr(), client)
		Eventually(client.UpCount, eventuallyTimeout).Should(Equal(1))
		Expect(client.Send(&cleat.Body{Data: make([]byte, cfg.MaxFrameBytes)})).To(Succeed())
		Eventually(server.DownCount, eventuallyTimeout).Should(Equal(1))
		Expect(trace.IsLimitExceeded(server.downErrors[0])).To(BeTrue())
	})

	It("refuses garbage in place of a hello", func() {
		s := listen(testConfig(), server)
		conn, err := net.Dial("tcp", s.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.Counters().RefusedHellos, eventuallyTimeout).Should(BeEquivalentTo(1))
	})

	It("closes the link to a peer that reads too slowly and fails further sends", func() {
		cfg := testConfig()
		cfg.SendQueueBytes = cfg.MaxFrameBytes + wire.DefaultMaxFrameBytes
		server.blockMessages = make(chan struct{})
		defer close(server.blockMessages)
		connect(cfg)
		big := &cleat.Body{Data: make([]byte, wire.MaxDataBytes)}
		Eventually(func() error { return client.Send(big) }, eventuallyTimeout, time.Microsecond).Should(MatchError(trace.IsConnectionProblem, "a connection problem"))
		Eventually(client.DownCount, eventuallyTimeout).Should(Equal(1))
	})

	It("applies backpressure to long bodies and stops waiting when the context is done", func() {
		server.blockMessages = make(chan struct{})
		defer close(server.blockMessages)
		connect(testConfig())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		big := &cleat.Body{Data: make([]byte, wire.MaxDataBytes)}
		Eventually(func() error { return wire.SendWithBackpressure(ctx, client.link, big) }, eventuallyTimeout, time.Microsecond).ShouldNot(Succeed())
		Expect(client.link.(*wire.Conn).QueuedBytes()).To(BeNumerically("<=", wire.BackpressureQueueBytes+2*wire.MaxDataBytes))
	})

	It("detects an unresponsive connection on both sides", func() {
		cfg := testConfig()
		cfg.PingInterval, cfg.PeerTimeout = 20*time.Millisecond, 200*time.Millisecond
		s := listen(cfg, server)
		relay, err := fakes.StartRelay(s.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		dial(cfg, entryPeer, relay.Addr(), client)
		Eventually(server.UpCount, eventuallyTimeout).Should(Equal(1))
		Consistently(server.DownCount, 3*cfg.PeerTimeout).Should(BeZero(), "pings keep an idle link up")
		relay.Silence()
		Eventually(server.DownCount, eventuallyTimeout).Should(Equal(1))
		Eventually(client.DownCount, eventuallyTimeout).Should(Equal(1))
		Expect(s.Counters().PeerTimeouts()).To(BeEquivalentTo(1))
	})

	It("reconnects after the link breaks, but not after its address is removed", func() {
		s, d := connect(testConfig())
		server.Close()
		Eventually(client.DownCount, eventuallyTimeout).Should(Equal(1))
		Eventually(client.UpCount, eventuallyTimeout).Should(Equal(2))
		d.RemoveAddress(s.Addr())
		Eventually(client.DownCount, eventuallyTimeout).Should(Equal(2))
		Consistently(client.UpCount, 5*wire.DefaultMinBackoff).Should(Equal(2))
	})

	It("sends the queued messages before it closes", func() {
		connect(testConfig())
		for range 100 {
			Expect(client.Send(&cleat.Body{Data: make([]byte, 1000)})).To(Succeed())
		}
		client.Close()
		Eventually(server.DownCount, eventuallyTimeout).Should(Equal(1))
		Expect(server.Messages()).To(HaveLen(100))
	})

	It("links two handlers in memory", func() {
		atA, atB := wire.Pipe(entryPeer(), agentPeer(), client, server)
		Expect(atA.Peer()).To(Equal(agentPeer()))
		Expect(atB.Send(&cleat.Ask{Models: []cleat.ModelID{"m"}})).To(Succeed())
		Eventually(client.Messages, eventuallyTimeout).Should(Equal([]cleat.Message{&cleat.Ask{Models: []cleat.ModelID{"m"}}}))
		Expect(atA.Close()).To(Succeed())
		Eventually(server.DownCount, eventuallyTimeout).Should(Equal(1))
		Expect(atB.Send(&cleat.Ask{})).NotTo(Succeed())
	})
})

var _ = Describe("Config", func() {
	cases := map[string]struct {
		change      func(c *wire.Config)
		wantInError string
	}{
		"no key and no TLS":                       {func(c *wire.Config) { c.Key = nil }, "key"},
		"a short key":                             {func(c *wire.Config) { c.Key = []byte("short") }, "key"},
		"TLS without client certificates":         {func(c *wire.Config) { c.TLS = &tls.Config{} }, "TLS"},
		"a small frame limit":                     {func(c *wire.Config) { c.MaxFrameBytes = 1 }, "MaxFrameBytes"},
		"a small queue limit":                     {func(c *wire.Config) { c.SendQueueBytes = 1 }, "SendQueueBytes"},
		"a peer timeout below two ping intervals": {func(c *wire.Config) { c.PeerTimeout = c.PingInterval }, "PeerTimeout"},
	}
	for name, c := range cases {
		It("refuses "+name, func() {
			cfg := testConfig()
			cfg.Defaults()
			Expect(cfg.Validate()).To(Succeed())
			c.change(&cfg)
			Expect(cfg.Validate()).To(MatchError(ContainSubstring(c.wantInError)))
		})
	}
})

// mutualTLS returns a configuration in which both sides use the same self-signed certificate.
func mutualTLS() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotAfter:    time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:        true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}
