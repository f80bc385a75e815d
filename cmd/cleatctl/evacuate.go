package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const (
	usageEvacuate = `Orders that entries send nothing more to the upstreams of a failure domain.

  cleatctl evacuate north

Requests and streams that run there continue to their end. The order stays in
force until "cleatctl restore"; repeating it changes nothing. The domain needs
no upstream yet. "cleatctl status" lists the evacuated domains.`

	usageRestore = `Withdraws the evacuation of a failure domain.

  cleatctl restore north`
)

func registerEvacuate(app *kingpin.Application) (string, command) {
	return registerEvacuationOrder(app, "evacuate", usageEvacuate, true)
}

func registerRestore(app *kingpin.Application) (string, command) {
	return registerEvacuationOrder(app, "restore", usageRestore, false)
}

func registerEvacuationOrder(app *kingpin.Application, name, usage string, evacuate bool) (string, command) {
	c := app.Command(name, usage)
	domain := c.Arg("domain", "Name of the failure domain.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		order := admin.EvacuationOrder{Domain: cleat.DomainID(*domain), Evacuate: evacuate}
		var r cleat.EvacuationResult
		if err := e.client.Post(ctx, admin.PathEvacuations, order, &r); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(r)
		}
		fmt.Fprintf(e.out, "%s, revision %d\n", orderText(order, r.Changed), r.Revision)
		return nil
	}
}

func orderText(o admin.EvacuationOrder, changed bool) string {
	state := "is evacuated"
	if !o.Evacuate {
		state = "is not evacuated"
	}
	if !changed {
		return fmt.Sprintf("%s %s already", o.Domain, state)
	}
	return fmt.Sprintf("%s %s from now on", o.Domain, state)
}
