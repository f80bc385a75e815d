package main

import (
	"math/rand"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/platform"
	"marigoldcleat.example/cleat/policy/budget"
	"marigoldcleat.example/cleat/policy/cost"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/role/proxy"
	"marigoldcleat.example/cleat/role/telem"
)

// idleConnBytes is the memory that a caller's idle connection uses, with its
// buffers and goroutine; idleConnShare is the share of the memory that such
// connections may use. The share is small because each garbage collection scans
// their stacks, which costs processor time just when many callers connect.
const (
	idleConnBytes = 20 << 10
	idleConnShare = 0.08
)

func runEntry(f *flags, boot *platform.Boot, logger *log.Logger) error {
	linkCfg, err := f.linkConfig()
	if err != nil {
		return trace.Wrap(err)
	}
	cfg := proxy.Config{
		Self: boot.Instance, Domain: boot.Domain,
		Callers: boot.Callers, HTTP: boot.HTTP, Links: boot.Links, Controls: boot.Controls,
		Wire:    linkCfg,
		Place:   place.Config{UsageWindow: boot.UsageWindow, ColdOvershoot: boot.Cold.Overshoot, ColdSlack: boot.Cold.Slack, Outputs: f.outputEstimator()},
		Retries: budget.Config{Ratio: boot.Retries.Ratio, Slack: boot.Retries.Slack, Window: boot.Retries.Window, Restarted: !boot.FirstStart},
		Dialect: platform.Headers{}, Decoder: platform.RouteTableDecoder{},
		ExtraHTTP:         boot.ReadyAPI,
		Extra:             func(r *proxy.Role) http.Handler { return platform.NewReadyAPI(r.Ready) },
		ReloadControls:    func() ([]string, error) { return readControls(f.settingsFile) },
		GracePeriod:       boot.Grace,
		MaxHeldBytes:      maxHeldBytes(boot),
		MaxConns:          maxConns(boot),
		MaxKeepAliveConns: int(idleConnShare * float64(boot.MemoryBytes) / idleConnBytes),
	}
	role, err := proxy.Open(cfg, rand.New(rand.NewSource(time.Now().UnixNano())), logger)
	if err != nil {
		return trace.Wrap(err)
	}
	return telem.RunDaemon(logger, role)
}

// outputEstimator returns an estimator of the output of streams, unless it is turned off.
func (f *flags) outputEstimator() *cost.OutputEstimator {
	if !f.estimateOutput {
		return nil
	}
	return cost.NewOutputEstimator()
}

// readControls returns the link addresses of the control instances in the settings file.
func readControls(file string) ([]string, error) {
	boot, err := platform.ReadBoot(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return boot.Controls, nil
}
