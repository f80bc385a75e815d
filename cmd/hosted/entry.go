package main

import (
	"math/rand"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/platform"
	"marigoldcleat.example/cleat/policy/budget"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/role/proxy"
	"marigoldcleat.example/cleat/role/telem"
)

// connBytes is what a caller's idle connection takes of the memory, with its
// buffers and goroutine; keptShare is the part that such connections may take.
// It is small because each collection of the heap scans their stacks, which
// costs processor time just when many callers come.
const (
	connBytes = 20 << 10
	keptShare = 0.08
)

// heldShare is the part of an entry's memory that requests' bodies may take.
const heldShare = 0.15

func runEntry(s *settings, boot *platform.Boot, logger *log.Logger) error {
	links, err := s.links()
	if err != nil {
		return trace.Wrap(err)
	}
	cfg := proxy.Config{
		Self: boot.Instance, Domain: boot.Domain,
		Callers: boot.Callers, HTTP: boot.HTTP, Links: boot.Links, Controls: boot.Controls,
		Wire:    links,
		Place:   place.Config{UsageWindow: boot.UsageWindow},
		Retries: budget.Config{Ratio: boot.Retries.Ratio, Slack: boot.Retries.Slack, Window: boot.Retries.Window},
		Dialect: platform.Headers{}, Decoder: platform.Tables{},
		ExtraHTTP: boot.Ready,
		Extra:     func(r *proxy.Role) http.Handler { return platform.NewReadyAPI(r.Ready) },
		Settings:  func() ([]string, error) { return controls(s.file) },
		Grace:     boot.Grace,
		HeldBytes: int64(heldShare * float64(boot.MemoryBytes)),
		MaxKept:   int(keptShare * float64(boot.MemoryBytes) / connBytes),
	}
	role, err := proxy.Open(cfg, rand.New(rand.NewSource(time.Now().UnixNano())), logger)
	if err != nil {
		return trace.Wrap(err)
	}
	ignoreReload(logger)
	return telem.RunDaemon(logger, role)
}

// controls reads the control instances from the settings file.
func controls(file string) ([]string, error) {
	boot, err := platform.ReadBoot(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return boot.Controls, nil
}
