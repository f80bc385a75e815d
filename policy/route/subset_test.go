package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func fleet(agents, models int) []cleat.Member {
	list := []cleat.Member{{Peer: cleat.Peer{Instance: "entry-0", Role: cleat.RoleEntry}}}
	for n := range agents {
		list = append(list, cleat.Member{
			Peer:   cleat.Peer{Instance: cleat.InstanceID(fmt.Sprintf("agent-%d", n)), Role: cleat.RoleAgent},
			Models: []cleat.ModelID{cleat.ModelID(fmt.Sprintf("m%d", n%models))},
		})
	}
	return list
}

var _ = Describe("Subset", func() {
	It("links to every agent of a small fleet", func() {
		Expect(route.Subset("entry-0", fleet(15, 3))).To(HaveLen(15))
	})

	It("links to LinksPerModel agents of each model of a large fleet", func() {
		Expect(route.Subset("entry-0", fleet(560, 28))).To(HaveLen(28 * route.LinksPerModel))
	})

	It("links every agent to at least 3 entries", func() {
		linkCounts := make(map[cleat.InstanceID]int)
		members := fleet(560, 28)
		for n := range 43 {
			for _, id := range route.Subset(cleat.InstanceID(fmt.Sprintf("entry-%d", n)), members) {
				linkCounts[id]++
			}
		}
		Expect(linkCounts).To(HaveLen(560))
		for id, n := range linkCounts {
			Expect(n).To(BeNumerically(">=", 3), string(id))
		}
	})

	It("drops at most one link when one agent leaves", func() {
		members := fleet(560, 28)
		before := route.Subset("entry-7", members)
		after := route.Subset("entry-7", members[:len(members)-1])
		kept := 0
		for _, id := range after {
			for _, other := range before {
				if id == other {
					kept++
				}
			}
		}
		Expect(kept).To(BeNumerically(">=", len(before)-1))
	})
})
