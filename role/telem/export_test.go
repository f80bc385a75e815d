package telem

import (
	"os"

	"github.com/charmbracelet/log"
)

// RunDaemonWith runs daemons under a given source of signals.
func RunDaemonWith(logger *log.Logger, signals <-chan os.Signal, daemons ...Daemon) error {
	return runDaemon(logger, signals, daemons)
}
