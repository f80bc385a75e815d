package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat/platform"
)

// heapShare is the part of a process's memory that the runtime collects towards;
// the rest is left to stacks, buffers of the kernel and peaks.
const heapShare = 0.75

// gcPercent lets the heap grow to several times what is in use before it is
// collected: processor time is scarcer than memory, which has its own limit.
const gcPercent = 200

func limitMemory(boot *platform.Boot) {
	if boot.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(boot.MemoryBytes)))
		debug.SetGCPercent(gcPercent)
	}
}

// ignoreReload keeps SIGHUP from ending the process: the settings file is read
// again every second anyway.
func ignoreReload(logger *log.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	go func() {
		for range hups {
			logger.Info("reload asked for")
		}
	}()
}
