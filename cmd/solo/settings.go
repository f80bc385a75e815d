package main

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// The demo workspace with its models, pool and classes. Its key is public, and the
// entry listens on loopback unless --http gives another address.
const (
	demoWorkspace = cleat.WorkspaceID("pastor-andino/secretaries")
	demoKey       = "demo-key"
	modelDrafts   = cleat.ModelID("catalogue")
	modelQueries  = cleat.ModelID("queries")
	poolPrint     = cleat.ModelID("print-desk")
	classDrafts   = cleat.ClassName("drafts")
	classQueries  = cleat.ClassName("queries")
	classActions  = cleat.ClassName("actions")
)

// demoChange returns the change that creates the demo workspace and its rules.
func demoChange() (cleat.Change, error) {
	w := cleat.Workspace{KeyHashes: []string{cleat.HashKey(demoKey)}, Classes: []cleat.ClassName{classActions, classDrafts, classQueries}}
	w.Defaults()
	c := cleat.Change{Operation: "solo", Author: "solo"}
	if err := addOp(&c, "/teams/pastor-andino/workspaces/secretaries", w); err != nil {
		return c, err
	}
	rules := map[string]cleat.Rule{
		"drafts":  {Order: 1, Method: "POST", PathPrefix: cleat.ChatPath, RequestModel: string(modelDrafts), Class: classDrafts, Repeatable: true},
		"queries": {Order: 2, Method: "POST", PathPrefix: cleat.ChatPath, Class: classQueries, Repeatable: true},
		"lookups": {Order: 3, Method: "GET", Kind: cleat.KindPlain, Model: poolPrint, Class: classQueries, Repeatable: true},
		"actions": {Order: 4, Kind: cleat.KindPlain, Model: poolPrint, Class: classActions},
	}
	for name, r := range rules {
		r.Defaults()
		if err := addOp(&c, "/fleet/rules/"+name, r); err != nil {
			return c, err
		}
	}
	return c, nil
}

// addOp appends an operation that sets a path to the JSON of v.
func addOp(c *cleat.Change, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "addOp: %s", path)
	}
	c.Ops = append(c.Ops, cleat.ChangeOp{Path: path, Value: b})
	return nil
}
