package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Demand", func() {
	It("counts the waiting and running requests of each model, but not the ended ones", func() {
		f := newFleet(40, 1, 1, 1)
		for range 20 {
			f.submit("entry-0", "a/busy", 10, nil)
		}
		f.advance(200 * time.Millisecond)
		demand := f.entries["entry-0"].table.Demand()
		Expect(demand).To(HaveLen(1))
		Expect(demand[0].Running).NotTo(BeZero())
		Expect(demand[0].Waiting).NotTo(BeZero())
		f.advance(5 * time.Minute)
		Expect(f.entries["entry-0"].table.Demand()).To(BeEmpty())
	})
})
