package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/poison"
)

var start = time.Unix(1e9, 0)

const service = cleat.ServiceName("model")

func blocks(ids ...uint64) []cleat.PrefixBlock {
	var list []cleat.PrefixBlock
	for _, id := range ids {
		list = append(list, cleat.PrefixBlock{ID: id})
	}
	return list
}

// rig is a table at a simulated time.
type rig struct {
	*poison.Table
	now time.Time
	n   int // Requests and upstreams so far.
}

func newRig(cfg poison.Config) *rig { return &rig{Table: poison.New(cfg), now: start} }

// wait lets time pass in the steps of the entry's loop.
func (r *rig) wait(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(50 * time.Millisecond)
		r.Tick(r.now)
	}
}

// crash ends an upstream on which requests with the given blocks had not begun.
func (r *rig) crash(requests ...[]uint64) {
	r.n++
	u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprintf("u%d", r.n)), Service: service, StartedAtMillis: int64(r.n)}
	for _, ids := range requests {
		r.n++
		r.RecordBreak(r.now, u, cleat.RequestID(fmt.Sprint(r.n)), blocks(ids...), true)
	}
}

func (r *rig) refuses(ids ...uint64) bool { return r.Check(r.now, service, blocks(ids...)) != nil }

const (
	first, bad, rare, other = 1, 2, 3, 4 // Blocks: one that all prompts share, one that crashes upstreams, and two more.
)

