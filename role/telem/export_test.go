package telem

import (
	"os"

	"github.com/charmbracelet/log"
)

// RunDaemonWith is RunDaemon with signals from a channel instead of the process.
func RunDaemonWith(logger *log.Logger, signals <-chan os.Signal, daemons ...Daemon) error {
	return runDaemon(logger, signals, daemons)
}
