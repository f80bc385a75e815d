package main

import (
	"io"
	"math/rand"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/role/entry"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/fakes"
	"marigoldcleat.example/cleat/state/config"
)

const (
	pathTokenInterval   = 5 * time.Millisecond
	pathSlowServiceTime = time.Hour // Longer than any measurement, so that the requests behind it wait.
	pathFleetKey        = "gauge-path-fleet-key"
)

// pathFleet is an entry, an agent and stand-in upstreams in this process.
type pathFleet struct {
	entry  *entry.Entry
	agent  *agent.Agent
	dialer *wire.Dialer
	engine *fakes.Engine
	short  *fakes.Plain
	slow   *fakes.Plain
}

func startPathFleet() (*pathFleet, error) {
	now := time.Now()
	logger := log.New(io.Discard)
	links := wire.Config{Key: []byte(pathFleetKey)}
	links.Defaults()
	p := &pathFleet{}
	if err := p.startAgent(now, links, logger); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.startUpstreams("http://" + p.agent.HTTPAddr()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.startEntry(now, links, logger); err != nil {
		return nil, trace.Wrap(err)
	}
	return p, nil
}

func (p *pathFleet) startAgent(now time.Time, links wire.Config, logger *log.Logger) error {
	var err error
	p.agent, err = agent.New(agent.Config{
		Peer: cleat.Peer{Instance: "agent", Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleAgent, Domain: "one"},
		Wire: links,
	}, cleat.SystemClock{}, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { _ = p.agent.Run() }()
	return nil
}

func (p *pathFleet) startUpstreams(agentURL string) error {
	var err error
	p.engine, err = fakes.StartEngine(fakes.EngineConfig{
		ID: "engine", AgentURL: agentURL, Models: []cleat.ModelID{pathModel}, Slots: pathSlots, TokenInterval: pathTokenInterval,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	p.short, err = fakes.StartPlain(fakes.PlainConfig{ID: "short", AgentURL: agentURL, Pool: pathShortPool, Slots: shortWorkers})
	if err != nil {
		return trace.Wrap(err)
	}
	p.slow, err = fakes.StartPlain(fakes.PlainConfig{ID: "slow", AgentURL: agentURL, Pool: pathSlowPool, Slots: 1, ServiceTime: pathSlowServiceTime})
	return trace.Wrap(err)
}

func (p *pathFleet) startEntry(now time.Time, links wire.Config, logger *log.Logger) error {
	f, err := config.Decode(cleat.Snapshot{Revision: 1, Settings: pathSettings()})
	if err != nil {
		return trace.Wrap(err)
	}
	self := cleat.Peer{Instance: "entry", Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleEntry, Domain: "one"}
	p.entry, err = entry.New(entry.Config{}, "127.0.0.1:0", entry.Dependencies{
		Self:    self,
		Fleet:   cleat.NewStaticFleet(f),
		Clock:   cleat.SystemClock{},
		Rand:    rand.New(rand.NewSource(1)),
		Log:     logger,
		Metrics: telem.NewMetrics(cleat.RoleEntry, logger),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { _ = p.entry.Run() }()
	p.dialer = wire.NewDialer(links, func() cleat.Peer { return self }, p.entry, logger)
	p.dialer.AddAddress(p.agent.Addr())
	return nil
}

func (p *pathFleet) entryURL() string { return "http://" + p.entry.Addr() }

func (p *pathFleet) close() {
	p.entry.Close()
	p.dialer.Close()
	p.slow.Close()
	p.short.Close()
	p.engine.Close()
	p.agent.Close()
}
