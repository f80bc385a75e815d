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
	pathTokenInterval = 5 * time.Millisecond
	pathSlowBusy      = time.Hour
	pathFleetKey      = "gauge-path-fleet-key"
)

// pathRig is a fleet of one entry and one agent with stand-ins, in this process.
type pathRig struct {
	entry  *entry.Entry
	agent  *agent.Agent
	dialer *wire.Dialer
	engine *fakes.Engine
	short  *fakes.Plain
	slow   *fakes.Plain
}

func startPathRig() (*pathRig, error) {
	now := time.Now()
	logger := log.New(io.Discard)
	links := wire.Config{Key: []byte(pathFleetKey)}
	links.Defaults()
	r := &pathRig{}
	if err := r.startAgent(now, links, logger); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.startUpstreams("http://" + r.agent.HTTPAddr()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.startEntry(now, links, logger); err != nil {
		return nil, trace.Wrap(err)
	}
	return r, nil
}

func (r *pathRig) startAgent(now time.Time, links wire.Config, logger *log.Logger) error {
	var err error
	r.agent, err = agent.New(agent.Config{
		Peer: cleat.Peer{Instance: "agent", Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleAgent, Domain: "one"},
		Wire: links,
	}, cleat.SystemClock{}, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { _ = r.agent.Run() }()
	return nil
}

func (r *pathRig) startUpstreams(agentURL string) error {
	var err error
	r.engine, err = fakes.StartEngine(fakes.EngineConfig{
		ID: "engine", AgentURL: agentURL, Models: []cleat.ModelID{pathModel}, Slots: pathSlots, TokenInterval: pathTokenInterval,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.short, err = fakes.StartPlain(fakes.PlainConfig{ID: "short", AgentURL: agentURL, Pool: pathPool, Slots: shortWorkers})
	if err != nil {
		return trace.Wrap(err)
	}
	r.slow, err = fakes.StartPlain(fakes.PlainConfig{ID: "slow", AgentURL: agentURL, Pool: pathSlow, Slots: 1, Busy: pathSlowBusy})
	return trace.Wrap(err)
}

func (r *pathRig) startEntry(now time.Time, links wire.Config, logger *log.Logger) error {
	f, err := config.Decode(cleat.Snapshot{Revision: 1, Settings: pathSettings()})
	if err != nil {
		return trace.Wrap(err)
	}
	self := cleat.Peer{Instance: "entry", Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleEntry, Domain: "one"}
	r.entry, err = entry.New(entry.Config{}, "127.0.0.1:0", entry.Dependencies{
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
	go func() { _ = r.entry.Run() }()
	r.dialer = wire.NewDialer(links, func() cleat.Peer { return self }, r.entry, logger)
	r.dialer.Keep(r.agent.Addr())
	return nil
}

func (r *pathRig) entryURL() string { return "http://" + r.entry.Addr() }

func (r *pathRig) close() {
	r.entry.Close()
	r.dialer.Close()
	r.slow.Close()
	r.short.Close()
	r.engine.Close()
	r.agent.Close()
}
