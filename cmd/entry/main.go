// Command entry runs the entry role: it accepts callers' requests and answers
// each of them once.
package main

import (
	"math/rand"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/entry"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/assert"
)

type options struct {
	common   *telem.Flags
	agents   []string
	settings string
	role     entry.Config
}

func main() {
	app := kingpin.New("entry", "Takes callers' requests, holds them while they wait, and answers each once.")
	o := options{common: telem.RegisterFlags(app)}
	app.Flag("agents", "Link address of an agent, as host:port; repeatable; for running without control.").Envar("CLEAT_AGENTS").StringsVar(&o.agents)
	app.Flag("settings", "File with settings as JSON, for running without control.").Envar("CLEAT_SETTINGS").StringVar(&o.settings)
	app.Flag("held-bytes", "Limit on the bytes of request bodies held at once.").Envar("CLEAT_HELD_BYTES").Default("268435456").Int64Var(&o.role.MaxHeldBytes)
	app.Flag("write-timeout", "Time limit for writing one piece of an answer to its caller.").Envar("CLEAT_WRITE_TIMEOUT").Default("30s").DurationVar(&o.role.WriteTimeout)
	app.Flag("body-timeout", "Time for a request's body to arrive.").Envar("CLEAT_BODY_TIMEOUT").Default("1m").DurationVar(&o.role.BodyTimeout)
	app.Flag("drain-notice", "Minimum time for which a draining entry reports that it is not ready.").Envar("CLEAT_DRAIN_NOTICE").Default("1s").DurationVar(&o.role.DrainNotice)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	logger, err := telem.NewLogger(os.Stderr, o.common)
	app.FatalIfError(err, "")
	telem.Exit(logger, run(o, logger))
}

func run(o options, logger *log.Logger) error {
	if err := o.validate(); err != nil {
		return trace.Wrap(err)
	}
	wireCfg, err := o.common.Wire()
	if err != nil {
		return trace.Wrap(err)
	}
	now := time.Now()
	assert.SetHook(func(name, msg string) { logger.Error("invariant violated", "invariant", name, "detail", msg) })
	d, err := entry.NewDaemon(entry.DaemonConfig{
		Role:     o.role,
		HTTP:     o.common.HTTP,
		Wire:     wireCfg,
		Controls: o.common.Controls,
		Agents:   o.agents,
		Settings: o.settings,
	}, o.common.Peer(now, cleat.RoleEntry, ""), rand.New(rand.NewSource(now.UnixNano())), logger)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := o.common.WriteAddrs(telem.Addr{Name: "http", Address: d.Addr()}); err != nil {
		return trace.Wrap(err)
	}
	return telem.RunDaemon(logger, d)
}

func (o options) validate() error {
	if err := o.common.Validate(); err != nil {
		return err
	}
	if len(o.common.Controls) == 0 && o.settings == "" {
		return trace.BadParameter("options.validate: --control or --settings must be given")
	}
	if len(o.common.Controls) > 0 && (o.settings != "" || len(o.agents) > 0) {
		return trace.BadParameter("options.validate: --settings and --agents are for running without --control")
	}
	return nil
}
