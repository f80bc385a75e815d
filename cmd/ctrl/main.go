// Command ctrl runs one control instance, which replicates the fleet's settings
// and claims.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/assert"
)

const usage = `Runs one control instance of a marigoldcleat fleet.

One instance alone forms its own log:

  ctrl --id c1 --data /var/lib/cleat --fleet-key "$KEY" --listen 10.0.0.1:7000 --http 10.0.0.1:7080

Three instances that form a log together; each names the others' link
addresses, and all name the same first instances:

  ctrl --id c1 --first c1 --first c2 --first c3 --control 10.0.0.2:7000 --control 10.0.0.3:7000 ...

A new instance, or one that lost its disk, joins a log; it becomes a member when
an operator runs "cleatctl ctrl add" or "cleatctl ctrl replace":

  ctrl --id c4 --join c1 --join c2 --join c3 --control 10.0.0.1:7000 ...

The instance that creates the fleet's first token writes the token's secret to
the file root-token in its data folder.`

// options holds the parsed flags; common holds those that all daemons share.
type options struct {
	common      *telem.Flags
	data        string
	controlFile string
	first       []string
	join        []string
	seed        string
}

func main() {
	o, logger, err := parseFlags(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "ctrl:", trace.UserMessage(err))
		os.Exit(1)
	}
	assert.SetHook(func(name, msg string) { logger.Error("invariant violated", "invariant", name, "seen", msg) })
	telem.Exit(logger, serve(o, logger))
}

func parseFlags(args []string) (*options, *log.Logger, error) {
	app := kingpin.New("ctrl", usage)
	o := &options{common: telem.RegisterFlags(app)}
	app.Flag("data", "Folder for the log, the bound addresses and the root token; it must be on persistent storage.").Envar("CLEAT_DATA").Required().StringVar(&o.data)
	app.Flag("control-file", "File with link addresses of control instances, one a line, read again while running.").Envar("CLEAT_CONTROL_FILE").StringVar(&o.controlFile)
	app.Flag("first", "Name of an instance that forms a new log together with this one; repeatable, this one included.").Envar("CLEAT_FIRST").StringsVar(&o.first)
	app.Flag("join", "Name of an instance of the log that this one joins; repeatable.").Envar("CLEAT_JOIN").StringsVar(&o.join)
	app.Flag("seed", "File from \"cleatctl ctrl dump\" whose state is restored into a new log of this instance alone.").Envar("CLEAT_SEED").StringVar(&o.seed)
	if _, err := app.Parse(args); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := o.common.Validate(); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	logger, err := telem.NewLogger(os.Stderr, o.common)
	return o, logger, trace.Wrap(err)
}

func serve(o *options, logger *log.Logger) error {
	cfg, err := o.config()
	if err != nil {
		return trace.Wrap(err)
	}
	role, err := ctrl.Open(cfg, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	logger.Info("control instance up", "listen", role.Addr(), "http", role.HTTPAddr(), "data", o.data)
	addrs := []telem.Addr{{Name: "listen", Address: role.Addr()}, {Name: "http", Address: role.HTTPAddr()}}
	if err := o.common.WriteAddrs(addrs...); err != nil {
		return trace.Wrap(err)
	}
	return telem.RunDaemon(logger, role)
}

func (o *options) config() (ctrl.Config, error) {
	wireCfg, err := o.common.Wire()
	if err != nil {
		return ctrl.Config{}, trace.Wrap(err)
	}
	cfg := ctrl.Config{
		ID: cleat.InstanceID(o.common.ID), Domain: cleat.DomainID(o.common.Domain),
		Listen: o.common.Listen, HTTP: o.common.HTTP, DataFolder: o.data,
		Controls: o.common.Controls, ControlFile: o.controlFile,
		InitialInstances: instanceIDs(o.first), Join: instanceIDs(o.join), Seed: o.seed, Wire: wireCfg,
	}
	cfg.Defaults()
	return cfg, trace.Wrap(cfg.Validate())
}

func instanceIDs(names []string) []cleat.InstanceID {
	var ids []cleat.InstanceID
	for _, name := range names {
		ids = append(ids, cleat.InstanceID(name))
	}
	return ids
}
