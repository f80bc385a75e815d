// Command gauge measures the fleet: its policies on virtual time, its replicated
// control state, and the latency and throughput of the request path on loopback.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

const usageGauge = `Measures the router fleet.

Examples:

  gauge policy --deployment pastor-andino --duration 60s
  gauge policy --deployment lade --faults partition@20s-30s --seeds 20
  gauge cost --deployment plan
  gauge state
  gauge placement --seeds 3
  gauge soak --for 10m
`

func main() {
	app := kingpin.New("gauge", usageGauge)
	registerPolicy(app)
	registerCost(app)
	registerState(app)
	registerSoak(app)
	registerPath(app)
	registerPlacement(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.FatalIfError(err, "")
	}
}
