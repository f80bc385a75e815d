package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

const operationBytes = 12

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	operation string
	expect    string
}

func (f *changeFlags) registerOperation(c *kingpin.CmdClause) {
	c.Flag("operation", "Operation id of an earlier try of the same change.").StringVar(&f.operation)
}

func (f *changeFlags) registerExpect(c *kingpin.CmdClause) {
	c.Flag("expect", `Revision that the path must have, or "new" if it must not exist.`).StringVar(&f.expect)
}

func (f *changeFlags) id() string {
	if f.operation == "" {
		f.operation = randomHex(operationBytes)
	}
	return f.operation
}

func (f *changeFlags) expected() (*cleat.Revision, error) {
	if f.expect == "" {
		return nil, nil
	}
	if f.expect == "new" {
		return new(cleat.Revision), nil
	}
	n, err := strconv.ParseUint(f.expect, 10, 64)
	if err != nil {
		return nil, trace.BadParameter(`--expect must be a revision or "new", not %q`, f.expect)
	}
	rev := cleat.Revision(n)
	return &rev, nil
}

// change sends a batch and prints the fleet's answer.
func (e *env) change(ctx context.Context, f *changeFlags, ops []cleat.ChangeOp) error {
	r, err := e.client.Change(ctx, cleat.Change{Operation: f.id(), Ops: ops})
	if err != nil {
		return unknown(f.id(), err)
	}
	if e.json {
		return e.printJSON(r)
	}
	fmt.Fprintf(e.out, "accepted as revision %d\n", r.Revision)
	return nil
}

// changeToken sends a change of the tokens.
func (e *env) changeToken(ctx context.Context, f *changeFlags, c admin.TokenChange) error {
	c.Operation = f.id()
	return unknown(f.id(), e.client.Post(ctx, admin.PathTokens, c, nil))
}
