// Command agent runs the agent role beside one or more upstreams: it sends them
// the requests that entries dispatch and returns the answers.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/assert"
)

type options struct {
	common       *telem.Flags
	bufferBytes  int
	resumeGrace  time.Duration
	stallTimeout time.Duration
}

func main() {
	app := kingpin.New("agent", "Runs requests at the upstreams beside it.")
	o := options{common: telem.RegisterFlags(app)}
	app.Flag("buffer-bytes", "Limit on the answer bytes buffered for each request until its entry acknowledges them.").Envar("CLEAT_BUFFER_BYTES").Default("262144").IntVar(&o.bufferBytes)
	app.Flag("resume-grace", "How long a request is kept after the link to its entry went down.").Envar("CLEAT_RESUME_GRACE").Default("10s").DurationVar(&o.resumeGrace)
	app.Flag("stall-timeout", "A repeatable request fails if its upstream sends nothing for this long.").Envar("CLEAT_STALL_TIMEOUT").Default("1m").DurationVar(&o.stallTimeout)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	logger, err := telem.NewLogger(os.Stderr, o.common)
	app.FatalIfError(err, "")
	telem.Exit(logger, run(o, logger))
}

func run(o options, logger *log.Logger) error {
	cfg, err := o.config(time.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	assert.SetHook(func(name, msg string) { logger.Error("invariant violated", "invariant", name, "detail", msg) })
	a, err := agent.New(cfg, cleat.SystemClock{}, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	addrs := []telem.Addr{{Name: "listen", Address: a.Addr()}, {Name: "http", Address: a.HTTPAddr()}}
	if err := o.common.WriteAddrs(addrs...); err != nil {
		return trace.Wrap(err)
	}
	logger.Info("agent started", "id", o.common.ID, "listen", a.Addr(), "http", a.HTTPAddr())
	return telem.RunDaemon(logger, a)
}

func (o options) config(now time.Time) (agent.Config, error) {
	if err := o.common.Validate(); err != nil {
		return agent.Config{}, trace.Wrap(err)
	}
	wireCfg, err := o.common.Wire()
	if err != nil {
		return agent.Config{}, trace.Wrap(err)
	}
	cfg := agent.Config{
		Peer:         o.common.Peer(now, cleat.RoleAgent, ""),
		Listen:       o.common.Listen,
		HTTP:         o.common.HTTP,
		Wire:         wireCfg,
		BufferBytes:  o.bufferBytes,
		ResumeGrace:  o.resumeGrace,
		StallTimeout: o.stallTimeout,
	}
	cfg.Control.Controls = o.common.Controls
	return cfg, nil
}
