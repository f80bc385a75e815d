package claim_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/claim"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

func ask(t *claim.Table, h claim.Holder, key, id, digest string) cleat.ClaimResult {
	return t.Apply(claim.Command{Holder: h, Claim: &cleat.Claim{Workspace: "w/w", Key: key, Request: cleat.RequestID(id), Digest: []byte(digest)}})
}

func finish(t *claim.Table, h claim.Holder, key, id string, body []byte) cleat.ClaimResult {
	return t.Apply(claim.Command{Holder: h, Outcome: &cleat.ClaimOutcome{
		Workspace: "w/w", Key: key, Request: cleat.RequestID(id), Outcome: cleat.OutcomeDone,
		Answer: cleat.RecordedAnswer{Status: 200, Body: body},
	}})
}

var _ = Describe("Table", func() {
	h := claim.Holder{Instance: "entry", Incarnation: 1}

	It("refuses a key with other bytes", func() {
		t := claim.NewTable()
		Expect(ask(t, h, "k", "r1", "a").State).To(Equal(cleat.ClaimGranted))
		Expect(ask(t, h, "k", "r2", "b").Mismatch).To(BeTrue())
		Expect(ask(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimRunning))
	})

	It("records a late outcome of a holder that was believed lost", func() {
		t := claim.NewTable()
		ask(t, h, "k", "r1", "a")
		t.Apply(claim.Command{Holder: h, Lost: true})
		Expect(ask(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimInDoubt))
		Expect(finish(t, h, "k", "r1", []byte("ok")).State).To(Equal(cleat.ClaimDone))
		Expect(ask(t, h, "k", "r2", "a").Answer.Body).To(Equal([]byte("ok")))
	})

	It("puts a claim in doubt that has no outcome for too long", func() {
		t := claim.NewTable()
		ask(t, h, "k", "r1", "a")
		t.Apply(claim.Command{Elapsed: claim.MaxRunning - 1, Tick: true})
		Expect(ask(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimRunning))
		t.Apply(claim.Command{Elapsed: claim.MaxRunning, Tick: true})
		Expect(ask(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimInDoubt))
	})

	It("cuts a large body and says so", func() {
		t := claim.NewTable()
		ask(t, h, "k", "r1", "a")
		finish(t, h, "k", "r1", make([]byte, claim.MaxBodyBytes+1))
		r := ask(t, h, "k", "r2", "a")
		Expect(r.Answer.BodyOmitted).To(BeTrue())
		Expect(r.Answer.Body).To(BeEmpty())
		Expect(r.Answer.Status).To(Equal(200))
	})

	It("bounds all bodies by cutting the oldest", func() {
		t := claim.NewTable()
		body := bytes.Repeat([]byte("x"), claim.MaxBodyBytes)
		n := claim.MaxAnswerBytes/claim.MaxBodyBytes + 1
		for i := range n {
			ask(t, h, fmt.Sprint(i), fmt.Sprint(i), "a")
			finish(t, h, fmt.Sprint(i), fmt.Sprint(i), body)
		}
		Expect(ask(t, h, "0", "again", "a").Answer.BodyOmitted).To(BeTrue())
		Expect(ask(t, h, "1", "again", "a").Answer.Body).To(HaveLen(claim.MaxBodyBytes))
	})

	It("refuses claims beyond its bound until its oldest outcomes are past the least retention", func() {
		t := claim.NewTable()
		for i := range claim.MaxClaims {
			ask(t, h, fmt.Sprint(i), fmt.Sprint(i), "a")
			finish(t, h, fmt.Sprint(i), fmt.Sprint(i), nil)
		}
		Expect(ask(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimNoQuorum))
		t.Apply(claim.Command{Elapsed: claim.LeastRetention - 1, Tick: true})
		Expect(ask(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimNoQuorum))
		t.Apply(claim.Command{Elapsed: claim.LeastRetention, Tick: true})
		Expect(ask(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimGranted))
		Expect(t.Len()).To(Equal(claim.MaxClaims))
		Expect(ask(t, h, "99999", "99999", "a").State).To(Equal(cleat.ClaimDone))
	})
})

func BenchmarkMemory(b *testing.B) {
	h := claim.Holder{Instance: "entry", Incarnation: 1}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := claim.NewTable()
		const n = 100000
		for i := range n {
			id := fmt.Sprintf("%032d", i)
			ask(t, h, id, id, "0123456789abcdef0123456789abcdef")
			finish(t, h, id, id, bytes.Repeat([]byte("x"), 100))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/claim")
		runtime.KeepAlive(t)
	}
}

// full returns a table with n settled claims and the bytes of their bodies.
func full(n, body int) *claim.Table {
	h := claim.Holder{Instance: "entry", Incarnation: 1}
	t := claim.NewTable()
	for i := range n {
		id := fmt.Sprintf("%032d", i)
		ask(t, h, id, id, "0123456789abcdef0123456789abcdef")
		finish(t, h, id, id, bytes.Repeat([]byte("x"), body))
	}
	return t
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10000, claim.MaxClaims} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := full(n, 100)
			for b.Loop() {
				image, err := t.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(image))/float64(n), "B/claim")
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	image, err := full(claim.MaxClaims, 100).Marshal()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := claim.NewTable().Unmarshal(image); err != nil {
			b.Fatal(err)
		}
	}
}
