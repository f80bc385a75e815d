package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const usageGet = `Prints the setting at a path.

  cleatctl get /fleet/limits
  cleatctl get --json /teams/ring/workspaces/desk`

func registerGet(app *kingpin.Application) (string, command) {
	c := app.Command("get", usageGet)
	path := c.Arg("path", "Path of the setting.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var s cleat.Setting
		if err := e.client.Get(ctx, admin.PathSetting, url.Values{"path": {*path}}, &s); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(s)
		}
		fmt.Fprintf(e.out, "%s\n", s.Value)
		return nil
	}
}
