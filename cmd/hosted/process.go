package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat/platform"
)

// heapShare is the share of a process's memory that the Go runtime takes as its soft
// limit, which covers the heap and goroutine stacks; the rest is left for kernel
// buffers and peaks.
const heapShare = 0.75

// gcPercent lets the heap grow to three times the live data before a collection:
// processor time is scarcer than memory, which has its own limit.
const gcPercent = 200

func limitMemory(boot *platform.Boot) {
	if boot.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(boot.MemoryBytes)))
		debug.SetGCPercent(gcPercent)
	}
}

// catchHangups keeps SIGHUP from ending the process: the settings file is read again every
// second anyway. It is called first, since settings may change while the process starts.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

func logHangups(hangups <-chan os.Signal, logger *log.Logger) {
	for range hangups {
		logger.Info("SIGHUP ignored; the settings file is polled for changes")
	}
}
