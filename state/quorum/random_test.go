package quorum_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/stand/trial"
)

// Flags of rapid. A fixed seed makes test runs repeatable.
const (
	rapidSeedFlag   = "rapid.seed"
	rapidChecksFlag = "rapid.checks"
	fixedSeed       = "20261203"
)

func setDefaultFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// TestRandomFaults runs random sequences of faults and client operations and
// checks the invariants afterwards.
func TestRandomFaults(t *testing.T) {
	defer assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })()
	setDefaultFlag(t, rapidSeedFlag, fixedSeed)
	setDefaultFlag(t, rapidChecksFlag, "60")
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size")
		c := trial.New(trial.SmallConfig(size, 1, rapid.Int64().Draw(t, "seed")))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		actions := trial.Actions()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			a := actions[pick(len(actions))]
			t.Logf("at %s: %s", c.Now(), a.Name)
			a.Run(c, pick)
		}
		if v := c.Settle(); len(v) > 0 {
			for _, n := range c.Nodes() {
				t.Logf("%s", n)
			}
			t.Fatalf("%d violations, first: %s", len(v), v[:min(len(v), 4)])
		}
	})
}
