package main

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat/role/admin"
)

const usageHistory = `Prints the last accepted changes: who, when and what. The last 1000 are kept.

  cleatctl history
  cleatctl history -n 5 /teams/ring`

func registerHistory(app *kingpin.Application) (string, command) {
	c := app.Command("history", usageHistory)
	n := c.Flag("number", "Changes to print.").Short('n').Default("20").Int()
	under := c.Arg("under", "Subtree to print.").Default("/").String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var h admin.History
		q := url.Values{"under": {*under}, "n": {strconv.Itoa(*n)}}
		if err := e.client.Get(ctx, admin.PathHistory, q, &h); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(h)
		}
		var rows []string
		for _, entry := range h.Entries {
			for _, w := range entry.Writes {
				value := string(w.Value)
				if w.Deleted {
					value = "deleted"
				}
				rows = append(rows, row(entry.Revision, entry.At.UTC().Format(time.RFC3339), entry.Author, w.Path, value))
			}
		}
		return e.printTable(row("REVISION", "AT", "AUTHOR", "PATH", "VALUE"), rows)
	}
}
