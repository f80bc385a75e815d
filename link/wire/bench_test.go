package wire_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// messageCounter is a handler that counts messages.
type messageCounter struct {
	link     atomic.Pointer[cleat.Link]
	received atomic.Int64
}

func (c *messageCounter) LinkUp(l cleat.Link)                   { c.link.Store(&l) }
func (c *messageCounter) LinkMessage(cleat.Link, cleat.Message) { c.received.Add(1) }
func (c *messageCounter) LinkDown(cleat.Link, error)            {}
func (c *messageCounter) waitUntil(b *testing.B, condition func() bool) {
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(50 * time.Microsecond) {
		if time.Now().After(end) {
			b.Fatal("the link did not deliver within a minute")
		}
	}
}

// BenchmarkLink sends dispatches with bodies of 1000 bytes over one loopback link.
func BenchmarkLink(b *testing.B) {
	var server, client messageCounter
	s, err := wire.Listen(testConfig(), "127.0.0.1:0", agentPeer, &server, discardLogger())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer func() { _ = s.Shutdown(b.Context()) }()
	d := wire.NewDialer(testConfig(), entryPeer, &client, discardLogger())
	defer d.Close()
	d.AddAddress(s.Addr())
	client.waitUntil(b, func() bool { return client.link.Load() != nil })
	m := &cleat.Dispatch{
		Incarnation: 9, Grant: 3, Attempt: cleat.Attempt{Request: "r1", Number: 1}, Repeatable: true, Timeout: time.Minute,
		Stream: cleat.Stream{Workspace: "ring/desk", Class: "draft", Kind: cleat.KindModel, Model: "m"},
		Header: []cleat.HeaderField{{Name: "Content-Type", Value: "application/json"}}, Body: []byte(strings.Repeat("x", 1000)),
	}
	link := *client.link.Load()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := link.Send(m); err != nil {
			b.Fatal(err)
		}
		if i%1000 == 999 {
			client.waitUntil(b, func() bool { return server.received.Load() > int64(i-1000) })
		}
	}
	client.waitUntil(b, func() bool { return server.received.Load() == int64(b.N) })
}

// BenchmarkReport sends an entry's placement reports for 50 upstreams and 30 workspaces.
func BenchmarkReport(b *testing.B) {
	var server, client messageCounter
	s, err := wire.Listen(testConfig(), "127.0.0.1:0", agentPeer, &server, discardLogger())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer func() { _ = s.Shutdown(b.Context()) }()
	d := wire.NewDialer(testConfig(), entryPeer, &client, discardLogger())
	defer d.Close()
	d.AddAddress(s.Addr())
	client.waitUntil(b, func() bool { return client.link.Load() != nil })
	m := &cleat.PlacementReport{Seq: 1}
	for i := range 50 {
		m.Loads = append(m.Loads, cleat.UpstreamLoad{Upstream: cleat.UpstreamID(fmt.Sprintf("i-%010d", i)), PendingPrefill: 2000, Running: 2, Memory: 9000, RecentPrefill: 4000, TokenRate: 30})
	}
	for i := range 30 {
		m.Usage = append(m.Usage, cleat.WorkspaceUsage{Workspace: cleat.WorkspaceID(fmt.Sprintf("w%d", i)), RequestedTokens: 5000, AdmittedTokens: 3000})
	}
	link := *client.link.Load()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := link.Send(m); err != nil {
			b.Fatal(err)
		}
		if i%100 == 99 {
			client.waitUntil(b, func() bool { return server.received.Load() > int64(i-100) })
		}
	}
	client.waitUntil(b, func() bool { return server.received.Load() == int64(b.N) })
}
