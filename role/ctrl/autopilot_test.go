package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/state/quorum"
)

var _ = Describe("PlanMembers", func() {
	const lostAfter = 2 * time.Second

	// status is the view that a leader "a" has of voters and learners; those listed in
	// silent have not answered for lostAfter.
	status := func(voters, learners, silent []string) *quorum.Status {
		s := &quorum.Status{Instance: "a", Cluster: "x", Members: []quorum.Member{{Instance: "a", Replica: "ra"}}}
		add := func(id string, learner bool) {
			m := quorum.Member{Instance: cleat.InstanceID(id), Replica: quorum.ReplicaID("r" + id), Learner: learner}
			f := quorum.Follower{Member: m}
			for _, other := range silent {
				if other == id {
					f.SinceContact = lostAfter
				}
			}
			s.Members = append(s.Members, m)
			s.Followers = append(s.Followers, f)
		}
		for _, id := range voters {
			add(id, false)
		}
		for _, id := range learners {
			add(id, true)
		}
		return s
	}
	candidate := func(id, replica, cluster string) quorum.JoinCandidate {
		return quorum.JoinCandidate{Instance: cleat.InstanceID(id), Replica: quorum.ReplicaID(replica), Cluster: quorum.ClusterID(cluster)}
	}

	cases := map[string]struct {
		status     *quorum.Status
		candidates []quorum.JoinCandidate
		action     cleat.ReplicaAction // Empty when nothing is to be done.
		instance   cleat.InstanceID
	}{
		"all members are healthy":                       {status([]string{"b", "c"}, nil, nil), nil, "", ""},
		"one of three is silent":                        {status([]string{"b", "c"}, nil, []string{"c"}), nil, "", ""},
		"one of three came back without its data":       {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("c", "new", "")}, cleat.ReplicaReplace, "c"},
		"a new instance announces itself":               {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "")}, cleat.ReplicaAdd, "d"},
		"a member announces itself again":               {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("c", "rc", "x")}, "", ""},
		"an instance of another fleet announces itself": {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "y")}, "", ""},
		"a removed instance announces itself again":     {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "x")}, cleat.ReplicaAdd, "d"},
		"one of four is silent":                         {status([]string{"b", "c", "d"}, nil, []string{"c"}), nil, cleat.ReplicaRemove, "c"},
		"one of five is silent":                         {status([]string{"b", "c", "d", "e"}, nil, []string{"c"}), nil, "", ""},
		"a learner has no vote yet":                     {status([]string{"b", "c"}, []string{"d"}, nil), nil, cleat.ReplicaReplace, "d"},
		"a learner is silent":                           {status([]string{"b", "c"}, []string{"d"}, []string{"d"}), nil, cleat.ReplicaRemove, "d"},
	}
	for name, c := range cases {
		It("plans the next change when "+name, func() {
			c.status.JoinCandidates = c.candidates
			action, instance := ctrl.PlanMembers(c.status, lostAfter)
			Expect(action).To(Equal(c.action))
			Expect(instance).To(Equal(c.instance))
		})
	}
})
