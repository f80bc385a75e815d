package queue_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// TestRandomFaults runs queue and slot tables under random faults and checks that every
// request ends once (at most once if an entry was restarted), that none that ran is reported
// as not run, and that a request that may not be repeated runs at most once.
func TestRandomFaults(t *testing.T) {
	restore := assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	defer restore()
	if err := flag.Set("rapid.seed", "1917"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, randomFaults)
}

func randomFaults(t *rapid.T) {
	f := newFleet(rapid.Int64Range(1, 1<<40).Draw(t, "seed"), 2, 3, 2)
	f.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lose")
	f.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
	f.jitter = rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond}).Draw(t, "jitter")
	failing := ""
	f.fails = func(u cleat.UpstreamID) bool { return string(u) == failing }
	repeatable := map[cleat.RequestID]bool{}
	agent := func() cleat.InstanceID {
		return cleat.InstanceID(fmt.Sprintf("agent-%d", rapid.IntRange(0, 2).Draw(t, "agent")))
	}
	entry := func() cleat.InstanceID {
		return cleat.InstanceID(fmt.Sprintf("entry-%d", rapid.IntRange(0, 1).Draw(t, "entry")))
	}
	restarted := map[cleat.InstanceID]bool{}
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			e := entry()
			w := cleat.WorkspaceID(fmt.Sprintf("t/w%d", rapid.IntRange(0, 3).Draw(t, "workspace")))
			mayRepeat := rapid.Bool().Draw(t, "repeatable")
			for range rapid.IntRange(1, 12).Draw(t, "n") {
				id := f.submit(e, w, rapid.IntRange(4, 200).Draw(t, "tokens"), func(w *cleat.Work) {
					w.Repeatable = mayRepeat
					w.Rank = rapid.IntRange(0, 2).Draw(t, "rank")
					w.Class = cleat.ClassName(fmt.Sprint("c", w.Rank))
					w.CostHint = cleat.Cost(rapid.IntRange(0, 2000).Draw(t, "hint"))
				})
				repeatable[id] = mayRepeat
			}
		},
		"wait":   func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"cut":    func(*rapid.T) { f.cutLink(entry(), agent(), time.Second) },
		"heal":   func(*rapid.T) { f.healLink(entry(), agent()) },
		"fail":   func(*rapid.T) { failing = "up-" + string(agent()) },
		"mend":   func(*rapid.T) { failing = "" },
		"leave":  func(*rapid.T) { f.agents["agent-2"].leaving = true },
		"return": func(*rapid.T) { f.agents["agent-2"].leaving = false },
		"agent":  func(*rapid.T) { f.restartAgent(agent()) },
		"relay":  func(t *rapid.T) { f.restartRelay(rapid.IntRange(0, 1).Draw(t, "relay")) },
		"entry": func(*rapid.T) {
			e := entry()
			restarted[e] = true
			f.restartEntry(e)
		},
	})
	f.settle(&failing)
	f.checkOutcomes(t, repeatable, len(restarted) > 0)
}

// settle clears all faults and runs until every request has ended.
func (f *fleet) settle(failing *string) {
	*failing = ""
	f.lossRate, f.duplicateRate, f.jitter = 0, 0, 0
	for _, e := range sortedEntries(f) {
		for _, a := range sortedAgents(f) {
			f.agents[a].leaving = false
			f.healLink(e, a)
		}
	}
	for waited := time.Duration(0); waited < 15*time.Minute && !f.idle(); waited += 5 * time.Second {
		f.advance(5 * time.Second)
	}
	f.advance(5 * time.Second)
}

// idle reports whether no table has waiting or running requests.
func (f *fleet) idle() bool {
	for _, n := range f.entries {
		if n.table.Waiting()+n.table.Running() > 0 {
			return false
		}
	}
	for _, n := range f.agents {
		if n.table.Running() > 0 {
			return false
		}
	}
	return true
}

func (f *fleet) checkOutcomes(t *rapid.T, repeatable map[cleat.RequestID]bool, entryRestarted bool) {
	for _, e := range sortedEntries(f) {
		if n := f.entries[e].table; n.Waiting() != 0 || n.Running() != 0 {
			t.Fatalf("%s has %d waiting and %d running requests at the end", e, n.Waiting(), n.Running())
		}
	}
	for _, a := range sortedAgents(f) {
		if n := f.agents[a].table.Running(); n != 0 {
			t.Fatalf("%s has %d running attempts at the end", a, n)
		}
	}
	for id, mayRepeat := range repeatable {
		ends := f.done[id] + len(f.refusals[id])
		if ends > 1 || (ends == 0 && !entryRestarted) {
			t.Fatalf("%s ended %d times: done %d, refused %v", id, ends, f.done[id], f.refusals[id])
		}
		if !mayRepeat && f.ran[id] > 1 {
			t.Fatalf("%s is not repeatable but ran %d times", id, f.ran[id])
		}
		for _, r := range f.refusals[id] {
			if r.Ran == cleat.RanNo && f.ran[id] > 0 {
				t.Fatalf("%s was refused as not run and ran %d times", id, f.ran[id])
			}
		}
	}
}