var _ = Describe("Table", func() {
	It("quarantines the block that is there at each crash and in no answer", func() {
		r := newRig(poison.Config{})
		for i := range 5 {
			r.crash([]uint64{first, bad, uint64(100 + i)}, []uint64{first, rare})
			r.wait(300 * time.Millisecond)
			for range 10 {
				r.RecordServed(r.now, service, blocks(first, rare))
			}
		}
		r.wait(2 * time.Second)
		Expect(r.Quarantined()).To(Equal(1))
		Expect(r.refuses(first, bad)).To(BeTrue())
		Expect(r.refuses(other, bad)).To(BeTrue())
		Expect(r.refuses(first, rare)).To(BeFalse())
		q := r.Check(r.now, service, blocks(bad))
		Expect(q.Crashes).To(Equal(5))
		Expect(q.Requests).To(Equal(5))
		Expect(q.Upstreams).To(HaveLen(5))
	})

	cases := map[string]struct {
		run     func(r *rig)
		refused bool
	}{
		"upstreams of which each ended with it, however slowly": {func(r *rig) {
			for range 4 {
				r.crash([]uint64{bad})
				r.wait(2 * time.Minute)
			}
		}, true},
		"three crashes": {func(r *rig) {
			for range 3 {
				r.crash([]uint64{bad})
			}
		}, false},
		"many requests on one upstream that ended": {func(r *rig) { r.crash([]uint64{bad}, []uint64{bad}, []uint64{bad}, []uint64{bad}, []uint64{bad}) }, false},
		"one request, repeated at upstreams that ended": {func(r *rig) {
			for i := range 6 {
				u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprint("v", i)), Service: service, StartedAtMillis: 1}
				r.RecordBreak(r.now, u, "same", blocks(bad), true)
			}
		}, false},
		"broken connections to upstreams that go on": {func(r *rig) {
			for i := range 6 {
				u := cleat.UpstreamRecord{Upstream: "u", Service: service, StartedAtMillis: 1}
				r.RecordBreak(r.now, u, cleat.RequestID(fmt.Sprint(i)), blocks(bad), false)
			}
		}, false},
		"broken connections to upstreams that are replaced soon": {func(r *rig) {
			for i := range 6 {
				u := cleat.UpstreamRecord{Upstream: "u", Service: service, StartedAtMillis: int64(i)}
				r.RecordBreak(r.now, u, cleat.RequestID(fmt.Sprint(i)), blocks(bad), false)
				r.wait(3 * time.Second)
				r.RecordEnd(r.now, u)
			}
		}, true},
		"broken connections to upstreams that are replaced much later": {func(r *rig) {
			for i := range 6 {
				u := cleat.UpstreamRecord{Upstream: "u", Service: service, StartedAtMillis: int64(i)}
				r.RecordBreak(r.now, u, cleat.RequestID(fmt.Sprint(i)), blocks(bad), false)
				r.wait(time.Minute)
				r.RecordEnd(r.now, u)
			}
		}, false},
		"an answer among the crashes": {func(r *rig) {
			for i := range 6 {
				r.crash([]uint64{bad})
				if i == 3 {
					r.RecordServed(r.now, service, blocks(first, bad))
				}
			}
		}, false},
		"an answer soon after the last crash": {func(r *rig) {
			for range 6 {
				r.crash([]uint64{bad})
			}
			r.wait(500 * time.Millisecond)
			r.RecordServed(r.now, service, blocks(bad))
		}, false},
	}
	for name, c := range cases {
		It("decides on a block after "+name, func() {
			r := newRig(poison.Config{})
			c.run(r)
			r.wait(2 * time.Second)
			Expect(r.refuses(bad)).To(Equal(c.refused))
		})
	}

	It("asks for more crashes while many requests break off for other reasons", func() {
		r := newRig(poison.Config{})
		for range 30 {
			r.crash([]uint64{first}, []uint64{first})
			for range 3 {
				r.RecordServed(r.now, service, blocks(first))
			}
		}
		for range 5 {
			r.crash([]uint64{bad})
		}
		r.wait(2 * time.Second)
		Expect(r.refuses(bad)).To(BeFalse())
		for range poison.DefaultMaxCrashes - 5 {
			r.crash([]uint64{bad})
		}
		r.wait(2 * time.Second)
		Expect(r.refuses(bad)).To(BeTrue())
	})

	It("refuses blocks that always came together only together, and learns which one it was", func() {
		r := newRig(poison.Config{})
		for range 5 {
			r.crash([]uint64{bad, rare})
		}
		r.wait(2 * time.Second)
		Expect(r.refuses(bad, rare)).To(BeTrue())
		Expect(r.refuses(rare)).To(BeFalse())
		Expect(r.refuses(bad)).To(BeFalse())
		r.RecordServed(r.now, service, blocks(rare, other))
		Expect(r.refuses(bad)).To(BeTrue())
		Expect(r.refuses(rare)).To(BeFalse())
	})

	It("repeats a request once unless its blocks are known to be sound", func() {
		r := newRig(poison.Config{})
		r.RecordServed(r.now, service, blocks(first))
		r.crash([]uint64{first, bad})
		Expect(r.AllowRepeat(r.now, service, blocks(first, bad))).To(BeTrue())
		Expect(r.IsProven(r.now, service, blocks(first, bad))).To(BeFalse())
		r.crash([]uint64{first, bad}, []uint64{first})
		Expect(r.AllowRepeat(r.now, service, blocks(first, bad))).To(BeFalse())
		Expect(r.AllowRepeat(r.now, service, blocks(first))).To(BeTrue())
		Expect(r.IsProven(r.now, service, blocks(first))).To(BeTrue())
	})

	It("ends a quarantine only once its requests have stopped coming", func() {
		r := newRig(poison.Config{QuarantineRetention: time.Minute})
		for range 5 {
			r.crash([]uint64{bad})
		}
		r.wait(2 * time.Second)
		for range 5 {
			r.wait(50 * time.Second)
			Expect(r.refuses(bad)).To(BeTrue())
		}
		r.wait(61 * time.Second)
		Expect(r.Quarantined()).To(BeZero())
		Expect(r.Suspects()).To(BeZero())
	})

	It("holds bounded evidence, whatever blocks callers invent", func() {
		r := newRig(poison.Config{MaxEvidence: 1000, MaxQuarantined: 10, MaxServed: 100})
		for i := range uint64(400) {
			ids := make([]uint64, 0, 300)
			for k := range uint64(300) {
				ids = append(ids, 1000*i+k)
			}
			r.crash(ids)
			r.RecordServed(r.now, service, blocks(i))
		}
		Expect(r.Suspects()).To(BeNumerically("<=", 1000))
		for i := range uint64(40) {
			for range poison.DefaultMaxCrashes {
				r.crash([]uint64{5000000 + i})
			}
			r.wait(2 * time.Second)
		}
		Expect(r.Quarantined()).To(Equal(10))
		Expect(r.refuses(5000039)).To(BeTrue())
	})
})

// BenchmarkServed measures an answer that began, without and with suspects.
func BenchmarkServed(b *testing.B) {
	for _, crashes := range []int{0, 20} {
		b.Run(fmt.Sprintf("suspects=%d", crashes), func(b *testing.B) {
			r := newRig(poison.Config{})
			for i := range uint64(crashes) {
				r.crash([]uint64{i + 5000})
			}
			for i := 0; b.Loop(); i++ {
				r.RecordServed(r.now, service, blocks(first, uint64(i%500)))
				r.Check(r.now, service, blocks(first, uint64(i%500)))
			}
		})
	}
}
