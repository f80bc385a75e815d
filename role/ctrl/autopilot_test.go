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
		tolerated  int                 // Members that may be lost at once; zero when not stated.
		action     cleat.ReplicaAction // Empty when nothing is to be done.
		instance   cleat.InstanceID
	}{
		"all members are healthy":                                          {status([]string{"b", "c"}, nil, nil), nil, 0, "", ""},
		"one of three is silent":                                           {status([]string{"b", "c"}, nil, []string{"c"}), nil, 0, "", ""},
		"one of three came back without its data":                          {status([]string{"b", "c"}, nil, []string{"c"}), []quorum.JoinCandidate{candidate("c", "new", "")}, 0, cleat.ReplicaReplace, "c"},
		"a new instance announces itself":                                  {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "")}, 0, cleat.ReplicaAdd, "d"},
		"a member announces itself again":                                  {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("c", "rc", "x")}, 0, "", ""},
		"an instance of another fleet announces itself":                    {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "y")}, 0, "", ""},
		"a removed instance announces itself again":                        {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("d", "rd", "x")}, 0, cleat.ReplicaAdd, "d"},
		"one of four is silent":                                            {status([]string{"b", "c", "d"}, nil, []string{"c"}), nil, 0, cleat.ReplicaRemove, "c"},
		"one of five is silent":                                            {status([]string{"b", "c", "d", "e"}, nil, []string{"c"}), nil, 0, "", ""},
		"a learner has no vote yet":                                        {status([]string{"b", "c"}, []string{"d"}, nil), nil, 0, cleat.ReplicaReplace, "d"},
		"an instance claims the id of a voter that still answers":          {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("c", "new", "")}, 0, "", ""},
		"an instance claims the leader's id":                               {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("a", "new", "")}, 0, "", ""},
		"an instance claims a member's id, and a new one announces itself": {status([]string{"b", "c"}, nil, nil), []quorum.JoinCandidate{candidate("c", "new", ""), candidate("d", "rd", "")}, 0, cleat.ReplicaAdd, "d"},
		"two of seven are silent where two losses are tolerated":           {status([]string{"b", "c", "d", "e", "f", "g"}, nil, []string{"b", "c"}), nil, 2, cleat.ReplicaRemove, "b"},
		"two of seven are silent where three losses are tolerated":         {status([]string{"b", "c", "d", "e", "f", "g"}, nil, []string{"b", "c"}), nil, 3, "", ""},
		"two of five are silent where two losses are tolerated":            {status([]string{"b", "c", "d", "e"}, nil, []string{"b", "c"}), nil, 2, "", ""},
		"one of five is silent where one loss is tolerated":                {status([]string{"b", "c", "d", "e"}, nil, []string{"c"}), nil, 1, cleat.ReplicaRemove, "c"},
		"a learner came back without its data":                             {status([]string{"b", "c"}, []string{"d"}, []string{"d"}), []quorum.JoinCandidate{candidate("d", "new", "")}, 0, cleat.ReplicaRemove, "d"},
		"a learner is silent":                                              {status([]string{"b", "c"}, []string{"d"}, []string{"d"}), nil, 0, cleat.ReplicaRemove, "d"},
	}
	for name, c := range cases {
		It("plans the next change when "+name, func() {
			c.status.JoinCandidates = c.candidates
			action, instance := ctrl.PlanMembers(c.status, lostAfter, c.tolerated)
			Expect(action).To(Equal(c.action))
			Expect(instance).To(Equal(c.instance))
		})
	}
})
