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

func requestClaim(t *claim.Table, h claim.Holder, key, id, digest string) cleat.ClaimResult {
	return t.Apply(claim.Command{Holder: h, Claim: &cleat.Claim{Workspace: "w/w", Key: key, Request: cleat.RequestID(id), Digest: []byte(digest)}})
}

func recordDone(t *claim.Table, h claim.Holder, key, id string, body []byte) cleat.ClaimResult {
	return t.Apply(claim.Command{Holder: h, Outcome: &cleat.ClaimOutcome{
		Workspace: "w/w", Key: key, Request: cleat.RequestID(id), Outcome: cleat.OutcomeDone,
		Answer: cleat.RecordedAnswer{Status: 200, Body: body},
	}})
}

var _ = Describe("Table", func() {
	h := claim.Holder{Instance: "entry", Incarnation: 1}

	It("refuses a key that was used with another digest", func() {
		t := claim.NewTable()
		Expect(requestClaim(t, h, "k", "r1", "a").State).To(Equal(cleat.ClaimGranted))
		Expect(requestClaim(t, h, "k", "r2", "b").Mismatch).To(BeTrue())
		Expect(requestClaim(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimRunning))
	})

	It("records the outcome of a holder that was reported lost", func() {
		t := claim.NewTable()
		requestClaim(t, h, "k", "r1", "a")
		t.Apply(claim.Command{Holder: h, Lost: true})
		Expect(requestClaim(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimInDoubt))
		Expect(recordDone(t, h, "k", "r1", []byte("ok")).State).To(Equal(cleat.ClaimDone))
		Expect(requestClaim(t, h, "k", "r2", "a").Answer.Body).To(Equal([]byte("ok")))
	})

	It("puts a claim in doubt when it has no outcome after MaxRunTime", func() {
		t := claim.NewTable()
		requestClaim(t, h, "k", "r1", "a")
		t.Apply(claim.Command{Elapsed: claim.MaxRunTime - 1, Tick: true})
		Expect(requestClaim(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimRunning))
		t.Apply(claim.Command{Elapsed: claim.MaxRunTime, Tick: true})
		Expect(requestClaim(t, h, "k", "r2", "a").State).To(Equal(cleat.ClaimInDoubt))
	})

	It("omits a large body and marks it as omitted", func() {
		t := claim.NewTable()
		requestClaim(t, h, "k", "r1", "a")
		recordDone(t, h, "k", "r1", make([]byte, claim.MaxBodyBytes+1))
		r := requestClaim(t, h, "k", "r2", "a")
		Expect(r.Answer.BodyOmitted).To(BeTrue())
		Expect(r.Answer.Body).To(BeEmpty())
		Expect(r.Answer.Status).To(Equal(200))
	})

	It("omits the oldest bodies when all bodies exceed their limit", func() {
		t := claim.NewTable()
		body := bytes.Repeat([]byte("x"), claim.MaxBodyBytes)
		n := claim.MaxTotalBodyBytes/claim.MaxBodyBytes + 1
		for i := range n {
			requestClaim(t, h, fmt.Sprint(i), fmt.Sprint(i), "a")
			recordDone(t, h, fmt.Sprint(i), fmt.Sprint(i), body)
		}
		Expect(requestClaim(t, h, "0", "again", "a").Answer.BodyOmitted).To(BeTrue())
		Expect(requestClaim(t, h, "1", "again", "a").Answer.Body).To(HaveLen(claim.MaxBodyBytes))
	})

	It("refuses claims beyond MaxClaims until the oldest outcomes are past MinRetention", func() {
		t := claim.NewTable()
		for i := range claim.MaxClaims {
			requestClaim(t, h, fmt.Sprint(i), fmt.Sprint(i), "a")
			recordDone(t, h, fmt.Sprint(i), fmt.Sprint(i), nil)
		}
		Expect(requestClaim(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimNoQuorum))
		t.Apply(claim.Command{Elapsed: claim.MinRetention - 1, Tick: true})
		Expect(requestClaim(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimNoQuorum))
		t.Apply(claim.Command{Elapsed: claim.MinRetention, Tick: true})
		Expect(requestClaim(t, h, "more", "more", "a").State).To(Equal(cleat.ClaimGranted))
		Expect(t.Len()).To(Equal(claim.MaxClaims))
		Expect(requestClaim(t, h, "99999", "99999", "a").State).To(Equal(cleat.ClaimDone))
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
			requestClaim(t, h, id, id, "0123456789abcdef0123456789abcdef")
			recordDone(t, h, id, id, bytes.Repeat([]byte("x"), 100))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/claim")
		runtime.KeepAlive(t)
	}
}

// newSettledTable returns a table with n settled claims, each with a body of the given size.
func newSettledTable(n, bodyBytes int) *claim.Table {
	h := claim.Holder{Instance: "entry", Incarnation: 1}
	t := claim.NewTable()
	for i := range n {
		id := fmt.Sprintf("%032d", i)
		requestClaim(t, h, id, id, "0123456789abcdef0123456789abcdef")
		recordDone(t, h, id, id, bytes.Repeat([]byte("x"), bodyBytes))
	}
	return t
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10000, claim.MaxClaims} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := newSettledTable(n, 100)
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
	image, err := newSettledTable(claim.MaxClaims, 100).Marshal()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := claim.NewTable().Unmarshal(image); err != nil {
			b.Fatal(err)
		}
	}
}
