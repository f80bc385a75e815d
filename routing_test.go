package cleat_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
)

var _ = Describe("RouteTable", func() {
	table := func(version uint64, keys map[cleat.WorkspaceID][]string, previous *cleat.RouteTable) *cleat.RouteTable {
		t := &cleat.RouteTable{Version: version}
		for w, list := range keys {
			t.Workspaces = append(t.Workspaces, cleat.WorkspaceKeys{Name: w, Keys: list})
		}
		t.Index()
		t.RecordRevoked(previous)
		return t
	}

	It("remembers who had a key, until it is in use again", func() {
		first := table(1, map[cleat.WorkspaceID][]string{"a": {"k1", "k2"}, "b": {"k3"}}, nil)
		second := table(2, map[cleat.WorkspaceID][]string{"a": nil, "b": {"k3"}}, first)
		third := table(4, map[cleat.WorkspaceID][]string{"a": {"k2"}}, second)
		k, ok := third.RevokedKey("k1")
		Expect(ok).To(BeTrue())
		Expect(k).To(Equal(cleat.RevokedKey{Workspace: "a", Version: 2}))
		k, ok = third.RevokedKey("k3")
		Expect(ok).To(BeTrue())
		Expect(k).To(Equal(cleat.RevokedKey{Workspace: "b", Version: 4}))
		_, ok = third.RevokedKey("k2")
		Expect(ok).To(BeFalse())
	})
})
