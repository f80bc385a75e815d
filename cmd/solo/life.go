package main

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Run serves until the fleet is drained, which returns nil, or closed, or fails.
func (s *solo) Run() error {
	agents := make(chan error, len(s.agents))
	for _, a := range s.agents {
		go func() { agents <- a.Run() }()
	}
	go s.greet()
	err := s.entry.Run()
	for _, a := range s.agents {
		a.Drain()
	}
	for range s.agents {
		err = trace.NewAggregate(err, <-agents)
	}
	return err
}

// Drain begins the graceful shutdown: callers first, then the agents.
func (s *solo) Drain() { s.entry.Drain() }

// Close ends Run at once.
func (s *solo) Close() {
	s.entry.Close()
	for _, a := range s.agents {
		a.Close()
	}
}

// Abandoned says what a Close now would cut off.
func (s *solo) Abandoned() string {
	parts := []string{s.entry.Abandoned()}
	for _, a := range s.agents {
		parts = append(parts, a.Abandoned())
	}
	return strings.Join(parts, "; ")
}

// close frees what outlives Run.
func (s *solo) close() {
	if s.entry != nil {
		s.Close()
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	if err := s.endControl(); err != nil {
		s.log.Warn("ending the control instance", "err", err)
	}
}

// greet prints what to paste once requests can be served.
func (s *solo) greet() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if s.ready() {
			welcome(s)
			return
		}
	}
	s.log.Warn("the fleet is not ready yet", "waited", readyTimeout)
}

func (s *solo) ready() bool {
	ok, _ := s.entry.Ready()
	for _, a := range s.agents {
		ok = ok && len(a.Registration().Models) > 0
	}
	return ok
}
