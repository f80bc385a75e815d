package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

var _ = Describe("Planner, headroom of workspaces", func() {
	// FAIR and what mending it cost: workspaces that nobody could help slowed all others down.
	for name, c := range map[string]struct {
		denied, noRoom uint32 // Of the worse served workspace.
		least, most    float64
	}{
		"is whole while nothing is denied":                            {0, 0, 1, 1},
		"is whole while another is denied for its own share alone":    {90000, 0, 1, 1},
		"is whole while another lacks little room":                    {90000, 5000, 1, 1},
		"falls while a worse served one lacks room":                   {90000, 60000, 0.05, 0.2},
		"falls while a worse served one lacks room and is shed alike": {90000, 45000, 0.05, 0.5},
		"falls less while another lacks less room":                    {8000, 8000, 0.3, 0.4},
		"is whole while another gets nearly what it could":            {1000, 1000, 1, 1},
	} {
		It(name, func() {
			r := newRig(1, 0, 0)
			r.ApplyReport(r.now, "other", &cleat.PlacementReport{Seq: 1, Usage: []cleat.WorkspaceUsage{
				{Workspace: "best", StartedTokens: 100000},
				{Workspace: "worst", StartedTokens: 10000, DeniedTokens: c.denied, NoRoomTokens: c.noRoom},
			}})
			Expect(r.Headroom(r.now, modelService, "best")).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			Expect(r.Headroom(r.now, modelService, "worst")).To(Equal(1.0))
			Expect(r.Headroom(r.now, plainService, "best")).To(Equal(1.0))
		})
	}

	for name, c := range map[string]struct {
		service cleat.ServiceName
		outcome place.Outcome
	}{
		"isn't lowered by requests that no upstream can run": {"gone", place.OutcomeServed},
		"isn't lowered by callers that leave":                {modelService, place.OutcomeCanceled},
	} {
		It(name, func() {
			r := newRig(4, 0, 0)
			for range 50 {
				good := r.prompt("good", 1, 0, 100, 10)
				r.submit(good)
				r.begin(good)
				r.RecordEnd(r.now, good, place.OutcomeServed)
				other := r.prompt("other", 2, 0, 100, 10)
				other.Service = c.service
				if v, decided := r.Submit(r.now, other); decided && v.Placed() {
					r.RecordEnd(r.now, other, c.outcome)
				}
			}
			Expect(r.Headroom(r.now, modelService, "good")).To(Equal(1.0))
		})
	}

	// Requests that engines hang counted as denied only if they could be repeated: a workspace
	// whose requests can't be seemed well served, and was slowed down for the others.
	It("isn't lowered by requests that engines pass over, if the workspace's own fare no better", func() {
		r := newRig(20, 0, 0)
		stalled := make(map[*place.Job]bool)
		type call struct {
			job  *place.Job
			left time.Time // When its caller leaves.
		}
		var hung []call
		for i := range 800 { // Engines run one of four requests of each.
			for _, w := range []cleat.WorkspaceID{"repeatable", "not-repeatable", "large", "large", "large"} {
				j := r.prompt(w, uint64(i), 0, 400, 10)
				if v, decided := r.Submit(r.now, j); !decided || !v.Placed() {
					continue
				}
				if i%4 == 0 {
					r.begin(j)
					r.RecordEnd(r.now, j, place.OutcomeServed)
					continue
				}
				hung = append(hung, call{j, r.now.Add(2 * time.Second)})
			}
			if i%5 == 0 {
				for _, j := range r.Stalled(r.now, 0) {
					if stalled[j] = true; j.Workspace != "not-repeatable" {
						r.RecordEnd(r.now, j, place.OutcomeStalled)
					}
				}
			}
			for ; len(hung) > 0 && !r.now.Before(hung[0].left); hung = hung[1:] {
				r.RecordEnd(r.now, hung[0].job, place.OutcomeCanceled) // Does nothing for one that has ended.
			}
			r.now = r.now.Add(10 * time.Millisecond)
		}
		Expect(len(stalled)).To(BeNumerically(">", 600))
		Expect(r.ShareUsage(r.now, "not-repeatable").Standing).To(BeNumerically("~", r.ShareUsage(r.now, "repeatable").Standing, 0.15))
		Expect(r.Headroom(r.now, modelService, "not-repeatable")).To(BeNumerically(">", 0.9))
	})
})
