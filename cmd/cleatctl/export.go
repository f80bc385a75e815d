package main

import (
	"context"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const usageExport = `Prints the settings under a path in the form that import reads. Tokens and
claims are not part of it.

  cleatctl export > fleet.json
  cleatctl export /teams/ring > ring.json`

func registerExport(app *kingpin.Application) (string, command) {
	c := app.Command("export", usageExport)
	under := c.Arg("under", "Subtree to export.").Default("/").String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var change cleat.Change
		if err := e.client.Get(ctx, admin.PathExport, url.Values{"under": {*under}}, &change); err != nil {
			return err
		}
		return e.printJSON(change)
	}
}
