package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const (
	usageWatch = `Prints changes under a path as they are accepted, until interrupted.

  cleatctl watch /teams/ring
  cleatctl watch --after 0 --json /`
	longPollWait = 8 * time.Second
)

func registerWatch(app *kingpin.Application) (string, command) {
	c := app.Command("watch", usageWatch)
	after := c.Flag("after", "Revision after which to begin; the current one by default.").Default("-1").Int64()
	under := c.Arg("under", "Subtree to watch.").Default("/").String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		from, err := e.startRevision(ctx, *after)
		if err != nil {
			return err
		}
		for ctx.Err() == nil {
			w, err := e.client.Watch(ctx, *under, from, longPollWait)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			from = w.To
			if err := e.printWatch(w); err != nil {
				return err
			}
		}
		return nil
	}
}

// startRevision returns the revision given by --after, or the current one if after
// is negative.
func (e *env) startRevision(ctx context.Context, after int64) (cleat.Revision, error) {
	if after >= 0 {
		return cleat.Revision(after), nil
	}
	var list admin.Settings
	err := e.client.Get(ctx, admin.PathSettings, nil, &list)
	return list.Revision, err
}

func (e *env) printWatch(w admin.Watch) error {
	if len(w.Written) == 0 && len(w.Deleted) == 0 {
		return nil
	}
	if e.json {
		return e.printJSON(w)
	}
	for _, s := range w.Written {
		fmt.Fprintf(e.out, "%d\t%s\t%s\n", s.Revision, s.Path, s.Value)
	}
	for _, path := range w.Deleted {
		fmt.Fprintf(e.out, "%d\t%s\tdeleted\n", w.To, path)
	}
	return nil
}
