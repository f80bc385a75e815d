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

const operationIDBytes = 12

// changeFlags are the flags of the commands that change settings or tokens.
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

// operationID returns the id given by --operation, or else a random one,
// which is generated once for each command.
func (f *changeFlags) operationID() string {
	if f.operation == "" {
		f.operation = randomHex(operationIDBytes)
	}
	return f.operation
}

// expectedRevision parses --expect. It returns nil if the flag is not given, and a
// pointer to revision 0 for "new".
func (f *changeFlags) expectedRevision() (*cleat.Revision, error) {
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

// sendChange sends operations as one change and prints the revision at which it
// was accepted.
func (e *env) sendChange(ctx context.Context, f *changeFlags, ops []cleat.ChangeOp) error {
	r, err := e.client.Change(ctx, cleat.Change{Operation: f.operationID(), Ops: ops})
	if err != nil {
		return withUnknownOutcome(f.operationID(), err)
	}
	if e.json {
		return e.printJSON(r)
	}
	fmt.Fprintf(e.out, "accepted as revision %d\n", r.Revision)
	return nil
}

// sendTokenChange sends the creation or revocation of a token.
func (e *env) sendTokenChange(ctx context.Context, f *changeFlags, c admin.TokenChange) error {
	c.Operation = f.operationID()
	return withUnknownOutcome(f.operationID(), e.client.Post(ctx, admin.PathTokens, c, nil))
}
