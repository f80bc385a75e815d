package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// ORDER on lade-auctions: streams continued at upstreams of another software version.
var _ = Describe("Planner with upstreams of two versions", func() {
	newVersions := func(versions ...string) *rig {
		r := newRig(len(versions), 0, 0)
		for i, v := range versions {
			r.records[i].Version = v
		}
		r.SetUpstreams(r.records)
		return r
	}
	resumption := func(r *rig, version string) *place.Job {
		j := r.prompt("w", 1, 500, 100, 50)
		j.Version = version
		return j
	}

	It("resumes streams only at their version, and spreads new ones over all", func() {
		r := newVersions("v1", "v2", "v1", "v2")
		used := make(map[cleat.UpstreamID]bool)
		for i := range 40 {
			v := r.submit(resumption(r, []string{"v1", "v2"}[i%2]))
			Expect(v.Upstream.Version).To(Equal(v.Job.Version))
			used[v.Upstream.Upstream] = true
			r.now = r.now.Add(20 * time.Millisecond)
		}
		for i := range 20 {
			used[r.submit(r.prompt("w", uint64(i), 500, 100, 50)).Upstream.Upstream] = true
		}
		Expect(used).To(HaveLen(4))
	})

	It("refuses at once to resume a stream whose version no ready upstream has, also one that waits", func() {
		r := newVersions("v1", "v2")
		v := r.submit(resumption(r, "v3"))
		Expect(v.Placed()).To(BeFalse())
		Expect(v.Reason).To(Equal(place.ReasonNoVersion))
		Expect(v.RetryAfter).To(BeNumerically(">", 0))

		r.records[0].Slots = 1
		r.SetServices([]cleat.Service{{Name: modelService, Engine: &cleat.ModelEngine{Slots: 1, MemoryTokens: 400000, EventTokens: 7}}}, 0)
		r.submit(resumption(r, "v1"))
		_, decided := r.Submit(r.now, resumption(r, "v1"))
		Expect(decided).To(BeFalse())
		r.records[0].Phase = cleat.UpstreamLeaving
		r.SetUpstreams(r.records)
		verdicts := r.Dispatch(r.now)
		Expect(verdicts).To(HaveLen(1))
		Expect(verdicts[0].Reason).To(Equal(place.ReasonNoVersion))
	})

	It("never matches an upstream that states no version", func() {
		r := newVersions("", "")
		Expect(r.submit(resumption(r, "v1")).Placed()).To(BeFalse())
		Expect(r.submit(r.prompt("w", 1, 500, 100, 50)).Placed()).To(BeTrue())
	})

	It("resumes streams of a workspace that has used its share", func() {
		r := newVersions("v1", "v1")
		r.SetServices([]cleat.Service{{Name: modelService, Engine: &cleat.ModelEngine{Slots: 64, MemoryTokens: 4000000, EventTokens: 7}}}, 100)
		refused := 0
		for range 100 {
			if v, decided := r.Submit(r.now, r.prompt("w", 1, 2000, 400, 50)); decided && !v.Placed() && v.Reason == place.ReasonOverShare {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		r.now = r.now.Add(time.Second)
		v, decided := r.Submit(r.now, resumption(r, "v1"))
		Expect(!decided || v.Reason != place.ReasonOverShare).To(BeTrue())
	})
})
