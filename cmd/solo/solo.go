package main

import (
	"crypto/rand"
	"fmt"
	mathrand "math/rand"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/entry"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/stand/fakes"
)

const (
	loopbackAddr      = "127.0.0.1:0"
	domain            = cleat.DomainID("loopback")
	fleetKeyBytes     = 32
	engineAgentCount  = 2
	tokenInterval     = 15 * time.Millisecond
	batchInterval     = time.Millisecond
	plainServiceTime  = 20 * time.Millisecond
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// upstream is a stand-in upstream: a model engine or a plain service.
type upstream interface {
	Close()
}

// solo is a complete fleet in one process; it implements telem.Daemon.
type solo struct {
	log           *log.Logger
	wireCfg       wire.Config
	dataFolder    string // Of the control instance.
	operatorToken string // Secret of the fleet's first operator token.
	control       *ctrl.Role
	controlURL    string // For operators; set once control is started.
	controlErr    chan error
	entry         *entry.Daemon
	agents        []*agent.Agent
	upstreams     []upstream
}

// start starts the fleet. The entry serves callers at http, given as host:port.
func start(http string, logger *log.Logger) (*solo, error) {
	key := make([]byte, fleetKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, trace.Wrap(err, "start")
	}
	s := &solo{log: logger, wireCfg: wire.Config{Fleet: "solo", Key: key}}
	if err := s.startAll(http); err != nil {
		s.cleanUp()
		return nil, trace.Wrap(err, "start")
	}
	return s, nil
}

func (s *solo) startAll(http string) error {
	if err := s.startControl(); err != nil {
		return err
	}
	if err := s.startEntry(http); err != nil {
		return err
	}
	for i := range engineAgentCount {
		if err := s.startEngine(i + 1); err != nil {
			return err
		}
	}
	return s.startPlain()
}

func (s *solo) newPeer(id string, role cleat.Role) cleat.Peer {
	return cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: cleat.NewIncarnation(time.Now()), Role: role, Domain: domain}
}

func (s *solo) startEntry(http string) error {
	self := s.newPeer("entry-1", cleat.RoleEntry)
	rnd := mathrand.New(mathrand.NewSource(int64(self.Incarnation)))
	cfg := entry.DaemonConfig{HTTP: http, Wire: s.wireCfg, Controls: []string{s.control.Addr()}}
	e, err := entry.NewDaemon(cfg, self, rnd, s.log.With("instance", self.Instance))
	if err != nil {
		return trace.Wrap(err)
	}
	s.entry = e
	return nil
}

func (s *solo) startAgent(id string) (*agent.Agent, error) {
	cfg := agent.Config{Peer: s.newPeer(id, cleat.RoleAgent), Wire: s.wireCfg, Control: node.Config{Controls: []string{s.control.Addr()}}}
	a, err := agent.New(cfg, cleat.SystemClock{}, s.log.With("instance", id))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.agents = append(s.agents, a)
	return a, nil
}

func (s *solo) startEngine(n int) error {
	a, err := s.startAgent(fmt.Sprintf("agent-%d", n))
	if err != nil {
		return err
	}
	e, err := fakes.StartEngine(fakes.EngineConfig{
		ID: cleat.UpstreamID(fmt.Sprintf("engine-%d", n)), AgentURL: "http://" + a.HTTPAddr(),
		Models:        []cleat.ModelID{modelDrafts, modelQueries},
		TokenInterval: tokenInterval, BatchInterval: batchInterval,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.upstreams = append(s.upstreams, e)
	return nil
}

func (s *solo) startPlain() error {
	a, err := s.startAgent("agent-plain")
	if err != nil {
		return err
	}
	p, err := fakes.StartPlain(fakes.PlainConfig{ID: "plain-1", Pool: poolPrint, ServiceTime: plainServiceTime, AgentURL: "http://" + a.HTTPAddr()})
	if err != nil {
		return trace.Wrap(err)
	}
	s.upstreams = append(s.upstreams, p)
	return nil
}

func (s *solo) addr() string { return s.entry.Addr() }
