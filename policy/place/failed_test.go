package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// One workspace whose requests alone failed slowed all others down, as if it lacked room.
var _ = Describe("Jobs that engines answer with an error", func() {
	const jobs, cost = 12, 120

	for name, c := range map[string]struct {
		others  int // Jobs of another workspace.
		failing int // Of these.
		lacking int // Cost units of the failing workspace that lack room.
	}{
		"lack no room while those of others are served":             {jobs, 0, 0},
		"lack room while all others fail, too":                      {jobs, jobs, jobs * cost},
		"lack room by half while half of the others fail":           {jobs, jobs / 2, jobs * cost / 2},
		"lack room while there is nothing that they can be told by": {2, 0, jobs * cost},
	} {
		It(name, func() {
			r := newRig(4, 0, 1_000_000)
			run := func(w cleat.WorkspaceID, fails bool) {
				j := r.prompt(w, 1, 50, 50, 10)
				Expect(r.submit(j).Placed()).To(BeTrue())
				if !fails {
					r.begin(j)
				}
				outcome := place.OutcomeServed
				if fails {
					outcome = place.OutcomeFailed
				}
				r.RecordEnd(r.now, j, outcome)
				r.now = r.now.Add(20 * time.Millisecond)
			}
			for i := range c.others {
				run("others", i*c.failing%c.others < c.failing)
			}
			for range jobs {
				run("failing", true)
			}
			for _, u := range r.Report(r.now).Usage {
				if u.Workspace == "failing" {
					Expect(u.DeniedTokens).To(BeEquivalentTo(jobs * cost))
					Expect(u.NoRoomTokens).To(BeNumerically("~", c.lacking, cost))
				}
			}
		})
	}
})
