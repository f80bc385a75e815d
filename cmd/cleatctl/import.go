package main

import (
	"context"
	"encoding/json"
	"net/url"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const usageImport = `Sets everything in an exported file in one change: all of it or none.

Settings that the file does not name stay, unless --replace deletes those
under the given path.

  cleatctl import fleet.json
  cleatctl import --replace /teams/ring ring.json
  cleatctl import /dev/stdin < fleet.json`

func registerImport(app *kingpin.Application) (string, command) {
	c := app.Command("import", usageImport)
	f := new(changeFlags)
	f.registerOperation(c)
	replace := c.Flag("replace", "Subtree in which settings that the file does not name are deleted.").String()
	name := c.Arg("file", "File from export.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		ops, err := readExport(*name)
		if err != nil {
			return err
		}
		if *replace != "" {
			if ops, err = e.withDeletions(ctx, *replace, ops); err != nil {
				return err
			}
		}
		return e.sendChange(ctx, f, ops)
	}
}

func readExport(name string) ([]cleat.ChangeOp, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	var change cleat.Change
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&change); err != nil {
		return nil, trace.BadParameter("%s is not an export: %v", name, err)
	}
	return change.Ops, nil
}

// withDeletions appends to ops a deletion of each setting under a path that ops do
// not set.
func (e *env) withDeletions(ctx context.Context, under string, ops []cleat.ChangeOp) ([]cleat.ChangeOp, error) {
	var list admin.Settings
	if err := e.client.Get(ctx, admin.PathSettings, url.Values{"under": {under}}, &list); err != nil {
		return nil, err
	}
	named := make(map[string]bool, len(ops))
	for _, op := range ops {
		named[op.Path] = true
	}
	for _, s := range list.Settings {
		if !named[s.Path] {
			ops = append(ops, cleat.ChangeOp{Path: s.Path})
		}
	}
	return ops, nil
}
