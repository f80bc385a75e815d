// Command cleatctl is the operators' command-line client. It reads and changes
// the settings of a fleet and shows its state.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

const usageMain = `Reads and changes the settings of a marigoldcleat fleet and shows its state.

Name the control instances with --server (repeatable; the next one is asked
when one does not answer) and give a token with --token, CLEAT_TOKEN or
--token-file.

Every change carries an operation id, printed when it is unknown whether the
change was accepted: run the command again with --operation and that id, and
the change is applied at most once.

Exit codes:
  0  done
  1  wrong usage, or another error
  2  refused: another change came first, or the change is invalid
  3  the token is unknown or lacks permission
  4  not found
  5  nothing changed: no quorum of control instances accepts changes; try again
  6  the change may or may not have been accepted; resend it with its operation id`

// command runs one subcommand after its flags and arguments have been parsed.
type command func(ctx context.Context, e *env) error

// registerFunc adds a subcommand to the application and returns its full name and
// the function that runs it.
type registerFunc func(app *kingpin.Application) (name string, run command)

var registerFuncs = []registerFunc{
	registerGet, registerSet, registerDelete, registerList, registerHistory, registerWatch, registerStatus,
	registerTokenCreate, registerTokenList, registerTokenRevoke, registerImport, registerExport,
	registerEvacuate, registerRestore,
	registerCtrlStatus, registerCtrlAdd, registerCtrlRemove, registerCtrlReplace, registerCtrlSnapshot, registerCtrlDump,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, args []string, out, stderr io.Writer) int {
	e := &env{out: out}
	err := e.run(ctx, args, stderr)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "cleatctl:", operatorMessage(err))
	return exitCode(err)
}

func (e *env) run(ctx context.Context, args []string, stderr io.Writer) error {
	app := kingpin.New("cleatctl", usageMain)
	app.UsageWriter(stderr)
	e.registerFlags(app)
	commands := make(map[string]command)
	for _, register := range registerFuncs {
		name, run := register(app)
		commands[name] = run
	}
	name, err := app.Parse(args)
	if err != nil {
		return trace.BadParameter("%v, try --help", err)
	}
	if err := e.createClient(); err != nil {
		return trace.Wrap(err)
	}
	return commands[name](ctx, e)
}
