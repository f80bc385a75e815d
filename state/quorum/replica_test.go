package quorum_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/quorum"
	"marigoldcleat.example/cleat/state/store"
)

// entries returns entries of kind EntryEmpty of one term, from index first to last.
func entries(first, last, term uint64) []quorum.Entry {
	var list []quorum.Entry
	for i := first; i <= last; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryEmpty})
	}
	return list
}

var _ = Describe("Replica", func() {
	var (
		now     time.Time
		replica *quorum.Replica
		disk    *store.Store
	)

	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		s, _, err := store.Open(store.Config{}, fdisk.New(rand.New(rand.NewSource(1))))
		Expect(err).NotTo(HaveOccurred())
		disk = s
		restored := quorum.Restored{Identity: quorum.Identity{Instance: "c1", Replica: "r1"}}
		replica, err = quorum.NewReplica(quorum.Config{Self: "c1"}, now, restored, nil, &concatMachine{},
			quorum.Nonces{Session: 1, Cluster: "log"}, rand.New(rand.NewSource(1)))
		Expect(err).NotTo(HaveOccurred())
	})

	receive := func(m quorum.Message) {
		GinkgoHelper()
		m.Cluster = "log"
		m.To = "r1"
		m.Instance = "c2"
		data, err := quorum.Envelope{Message: &m}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(replica.Receive(now, data)).To(Succeed())
	}

	// sync writes the next batch and returns the messages that it released.
	sync := func() []quorum.Envelope {
		GinkgoHelper()
		b := replica.NextBatch()
		Expect(b).NotTo(BeNil())
		Expect(b.Write(disk)).To(Succeed())
		replica.BatchSynced(now, b)
		return replica.TakeOutbox()
	}

	// An acknowledgement that waits for a sync must be dropped if a newer leader has
	// replaced the entries by then. Found with the randomised test, seed 2552671.
	It("does not acknowledge entries that a newer leader replaced before they were synced", func() {
		receive(quorum.Message{Kind: quorum.MsgAppend, From: "r2", Term: 1, Entries: entries(1, 6, 1)})
		receive(quorum.Message{Kind: quorum.MsgAppend, From: "r3", Term: 2, Index: 4, LogTerm: 1, Entries: entries(5, 5, 2)})
		Expect(replica.TakeOutbox()).To(BeEmpty())
		out := sync()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.To).To(Equal(quorum.ReplicaID("r3")))
		Expect(out[0].Message.Index).To(Equal(uint64(5)))
	})

	It("sends its vote only after it is synced, and votes once per term", func() {
		receive(quorum.Message{Kind: quorum.MsgVote, From: "r2", Term: 3})
		Expect(replica.TakeOutbox()).To(BeEmpty())
		out := sync()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.Reject).To(BeFalse())
		receive(quorum.Message{Kind: quorum.MsgVote, From: "r3", Term: 3})
		out = replica.TakeOutbox()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.Reject).To(BeTrue())
	})

	It("syncs a vote in a term that it already knows", func() {
		receive(quorum.Message{Kind: quorum.MsgAppend, From: "r2", Term: 3, Entries: entries(1, 1, 3)})
		sync()
		receive(quorum.Message{Kind: quorum.MsgVote, From: "r3", Term: 4, Transfer: true})
		out := sync()
		Expect(out[0].Message.Reject).To(BeTrue(), "the replica's own log is more up to date")
		receive(quorum.Message{Kind: quorum.MsgVote, From: "r2", Term: 4, Index: 1, LogTerm: 3})
		Expect(replica.TakeOutbox()).To(BeEmpty())
		out = sync()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.Reject).To(BeFalse())
	})

	// becomeLeader makes the replica the leader of term 2, with entries 1 and 2 of term 1.
	becomeLeader := func() {
		GinkgoHelper()
		members := []quorum.Member{{Instance: "c1", Replica: "r1"}, {Instance: "c2", Replica: "r2"}, {Instance: "c3", Replica: "r3"}}
		first := quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: members}
		receive(quorum.Message{Kind: quorum.MsgAppend, From: "r2", Term: 1, Entries: append([]quorum.Entry{first}, entries(2, 2, 1)...)})
		sync()
		now = now.Add(time.Minute)
		replica.Tick(now)
		receive(quorum.Message{Kind: quorum.MsgPreVoteReply, From: "r3", Term: 2})
		sync()
		receive(quorum.Message{Kind: quorum.MsgVoteReply, From: "r3", Term: 2})
		sync()
		Expect(replica.Status(now).Role).To(Equal(quorum.RoleLeader))
	}

	It("confirms a read only by a heartbeat round that started after it", func() {
		becomeLeader()
		receive(quorum.Message{Kind: quorum.MsgAppendReply, From: "r3", Term: 2, Index: 3})
		done := false
		replica.ReadBarrier(now, func(err error) { done = err == nil })
		receive(quorum.Message{Kind: quorum.MsgAppendReply, From: "r3", Term: 2, Index: 3, Round: 1})
		Expect(done).To(BeFalse())
		receive(quorum.Message{Kind: quorum.MsgAppendReply, From: "r3", Term: 2, Index: 3, Round: 2})
		Expect(done).To(BeTrue())
	})

	It("commits an entry of an older term only together with one of the current term", func() {
		becomeLeader()
		receive(quorum.Message{Kind: quorum.MsgAppendReply, From: "r3", Term: 2, Index: 2})
		Expect(replica.Status(now).Commit).To(BeZero())
		receive(quorum.Message{Kind: quorum.MsgAppendReply, From: "r3", Term: 2, Index: 3})
		Expect(replica.Status(now).Commit).To(Equal(uint64(3)))
	})

	// A duplicate of an accepted proposal may arrive after its leader has stepped
	// down; refusing it would be wrong. Found with the randomised test, seed 1.
	It("does not refuse a proposal that an earlier copy may have put into the log", func() {
		receive(quorum.Message{Kind: quorum.MsgAppend, From: "r2", Term: 4})
		sync()
		receive(quorum.Message{Kind: quorum.MsgPropose, From: "r3", Term: 3, Session: 9, ID: 1})
		out := replica.TakeOutbox()
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.Kind).To(Equal(quorum.MsgProposeReply))
		receive(quorum.Message{Kind: quorum.MsgPropose, From: "r3", Term: 3, Session: 9, ID: 1})
		Expect(replica.TakeOutbox()).To(BeEmpty())
	})

	It("ignores messages to a replica identity whose data was lost", func() {
		m := quorum.Message{Kind: quorum.MsgVote, Cluster: "log", From: "r2", Instance: "c2", To: "r0", Term: 9}
		data, err := quorum.Envelope{Message: &m}.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(replica.Receive(now, data)).To(Succeed())
		Expect(replica.NextBatch()).To(BeNil())
		Expect(replica.TakeOutbox()).To(BeEmpty())
	})
})
