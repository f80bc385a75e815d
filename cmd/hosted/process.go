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

// Shares of a process's limits that its callers may use. The rest of the memory is for what the
// process keeps itself and for garbage, that of the descriptors for upstreams, links and files.
const (
	callerMemoryShare = 0.35
	callerConnShare   = 0.6
)

// maxHeldBytes returns the memory that callers may make the process hold; zero for the default.
func maxHeldBytes(boot *platform.Boot) int64 {
	return int64(callerMemoryShare * float64(boot.MemoryBytes))
}

// maxConns returns how many connections callers may keep open; zero for the default.
func maxConns(boot *platform.Boot) int { return int(callerConnShare * float64(boot.MaxFDs)) }

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
