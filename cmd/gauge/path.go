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

// Targets of the path.
const (
	targetAddedMedian   = time.Millisecond
	targetAddedP99      = 3 * time.Millisecond
	targetShortRate     = 2000.0   // Requests per second of one entry on two cores.
	targetIdleBytes     = 40 << 20 // Of entry and agent, each.
	targetWaitingBytes  = 128 << 20
	waitingRequests     = 1000
	waitingRequestBytes = 16 << 10
	shortWorkers        = 64
	rounds              = 5
	settleTime          = 2 * time.Second // Before memory is read.
)

// The stand-ins that gauge path expects.
const (
	pathModel  = "gauge"
	pathPool   = "short"
	pathSlow   = "slow"
	pathKey    = "gauge-path-key"
	pathSlots  = 16
	pathTokens = 16
)

// pathCommand holds the flags of gauge path.
type pathCommand struct {
	length        time.Duration
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
	cmd.Flag("for", "How long each measurement goes on, direct and through the fleet.").Default("5s").DurationVar(&c.length)
	cmd.Flag("print-settings", "Print the settings that entry needs and exit.").BoolVar(&c.printSettings)
	cmd.Flag("entry", "Base URL of a separate entry.").StringVar(&c.entry)
	cmd.Flag("engine", "Base URL of the stand-in engine behind it.").StringVar(&c.engine)
	cmd.Flag("plain", "Base URL of the stand-in plain service behind it.").StringVar(&c.plain)
	cmd.Flag("entry-pid", "Process id of the entry, for its memory.").IntVar(&c.entryPID)
	cmd.Flag("agent-pid", "Process id of the agent, for its memory.").IntVar(&c.agentPID)
}

func (c *pathCommand) run() error {
	if c.printSettings {
		return printSettings()
	}
	if c.entry == "" {
		r, err := startPathRig()
		if err != nil {
			return trace.Wrap(err)
		}
		defer r.close()
		c.entry, c.engine, c.plain = r.entryURL(), r.engine.URL(), r.short.URL()
	}
	l := newPathLoad(c)
	if err := l.waitReady(); err != nil {
		return trace.Wrap(err)
	}
	if err := c.memory("idle", targetIdleBytes); err != nil {
		return trace.Wrap(err)
	}
	if err := c.firstByte(l); err != nil {
		return trace.Wrap(err)
	}
	if err := c.shortRate(l); err != nil {
		return trace.Wrap(err)
	}
	return c.waiting(l)
}

// firstByte compares the time to the first byte at half load, in rounds that
// alternate so that both sides see the same machine.
func (c *pathCommand) firstByte(l *pathLoad) error {
	var direct, fleet sample
	for range rounds {
		d, err := l.streams(l.engine, pathSlots/2, c.length/rounds)
		if err != nil {
			return trace.Wrap(err, "asking the engine")
		}
		f, err := l.streams(l.entry, pathSlots/2, c.length/rounds)
		if err != nil {
			return trace.Wrap(err, "asking the entry")
		}
		direct.add(d)
		fleet.add(f)
	}
	median := fleet.at(0.5) - direct.at(0.5)
	p99 := fleet.at(0.99) - direct.at(0.99)
	fmt.Printf("time to first byte, %d of %d slots busy\n", pathSlots/2, pathSlots)
	fmt.Printf("  %-8s %6d requests  median %8v  p99 %8v\n", "direct", direct.len(), direct.at(0.5), direct.at(0.99))
	fmt.Printf("  %-8s %6d requests  median %8v  p99 %8v\n", "fleet", fleet.len(), fleet.at(0.5), fleet.at(0.99))
	fmt.Printf("  %-8s median %v (target %v: %s)  p99 %v (target %v: %s)\n", "added",
		median, targetAddedMedian, verdict(median <= targetAddedMedian), p99, targetAddedP99, verdict(p99 <= targetAddedP99))
	return nil
}

// shortRate compares how many short requests a second pass.
func (c *pathCommand) shortRate(l *pathLoad) error {
	direct, err := l.shorts(l.plain, c.length)
	if err != nil {
		return trace.Wrap(err, "asking the plain service")
	}
	fleet, err := l.shorts(l.entry, c.length)
	if err != nil {
		return trace.Wrap(err, "asking the entry")
	}
	perSecond := func(s sample) float64 { return float64(s.len()) / c.length.Seconds() }
	fmt.Printf("short requests, %d callers\n", shortWorkers)
	fmt.Printf("  %-8s %8.0f/s  median %8v  p99 %8v\n", "direct", perSecond(direct), direct.at(0.5), direct.at(0.99))
	fmt.Printf("  %-8s %8.0f/s  median %8v  p99 %8v  (target %.0f/s: %s)\n", "fleet",
		perSecond(fleet), fleet.at(0.5), fleet.at(0.99), targetShortRate, verdict(perSecond(fleet) >= targetShortRate))
	return nil
}

// waiting reads the memory while many requests wait.
func (c *pathCommand) waiting(l *pathLoad) error {
	if c.entryPID == 0 {
		return nil
	}
	release, err := l.hold()
	if err != nil {
		return trace.Wrap(err)
	}
	defer release()
	return c.memory(fmt.Sprintf("%d requests of %d KiB waiting", waitingRequests, waitingRequestBytes>>10), targetWaitingBytes)
}

func (c *pathCommand) memory(when string, target int64) error {
	if c.entryPID == 0 {
		return nil
	}
	time.Sleep(settleTime)
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
		fmt.Printf("  %-8s %6.1f MiB  (target %d MiB: %s)\n", p.name, float64(n)/(1<<20), target>>20, verdict(n < target))
	}
	return nil
}

func verdict(reached bool) string {
	if reached {
		return "reached"
	}
	return "missed"
}

// pathSettings are the settings of the fleet that is measured.
func pathSettings() []cleat.Setting {
	hash := cleat.HashKey(pathKey)
	value := func(format string, args ...any) json.RawMessage { return json.RawMessage(fmt.Sprintf(format, args...)) }
	return []cleat.Setting{
		{Path: "/teams/gauge/workspaces/path", Value: value(`{"key_hashes":[%q],"max_waiting":%d}`, hash, 2*waitingRequests)},
		{Path: "/fleet/rules/model", Value: value(`{"path_prefix":%q,"repeatable":true}`, cleat.ChatPath)},
		{Path: "/fleet/rules/short", Value: value(`{"path_prefix":"/short","kind":"plain","model":%q,"repeatable":true}`, pathPool)},
		{Path: "/fleet/rules/slow", Value: value(`{"path_prefix":"/slow","kind":"plain","model":%q,"repeatable":true}`, pathSlow)},
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

// discard reads an answer to its end.
func discard(r io.ReadCloser) error {
	_, err := io.Copy(io.Discard, r)
	return trace.NewAggregate(err, r.Close())
}
