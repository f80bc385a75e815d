package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const usagePath = `Measures the real path on loopback sockets: a stand-in engine and a plain
service asked directly, and the same through entry and agent, in one run.

Without --entry all roles run inside this process. To measure separate
processes, start stand-ins, an agent and an entry with the settings that
--print-settings shows, and name them here; .ci/path does that.

Examples:

  gauge path
  gauge path --for 5s
  gauge path --print-settings > settings.json
  gauge path --entry http://127.0.0.1:8080 --engine http://127.0.0.1:9001 --plain http://127.0.0.1:9002 --entry-pid 17 --agent-pid 18`

// Performance targets and load of gauge path.
const (
	targetAddedMedian    = time.Millisecond
	targetAddedP99       = 3 * time.Millisecond
	targetShortRate      = 2000.0   // Requests per second of one entry on two cores.
	targetIdleBytes      = 40 << 20 // Resident memory of entry and agent, each.
	targetWaitingBytes   = 128 << 20
	waitingRequests      = 1000
	waitingRequestBytes  = 16 << 10
	shortWorkers         = 64 // Concurrent callers of short requests.
	pathRounds           = 5
	memorySettleDuration = 2 * time.Second // Wait before memory is measured.
)

// The stand-in upstreams that gauge path expects.
const (
	pathModel     = "gauge"
	pathShortPool = "short"
	pathSlowPool  = "slow"
	pathKey       = "gauge-path-key"
	pathSlots     = 16
	pathMaxTokens = 16
)

// pathCommand holds the flags of gauge path.
type pathCommand struct {
	duration      time.Duration
	printSettings bool
	entry         string
	engine        string
	plain         string
	entryPID      int
	agentPID      int
}

func registerPath(app *kingpin.Application) {
	c := &pathCommand{}
	cmd := app.Command("path", usagePath).Action(func(*kingpin.ParseContext) error { return c.run() })
	cmd.Flag("for", "Duration of each measurement, direct and through the fleet.").Default("5s").DurationVar(&c.duration)
	cmd.Flag("print-settings", "Print the settings that entry needs and exit.").BoolVar(&c.printSettings)
	cmd.Flag("entry", "Base URL of a separate entry.").StringVar(&c.entry)
	cmd.Flag("engine", "Base URL of the stand-in engine behind the entry.").StringVar(&c.engine)
	cmd.Flag("plain", "Base URL of the stand-in plain service behind the entry.").StringVar(&c.plain)
	cmd.Flag("entry-pid", "Process id of the entry, to measure its memory.").IntVar(&c.entryPID)
	cmd.Flag("agent-pid", "Process id of the agent, to measure its memory.").IntVar(&c.agentPID)
}

func (c *pathCommand) run() error {
	if c.printSettings {
		return printSettings()
	}
	if c.entry == "" {
		fleet, err := startPathFleet()
		if err != nil {
			return trace.Wrap(err)
		}
		defer fleet.close()
		c.entry, c.engine, c.plain = fleet.entryURL(), fleet.engine.URL(), fleet.short.URL()
	}
	l := newPathLoad(c)
	if err := l.awaitReady(); err != nil {
		return trace.Wrap(err)
	}
	if err := c.printMemory("idle", targetIdleBytes); err != nil {
		return trace.Wrap(err)
	}
	if err := c.compareFirstByte(l); err != nil {
		return trace.Wrap(err)
	}
	if err := c.compareShortRate(l); err != nil {
		return trace.Wrap(err)
	}
	return c.measureWaitingMemory(l)
}

// compareFirstByte compares the time to first byte at half load, direct and through
// the fleet. Rounds alternate, so that both are measured under the same conditions.
func (c *pathCommand) compareFirstByte(l *pathLoad) error {
	var direct, fleet latencies
	for range pathRounds {
		directRound, err := l.measureFirstBytes(l.engine, pathSlots/2, c.duration/pathRounds)
		if err != nil {
			return trace.Wrap(err, "request to the engine")
		}
		fleetRound, err := l.measureFirstBytes(l.entry, pathSlots/2, c.duration/pathRounds)
		if err != nil {
			return trace.Wrap(err, "request to the entry")
		}
		direct.merge(directRound)
		fleet.merge(fleetRound)
	}
	median := fleet.quantile(0.5) - direct.quantile(0.5)
	p99 := fleet.quantile(0.99) - direct.quantile(0.99)
	fmt.Printf("time to first byte, %d of %d slots busy\n", pathSlots/2, pathSlots)
	fmt.Printf("  %-8s %6d requests  median %8v  p99 %8v\n", "direct", direct.len(), direct.quantile(0.5), direct.quantile(0.99))
	fmt.Printf("  %-8s %6d requests  median %8v  p99 %8v\n", "fleet", fleet.len(), fleet.quantile(0.5), fleet.quantile(0.99))
	fmt.Printf("  %-8s median %v (target %v: %s)  p99 %v (target %v: %s)\n", "added",
		median, targetAddedMedian, targetVerdict(median <= targetAddedMedian), p99, targetAddedP99, targetVerdict(p99 <= targetAddedP99))
	return nil
}

