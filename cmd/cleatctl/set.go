package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const usageSet = `Sets one or more paths in one change: all of them or none.

  cleatctl set /fleet/shares/ring/desk '{"share":2}'
  cleatctl set --expect 17 /fleet/limits '{"max_waiting":500}'
  cleatctl set --expect new /fleet/classes/draft '{"rank":1}'
  cleatctl set --file limits.json /fleet/limits
  cleatctl set /fleet/classes/draft '{"rank":1}' /fleet/classes/query '{"rank":2}'`

func registerSet(app *kingpin.Application) (string, command) {
	c := app.Command("set", usageSet)
	f := new(changeFlags)
	f.registerOperation(c)
	f.registerExpect(c)
	file := c.Flag("file", "File with the value of the one path given.").String()
	args := c.Arg("path and value", "Paths, each followed by its JSON value.").Required().Strings()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		pairs, err := withFileValue(*args, *file)
		if err != nil {
			return err
		}
		ops, err := parseSetOps(pairs, f)
		if err != nil {
			return err
		}
		return e.sendChange(ctx, f, ops)
	}
}

// withFileValue appends the contents of the named file, if any, as the value of
// the only path in args.
func withFileValue(args []string, name string) ([]string, error) {
	if name == "" {
		return args, nil
	}
	if len(args) != 1 {
		return nil, trace.BadParameter("--file goes with one path and no value")
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return []string{args[0], string(b)}, nil
}

// parseSetOps returns the operations for args, in which each path is followed by
// its value.
func parseSetOps(args []string, f *changeFlags) ([]cleat.ChangeOp, error) {
	if len(args)%2 != 0 {
		return nil, trace.BadParameter("each path needs a value")
	}
	expected, err := f.expectedRevision()
	if err != nil {
		return nil, err
	}
	if expected != nil && len(args) != 2 {
		return nil, trace.BadParameter("--expect goes with one path only")
	}
	var ops []cleat.ChangeOp
	for i := 0; i < len(args); i += 2 {
		value, err := parseValue(args[i+1])
		if err != nil {
			return nil, err
		}
		ops = append(ops, cleat.ChangeOp{Path: args[i], Value: value, Expected: expected})
	}
	return ops, nil
}

func parseValue(arg string) (json.RawMessage, error) {
	value := json.RawMessage(arg)
	if !json.Valid(value) || strings.TrimSpace(arg) == "null" {
		return nil, trace.BadParameter("the value %q is not a JSON document", arg)
	}
	return value, nil
}
