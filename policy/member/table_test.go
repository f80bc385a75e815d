package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

var start = time.Unix(1000, 0)

func config() member.Config {
	var cfg member.Config
	cfg.Defaults()
	Expect(cfg.Validate()).To(Succeed())
	return cfg
}

func heartbeat(id string, incarnation cleat.Incarnation) *cleat.Register {
	return &cleat.Register{Peer: cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: incarnation, Role: cleat.RoleAgent}}
}

var _ = Describe("Table", func() {
	settled := start.Add(member.DefaultSettleTime)

	It("suspects an unresponsive instance before removing it", func() {
		t := member.New(config(), start)
		t.Register(start, heartbeat("a", 1))
		t.Tick(start.Add(member.DefaultSuspectAfter))
		m, ok := t.Member("a")
		Expect(ok).To(BeTrue())
		Expect(m.Suspected).To(BeTrue())
		t.Register(start.Add(member.DefaultSuspectAfter), heartbeat("a", 1))
		m, _ = t.Member("a")
		Expect(m.Suspected).To(BeFalse())
		t.Tick(start.Add(member.DefaultSuspectAfter + member.DefaultDeadAfter))
		_, ok = t.Member("a")
		Expect(ok).To(BeFalse())
	})

	It("rejects an older incarnation of an instance", func() {
		t := member.New(config(), start)
		Expect(t.Register(start, heartbeat("a", 2))).To(BeTrue())
		Expect(t.Register(start, heartbeat("a", 1))).To(BeFalse())
	})

	It("sends only changes, and nothing for heartbeats without changes", func() {
		t := member.New(config(), start)
		for i := range 350 {
			t.Register(start, heartbeat(fmt.Sprint("n", i), 1))
		}
		var r member.Receiver
		m := t.Merged(settled, &r)
		Expect(m.Complete).To(BeTrue())
		Expect(m.Members).To(HaveLen(350))
		for i := range 350 {
			t.Register(start.Add(time.Second), heartbeat(fmt.Sprint("n", i), 1))
		}
		Expect(t.Merged(settled, &r)).To(BeNil())
		t.Register(start.Add(time.Second), heartbeat("n7", 2))
		m = t.Merged(settled, &r)
		Expect(m.Complete).To(BeFalse())
		Expect(m.Members).To(HaveLen(1))
	})

	It("does not suspect an instance that moved to another control instance", func() {
		t := member.New(config(), start)
		t.Register(start, heartbeat("a", 1))
		t.MarkDetached("a", 1)
		other := member.New(config(), start)
		other.Register(start.Add(time.Second), heartbeat("a", 1))
		m, _ := other.Direct(0)
		t.MergePeerView(start.Add(time.Second), "c2", m)
		t.Tick(start.Add(member.DefaultDeadAfter))
		got, ok := t.Member("a")
		Expect(ok).To(BeTrue())
		Expect(got.Suspected).To(BeFalse())
	})

	It("keeps the members of an unreachable control instance for ControlPeerRetention", func() {
		t := member.New(config(), start)
		t.MergePeerView(start, "c2", &cleat.Members{Complete: true, Members: []cleat.Member{{Peer: heartbeat("a", 1).Peer}}})
		t.MarkControlPeerDown(start, "c2")
		t.Tick(start.Add(member.DefaultControlPeerRetention - 1))
		Expect(t.Members()).To(HaveLen(1))
		t.Tick(start.Add(member.DefaultControlPeerRetention))
		Expect(t.Members()).To(BeEmpty())
	})

	It("reports no departures until it has settled after a restart", func() {
		v := member.NewView()
		v.Apply(&cleat.Members{Complete: true, Members: []cleat.Member{{Peer: heartbeat("a", 1).Peer}, {Peer: heartbeat("b", 1).Peer}}})
		t := member.New(config(), start)
		t.Register(start, heartbeat("a", 1))
		var r member.Receiver
		v.Apply(t.Merged(start, &r))
		Expect(v.List()).To(HaveLen(2))
		Expect(t.Merged(start, &r)).To(BeNil())
		v.Apply(t.Merged(settled, &r))
		Expect(v.List()).To(HaveLen(1))
	})

	It("sends the complete membership to a receiver that lags too far", func() {
		t := member.New(config(), start)
		t.Register(start, heartbeat("stays", 1))
		_, c := t.Direct(0)
		for i := range 1100 {
			now := start.Add(time.Duration(i) * member.DefaultDeadAfter)
			t.Register(now, heartbeat("stays", 1))
			t.Register(now, heartbeat(fmt.Sprint("n", i), 1))
			t.Tick(now)
		}
		m, _ := t.Direct(c)
		Expect(m.Complete).To(BeTrue())
	})

	It("keeps the fields that a heartbeat omits", func() {
		t := member.New(config(), start)
		full := heartbeat("a", 1)
		full.Upstreams = []cleat.HostedUpstream{{Upstream: "u"}}
		full.Status = []cleat.WorkspaceStatus{{Workspace: "x/busy", Waiting: 1}, {Workspace: "x/idle"}, {Workspace: "x/y"}}
		t.Register(start, full)
		t.Register(start.Add(time.Second), heartbeat("a", 1))
		Expect(t.Status(start, "")[0].Register.Status).To(BeEmpty())
		s := t.Status(start.Add(2*time.Second), "x/y")
		Expect(s).To(HaveLen(1))
		Expect(s[0].Register.Status).To(HaveLen(2))
		Expect(s[0].SinceHeartbeat).To(Equal(time.Second))
		id, ok := t.HostOf("u")
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(cleat.InstanceID("a")))
	})
})