// compareShortRate compares the throughput of short requests, direct and through
// the fleet.
func (c *pathCommand) compareShortRate(l *pathLoad) error {
	direct, err := l.measureShortRequests(l.plain, c.duration)
	if err != nil {
		return trace.Wrap(err, "request to the plain service")
	}
	fleet, err := l.measureShortRequests(l.entry, c.duration)
	if err != nil {
		return trace.Wrap(err, "request to the entry")
	}
	perSecond := func(s latencies) float64 { return float64(s.len()) / c.duration.Seconds() }
	fmt.Printf("short requests, %d callers\n", shortWorkers)
	fmt.Printf("  %-8s %8.0f/s  median %8v  p99 %8v\n", "direct", perSecond(direct), direct.quantile(0.5), direct.quantile(0.99))
	fmt.Printf("  %-8s %8.0f/s  median %8v  p99 %8v  (target %.0f/s: %s)\n", "fleet",
		perSecond(fleet), fleet.quantile(0.5), fleet.quantile(0.99), targetShortRate, targetVerdict(perSecond(fleet) >= targetShortRate))
	return nil
}

// measureWaitingMemory measures the memory while waitingRequests requests wait. Without
// --entry-pid it does nothing.
func (c *pathCommand) measureWaitingMemory(l *pathLoad) error {
	if c.entryPID == 0 {
		return nil
	}
	release, err := l.startWaiting()
	if err != nil {
		return trace.Wrap(err)
	}
	defer release()
	return c.printMemory(fmt.Sprintf("%d requests of %d KiB waiting", waitingRequests, waitingRequestBytes>>10), targetWaitingBytes)
}

func (c *pathCommand) printMemory(when string, target int64) error {
	if c.entryPID == 0 {
		return nil
	}
	time.Sleep(memorySettleDuration)
	fmt.Printf("memory, %s\n", when)
	for _, p := range []struct {
		name string
		pid  int
	}{{"entry", c.entryPID}, {"agent", c.agentPID}} {
		if p.pid == 0 {
			continue
		}
		n, err := residentBytes(p.pid)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Printf("  %-8s %6.1f MiB  (target %d MiB: %s)\n", p.name, float64(n)/(1<<20), target>>20, targetVerdict(n < target))
	}
	return nil
}

func targetVerdict(isReached bool) string {
	if isReached {
		return "reached"
	}
	return "missed"
}

// pathSettings returns the settings of the measured fleet.
func pathSettings() []cleat.Setting {
	hash := cleat.HashKey(pathKey)
	value := func(format string, args ...any) json.RawMessage { return json.RawMessage(fmt.Sprintf(format, args...)) }
	return []cleat.Setting{
		{Path: "/teams/gauge/workspaces/path", Value: value(`{"key_hashes":[%q],"max_waiting":%d}`, hash, 2*waitingRequests)},
		{Path: "/fleet/rules/model", Value: value(`{"path_prefix":%q,"repeatable":true}`, cleat.ChatPath)},
		{Path: "/fleet/rules/short", Value: value(`{"path_prefix":"/short","kind":"plain","model":%q,"repeatable":true}`, pathShortPool)},
		{Path: "/fleet/rules/slow", Value: value(`{"path_prefix":"/slow","kind":"plain","model":%q,"repeatable":true}`, pathSlowPool)},
	}
}

func printSettings() error {
	b, err := json.MarshalIndent(pathSettings(), "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Println(string(b))
	return trace.Wrap(err)
}

// readAndClose reads an answer to its end, discards it and closes it.
func readAndClose(r io.ReadCloser) error {
	_, err := io.Copy(io.Discard, r)
	return trace.NewAggregate(err, r.Close())
}
