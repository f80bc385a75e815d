package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const usageDelete = `Deletes one or more paths in one change: all of them or none.

  cleatctl delete /fleet/shares/ring/desk
  cleatctl delete --expect 21 /teams/ring/rules/old`

func registerDelete(app *kingpin.Application) (string, command) {
	c := app.Command("delete", usageDelete)
	f := new(changeFlags)
	f.registerOperation(c)
	f.registerExpect(c)
	paths := c.Arg("path", "Paths to delete.").Required().Strings()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		expected, err := f.expectedRevision()
		if err != nil {
			return err
		}
		if expected != nil && len(*paths) != 1 {
			return trace.BadParameter("--expect goes with one path only")
		}
		var ops []cleat.ChangeOp
		for _, path := range *paths {
			ops = append(ops, cleat.ChangeOp{Path: path, Expected: expected})
		}
		return e.sendChange(ctx, f, ops)
	}
}
