package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const (
	usageCtrl = `Shows and changes the control instances that hold the fleet's state.`

	usageCtrlStatus = `Prints the replicated log as each of the named servers sees it.

  cleatctl --server 10.0.0.1:7080 --server 10.0.0.2:7080 ctrl status`

	usageCtrlAdd = `Adds a control instance that was started with --join, first without a vote.

  cleatctl ctrl add c4`

	usageCtrlRemove = `Removes a control instance from the log for good.

  cleatctl ctrl remove c4`

	usageCtrlReplace = `Replaces the lost replica of an instance that restarted with an empty disk.

  cleatctl ctrl replace c2`

	usageCtrlSnapshot = `Has one control instance replace its log by a snapshot.

  cleatctl --server 10.0.0.1:7080 ctrl snapshot`

	usageCtrlDump = `Writes one control instance's own state to a file, also when there is no
quorum. "ctrl --seed" creates a new log from it after most instances were lost
for good. It may lack the changes accepted last; docs/RECOVERY.md describes the
procedure. The file holds claims and hashes of tokens: keep it safe.

  cleatctl --server 10.0.0.1:7080 ctrl dump --out state.bin`
)

// ctrlClause returns the parent command of the ctrl subcommands. The first call
// adds it to the application.
func ctrlClause(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("ctrl"); c != nil {
		return c
	}
	return app.Command("ctrl", usageCtrl)
}

func registerCtrlStatus(app *kingpin.Application) (string, command) {
	c := ctrlClause(app).Command("status", usageCtrlStatus)
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		views, err := e.controlStatuses(ctx)
		if e.json {
			return errors.Join(e.printJSON(views), err)
		}
		for _, v := range views {
			if err := e.printControlStatus(v); err != nil {
				return err
			}
		}
		return err
	}
}

// statusTimeout bounds the wait for each server, as it may be down.
const statusTimeout = 3 * time.Second

// controlStatuses asks each server for its own view of the replicated log. It
// returns the views it got together with the errors of the other servers.
func (e *env) controlStatuses(ctx context.Context) ([]admin.ControlStatus, error) {
	var views []admin.ControlStatus
	var errs []error
	for i := range e.servers {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		var v admin.ControlStatus
		err := e.singleServerClient(i).Get(ctx, admin.PathControl, nil, &v)
		cancel()
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", e.servers[i], err))
			continue
		}
		views = append(views, v)
	}
	return views, errors.Join(errs...)
}

func (e *env) printControlStatus(v admin.ControlStatus) error {
	fmt.Fprintf(e.out, "%s: %s in term %d, leader %s, committed %d, applied %d, snapshot %d, settings %d, claims %d\n",
		v.Instance, v.Role, v.Term, instanceOrNone(v.Leader), v.Commit, v.Applied, v.Snapshot, v.Settings, v.Claims)
	if v.DiskError != "" {
		fmt.Fprintf(e.out, "  its disk fails: %s\n", v.DiskError)
	}
	var rows []string
	for _, m := range v.Replicas {
		rows = append(rows, row("  "+string(m.Instance), m.Replica, votingStatus(m), syncedText(m)))
	}
	for _, m := range v.Candidates {
		rows = append(rows, row("  "+string(m.Instance), m.Replica, "not a member", ""))
	}
	return e.printTable(row("  INSTANCE", "REPLICA", "PART", "SYNCED"), rows)
}

func votingStatus(m admin.Replica) string {
	if m.Learner {
		return "learner"
	}
	return "voter"
}

func syncedText(m admin.Replica) string {
	if m.Match == 0 {
		return ""
	}
	return fmt.Sprintf("%d, heard %.1f s ago", m.Match, m.SinceContactSeconds)
}

func registerCtrlAdd(app *kingpin.Application) (string, command) {
	return registerReplicaChange(app, "add", usageCtrlAdd, cleat.ReplicaAdd)
}

func registerCtrlRemove(app *kingpin.Application) (string, command) {
	return registerReplicaChange(app, "remove", usageCtrlRemove, cleat.ReplicaRemove)
}

func registerCtrlReplace(app *kingpin.Application) (string, command) {
	return registerReplicaChange(app, "replace", usageCtrlReplace, cleat.ReplicaReplace)
}

func registerReplicaChange(app *kingpin.Application, name, usage string, action cleat.ReplicaAction) (string, command) {
	c := ctrlClause(app).Command(name, usage)
	id := c.Arg("instance", "Name of the control instance.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		change := admin.ReplicaChange{Action: action, Instance: cleat.InstanceID(*id)}
		if err := e.client.Post(ctx, admin.PathReplicas, change, nil); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "done: %s %s\n", name, *id)
		return nil
	}
}

func registerCtrlSnapshot(app *kingpin.Application) (string, command) {
	c := ctrlClause(app).Command("snapshot", usageCtrlSnapshot)
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		if err := e.singleServerClient(0).Post(ctx, admin.PathSnapshot, struct{}{}, nil); err != nil {
			return err
		}
		fmt.Fprintln(e.out, "the snapshot is under way")
		return nil
	}
}

func registerCtrlDump(app *kingpin.Application) (string, command) {
	c := ctrlClause(app).Command("dump", usageCtrlDump)
	out := c.Flag("out", "File to write.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var s admin.State
		if err := e.singleServerClient(0).Get(ctx, admin.PathState, nil, &s); err != nil {
			return err
		}
		if err := os.WriteFile(*out, s.State, secretFileMode); err != nil {
			return trace.ConvertSystemError(err)
		}
		fmt.Fprintf(e.out, "state of %s after entry %d, settings at revision %d, in %s\n", s.Instance, s.Applied, s.Settings, *out)
		return nil
	}
}
