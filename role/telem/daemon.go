package telem

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
)

// Daemon is a role that RunDaemon runs and shuts down.
type Daemon interface {
	// Run serves until the daemon is drained, closed or fails; it returns nil once drained.
	Run() error
	// Drain starts the graceful shutdown and returns immediately.
	Drain()
	// Close ends Run immediately and aborts what is in flight.
	Close()
	// Abandoned describes what a Close would abort now.
	Abandoned() string
}

// RunDaemon runs daemons until all are drained or one fails. SIGTERM or SIGINT
// starts the drain; on a second signal RunDaemon logs what is abandoned and returns
// an error.
func RunDaemon(logger *log.Logger, daemons ...Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return runDaemon(logger, signals, daemons)
}

func runDaemon(logger *log.Logger, signals <-chan os.Signal, daemons []Daemon) error {
	var g run.Group
	s := &signalActor{log: logger, signals: signals, daemons: daemons, done: make(chan struct{})}
	g.Add(s.execute, s.interrupt)
	g.Add(runAll(daemons), func(error) {
		for _, d := range daemons {
			d.Close()
		}
	})
	return g.Run()
}

// runAll returns an actor that returns when all daemons are drained or one fails.
func runAll(daemons []Daemon) func() error {
	return func() error {
		errs := make(chan error, len(daemons))
		for _, d := range daemons {
			go func() { errs <- d.Run() }()
		}
		for range daemons {
			if err := <-errs; err != nil {
				return err
			}
		}
		return nil
	}
}

// signalActor drains the daemons on the first signal and abandons them on the second.
type signalActor struct {
	log     *log.Logger
	signals <-chan os.Signal
	daemons []Daemon
	done    chan struct{}
}

func (s *signalActor) execute() error {
	select {
	case sig := <-s.signals:
		s.log.Info("shutting down; waiting for running requests to finish", "signal", sig)
	case <-s.done:
		return nil
	}
	for _, d := range s.daemons {
		d.Drain()
	}
	select {
	case sig := <-s.signals:
		return s.abandon(sig)
	case <-s.done:
		return nil
	}
}

func (s *signalActor) abandon(sig os.Signal) error {
	for _, d := range s.daemons {
		s.log.Error("second signal; exiting without waiting", "signal", sig, "abandoned", d.Abandoned())
	}
	return trace.Errorf("signalActor.abandon: second signal during the shutdown")
}

func (s *signalActor) interrupt(error) {
	close(s.done)
}

// Exit logs err and ends the process with exit code 1, or 0 when err is nil.
func Exit(logger *log.Logger, err error) {
	if err == nil {
		logger.Info("stopped")
		os.Exit(0)
	}
	logger.Error("stopped", "err", err)
	os.Exit(1)
}
