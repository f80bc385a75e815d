package main

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Run serves until the fleet is drained or closed, or until the entry fails. It
// returns nil after a drain.
func (s *solo) Run() error {
	agents := make(chan error, len(s.agents))
	for _, a := range s.agents {
		go func() { agents <- a.Run() }()
	}
	go s.announceReady()
	err := s.entry.Run()
	for _, a := range s.agents {
		a.Drain()
	}
	for range s.agents {
		err = trace.NewAggregate(err, <-agents)
	}
	return err
}

// Drain starts a graceful shutdown: it drains the entry, after which Run drains
// the agents.
func (s *solo) Drain() { s.entry.Drain() }

// Close ends Run at once, without waiting for running requests.
func (s *solo) Close() {
	s.entry.Close()
	for _, a := range s.agents {
		a.Close()
	}
}

// Abandoned describes the requests that Close would abort now.
func (s *solo) Abandoned() string {
	parts := []string{s.entry.Abandoned()}
	for _, a := range s.agents {
		parts = append(parts, a.Abandoned())
	}
	return strings.Join(parts, "; ")
}

// cleanUp closes the roles and stops the upstreams and the control instance, which
// outlive Run.
func (s *solo) cleanUp() {
	if s.entry != nil {
		s.Close()
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	if err := s.stopControl(); err != nil {
		s.log.Warn("stopping the control instance failed", "err", err)
	}
}

// announceReady prints the example commands once requests can be served.
func (s *solo) announceReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if s.ready() {
			printWelcome(s)
			return
		}
	}
	s.log.Warn("fleet not ready to serve requests", "waited", readyTimeout)
}

// ready reports whether the entry is ready and each agent serves a model or pool.
func (s *solo) ready() bool {
	ok, _ := s.entry.Ready()
	for _, a := range s.agents {
		ok = ok && len(a.Registration().Models) > 0
	}
	return ok
}
