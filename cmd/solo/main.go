// Command solo runs all roles and stand-in upstreams in one process on
// loopback, with nothing to configure.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/assert"
)

func main() {
	app := kingpin.New("solo", "Runs all roles and stand-in upstreams in one process on loopback.")
	http := app.Flag("http", "Address for callers, as host:port; port 0 takes a free one.").Envar("CLEAT_HTTP").Default("127.0.0.1:0").String()
	level := app.Flag("log-level", "Minimum level of log lines: debug, info, warn or error.").Envar("CLEAT_LOG_LEVEL").Default("warn").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	logger := log.New(os.Stderr)
	minLevel, err := log.ParseLevel(*level)
	app.FatalIfError(err, "--log-level")
	logger.SetLevel(minLevel)
	telem.Exit(logger, run(*http, logger))
}

func run(http string, logger *log.Logger) error {
	assert.SetHook(func(name, msg string) { logger.Error("invariant violated", "invariant", name, "detail", msg) })
	s, err := start(http, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	defer s.cleanUp()
	return telem.RunDaemon(logger, s)
}

// printWelcome prints example commands for callers and operators.
func printWelcome(s *solo) {
	fmt.Printf(`marigoldcleat runs at http://%[1]s with workspace %[2]s.

A streamed catalogue draft:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"catalogue","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Draft the toy group."}]}'

A print order, which runs at most once however often it is sent:

  curl -i http://%[1]s/print-orders -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: order-1' -d '{"catalogue":"spring"}'

The settings, for operators:

  CLEAT_SERVER=%[4]s CLEAT_TOKEN=%[5]s go run ./cmd/cleatctl list /

Stop with Ctrl-C.
`, s.addr(), demoWorkspace, demoKey, s.controlURL, s.operatorToken)
}
