package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/state/config"
)

const (
	usageToken = `Creates, lists and revokes operators' tokens.`

	usageTokenCreate = `Creates a token and writes its secret, of which the fleet stores only a hash, to
a file.

  cleatctl token create ring-admin --subtree /teams/ring --out ring.token
  cleatctl token create auditor --subtree / --read-only --out auditor.token

When the answer is lost, run the same command again with --operation: the
secret in the file is used again.`

	usageTokenList = `Lists tokens without their secrets.

  cleatctl token list`

	usageTokenRevoke = `Revokes a token.

  cleatctl token revoke ring-admin`

	secretFileMode = 0o600
)

// tokenClause returns the parent command of the token subcommands. The first call
// adds it to the application.
func tokenClause(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("token"); c != nil {
		return c
	}
	return app.Command("token", usageToken)
}

func registerTokenCreate(app *kingpin.Application) (string, command) {
	c := tokenClause(app).Command("create", usageTokenCreate)
	f := new(changeFlags)
	f.registerOperation(c)
	id := c.Arg("name", "Name of the token.").Required().String()
	subtree := c.Flag("subtree", `"/" or "/teams/<team>".`).Required().String()
	readOnly := c.Flag("read-only", "The token may not write.").Bool()
	out := c.Flag("out", "File for the secret.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		secret, err := loadOrCreateSecret(*out, f.operation != "")
		if err != nil {
			return err
		}
		create := admin.TokenChange{Hash: cleat.HashKey(secret), Create: &config.Token{ID: *id, Subtree: *subtree, Write: !*readOnly}}
		if err := e.sendTokenChange(ctx, f, create); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "created token %s; its secret is in %s\n", *id, *out)
		return nil
	}
}

// loadOrCreateSecret writes a new secret to a file, which must not exist yet. With
// reuse it reads the secret that an earlier attempt wrote.
func loadOrCreateSecret(name string, reuse bool) (string, error) {
	if reuse {
		b, err := os.ReadFile(name)
		return string(b), trace.ConvertSystemError(err)
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, secretFileMode)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	secret := randomHex(secretBytes)
	_, err = f.WriteString(secret)
	return secret, trace.NewAggregate(err, f.Close())
}

func registerTokenList(app *kingpin.Application) (string, command) {
	c := tokenClause(app).Command("list", usageTokenList)
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		var list admin.Tokens
		if err := e.client.Get(ctx, admin.PathTokens, nil, &list); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(list)
		}
		var rows []string
		for _, t := range list.Tokens {
			rows = append(rows, row(t.ID, t.Subtree, t.Write, t.Author, t.Created.UTC().Format(time.RFC3339)))
		}
		return e.printTable(row("NAME", "SUBTREE", "WRITES", "AUTHOR", "CREATED"), rows)
	}
}

func registerTokenRevoke(app *kingpin.Application) (string, command) {
	c := tokenClause(app).Command("revoke", usageTokenRevoke)
	f := new(changeFlags)
	f.registerOperation(c)
	id := c.Arg("name", "Name of the token.").Required().String()
	return c.FullCommand(), func(ctx context.Context, e *env) error {
		if err := e.sendTokenChange(ctx, f, admin.TokenChange{Revoke: *id}); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "revoked token %s\n", *id)
		return nil
	}
}
