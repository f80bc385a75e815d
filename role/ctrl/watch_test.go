package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/role/ctrl"
)

var _ = Describe("QuorumWatch", func() {
	const maxAge = time.Second
	start := time.Unix(1_000, 0)

	It("reports a lost quorum once, and its return", func() {
		w := ctrl.NewQuorumWatch(start)
		gap, back := w.RecordSuccess(start.Add(300 * time.Millisecond))
		Expect(back).To(BeTrue(), "the first answer after the start")
		Expect(gap).To(Equal(300 * time.Millisecond))

		at := start.Add(400 * time.Millisecond)
		_, back = w.RecordSuccess(at)
		Expect(back).To(BeFalse())
		Expect(w.RecordFailure(at.Add(maxAge), maxAge)).To(BeFalse(), "a quorum answered within the time")
		Expect(w.RecordFailure(at.Add(2*maxAge), maxAge)).To(BeTrue())
		Expect(w.RecordFailure(at.Add(3*maxAge), maxAge)).To(BeFalse(), "it was reported")
		gap, back = w.RecordSuccess(at.Add(4 * maxAge))
		Expect(back).To(BeTrue())
		Expect(gap).To(Equal(4 * maxAge))
	})

	It("reports that no quorum has answered since the start", func() {
		w := ctrl.NewQuorumWatch(start)
		Expect(w.RecordFailure(start.Add(2*maxAge), maxAge)).To(BeTrue())
	})
})
