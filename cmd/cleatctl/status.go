package main

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const usageStatus = `Prints the state of the fleet, or of one workspace.

  cleatctl status
  cleatctl status ring/desk

Of the fleet: the evacuated failure domains, and every node, the revision it
runs and whether it lags. Of a
workspace: its share, the service it received divided by its share, how far it is
behind the best served workspace that has waiting requests (gap), and its
waiting, running and refused requests.`

func registerStatus(app *kingpin.Application) (string, command) {
	c := app.Command("status", usageStatus)
	workspace := c.Arg("workspace", "Workspace, as team/name.").String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		if *workspace != "" {
			return e.printWorkspaceStatus(ctx, *workspace)
		}
		return e.printFleetStatus(ctx)
	}
}

func (e *env) printFleetStatus(ctx context.Context) error {
	var s admin.FleetStatus
	if err := e.client.Get(ctx, admin.PathStatus, nil, &s); err != nil {
		return err
	}
	if e.json {
		return e.printJSON(s)
	}
	fmt.Fprintf(e.out, "revision %d, leader %s, %d nodes, %d lag\n", s.Revision, instanceOrNone(s.Leader), len(s.Nodes), s.LaggingNodes)
	for _, id := range s.Unreachable {
		fmt.Fprintf(e.out, "control instance %s does not answer; its nodes are missing here\n", id)
	}
	if s.Violations > 0 {
		fmt.Fprintf(e.out, "%d invariant violations in the control instance that answered; see its log\n", s.Violations)
	}
	for _, o := range s.Orders {
		fmt.Fprintf(e.out, "order %d: %s %s at %s, not answered yet\n", o.ID, o.Order, o.Model, o.Upstream)
	}
	for _, ev := range s.Evacuations {
		at := time.UnixMilli(ev.OrderedAtMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(e.out, "domain %s is evacuated since revision %d, %s\n", ev.Domain, ev.Revision, at)
	}
	var rows []string
	for _, n := range s.Nodes {
		rows = append(rows, row(n.Instance, n.Role, n.Domain, n.Revision, nodeState(n), n.Control, n.Address))
	}
	return e.printTable(row("INSTANCE", "ROLE", "DOMAIN", "REVISION", "STATE", "CONTROL", "ADDRESS"), rows)
}

func instanceOrNone(id cleat.InstanceID) string {
	if id == "" {
		return "none"
	}
	return string(id)
}

func nodeState(n admin.Node) string {
	switch {
	case n.Suspected:
		return fmt.Sprintf("silent for %.0f s", n.SinceHeartbeatSeconds)
	case n.Leaving:
		return "leaving"
	case n.Lagging:
		return "lags"
	}
	return "up"
}

func (e *env) printWorkspaceStatus(ctx context.Context, name string) error {
	var s admin.WorkspaceStatus
	if err := e.client.Get(ctx, admin.PathWorkspace, url.Values{"workspace": {name}}, &s); err != nil {
		return err
	}
	if e.json {
		return e.printJSON(s)
	}
	rows := []string{
		row("share", s.Share), row("service for its share", s.Service), row("gap", s.Gap),
		row("waiting", s.Waiting), row("running", s.Running), row("served", s.Served),
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Refused)) {
		rows = append(rows, row("refused: "+string(reason), s.Refused[reason]))
	}
	return e.printTable(row("WORKSPACE", s.Workspace), rows)
}
