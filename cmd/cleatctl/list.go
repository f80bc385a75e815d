package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat/role/admin"
)

const usageList = `Lists the settings under a path.

  cleatctl list
  cleatctl list /teams/ring`

func registerList(app *kingpin.Application) (string, command) {
	c := app.Command("list", usageList)
	under := c.Arg("under", "Subtree to list.").Default("/").String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var list admin.Settings
		if err := e.client.Get(ctx, admin.PathSettings, url.Values{"under": {*under}}, &list); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(list)
		}
		var rows []string
		for _, s := range list.Settings {
			rows = append(rows, row(s.Path, s.Revision, string(s.Value)))
		}
		if err := e.printTable(row("PATH", "REVISION", "VALUE"), rows); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "the fleet is at revision %d\n", list.Revision)
		return nil
	}
}
