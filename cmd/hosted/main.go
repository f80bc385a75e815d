// Command hosted runs the fleet's roles on the users' platform.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/platform"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/assert"
)

const usage = `Runs one process of a marigoldcleat fleet on the users' platform.

Addresses, failure domain and bounds come from the platform's settings file,
whose path the environment variable ` + platform.BootVariable + ` holds:

  hosted entry     takes callers' requests and forwards them to upstreams
  hosted control   stores the fleet's configuration and tracks its upstreams`

// flushTimeout bounds the wait until the last log lines are written.
const flushTimeout = 200 * time.Millisecond

// flags holds the command-line flags.
type flags struct {
	fleetKey     string
	settingsFile string
	logLevel     string

	estimateOutput bool
}

func main() {
	hangups := catchHangups()
	app := kingpin.New("hosted", usage)
	f := &flags{}
	app.Flag("fleet-key", "Key shared by all instances of the fleet.").Envar("CLEAT_FLEET_KEY").Required().StringVar(&f.fleetKey)
	app.Flag("settings-file", "The platform's settings file.").Envar(platform.BootVariable).Required().StringVar(&f.settingsFile)
	app.Flag("log-level", "Minimum level of log lines: debug, info, warn or error.").Envar("CLEAT_LOG_LEVEL").Default("info").StringVar(&f.logLevel)
	entry := app.Command("entry", "Takes callers' requests and forwards them to upstreams.")
	entry.Flag("estimate-output", "Place requests by the output that is expected of them, learnt from ended streams.").Default("false").Envar("CLEAT_ESTIMATE_OUTPUT").BoolVar(&f.estimateOutput)
	control := app.Command("control", "Stores the fleet's configuration and tracks its upstreams.")
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		exitUsage(err)
	}
	boot, err := platform.ReadBoot(f.settingsFile)
	if err != nil {
		exitUsage(err)
	}
	lines := telem.NewLineWriter(os.Stdout)
	logger, err := telem.NewLogger(lines, &telem.Flags{ID: string(boot.Instance), LogLevel: f.logLevel, LogFormat: "logfmt"})
	if err != nil {
		exitUsage(err)
	}
	assert.SetHook(func(name, msg string) { logger.Error("invariant violated", "invariant", name, "seen", msg) })
	go logHangups(hangups, logger)
	limitMemory(boot)
	logger.Info("starting", "command", command, "first_start", boot.FirstStart, "controls", boot.Controls, "memory", boot.MemoryBytes)
	err = nil
	switch command {
	case entry.FullCommand():
		err = runEntry(f, boot, logger)
	case control.FullCommand():
		err = runControl(f, boot, logger)
	}
	exit(logger, lines, err)
}

func exitUsage(err error) {
	fmt.Fprintln(os.Stderr, "hosted:", trace.UserMessage(err))
	os.Exit(1)
}

func exit(logger *log.Logger, lines *telem.LineWriter, err error) {
	code := 0
	if err != nil {
		code = 1
		logger.Error("stopped", "err", err)
	} else {
		logger.Info("stopped", "lines_dropped", lines.Dropped())
	}
	lines.Flush(flushTimeout)
	os.Exit(code)
}

// Timing of links: an unresponsive peer is detected well within the time in which
// an instance must act on updates from control.
const (
	linkPingInterval = 500 * time.Millisecond
	linkTimeout      = 2 * time.Second
	linkDialTimeout  = 800 * time.Millisecond
	linkMaxBackoff   = 500 * time.Millisecond
)

func (f *flags) linkConfig() (wire.Config, error) {
	cfg := wire.Config{
		Key: []byte(f.fleetKey), PingInterval: linkPingInterval, PeerTimeout: linkTimeout, DialTimeout: linkDialTimeout, MaxBackoff: linkMaxBackoff,
	}
	cfg.Defaults()
	return cfg, trace.Wrap(cfg.Validate())
}

// controlID derives the id of a control instance from its link address, so that every
// instance can compute it from the settings file.
func controlID(address string) cleat.InstanceID { return cleat.InstanceID(address) }
