package config_test

import (
	"encoding/json"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

func applySetting(s *config.State, op, token, path, value string) cleat.ChangeResult {
	c := cleat.Change{Operation: op, Ops: []cleat.ChangeOp{{Path: path}}}
	if value != "" {
		c.Ops[0].Value = json.RawMessage(value)
	}
	return s.Apply(config.ChangeCommand{Change: c, Token: token, At: start})
}

var _ = Describe("State", func() {
	It("moves a key between workspaces in one batch, in either order", func() {
		s := newState()
		key := json.RawMessage(`{"key_hashes":["` + cleat.HashKey("k") + `"]}`)
		Expect(s.Apply(config.ChangeCommand{Token: rootHash, Change: cleat.Change{Operation: "a", Ops: []cleat.ChangeOp{
			{Path: "/teams/ring/workspaces/a", Value: key},
		}}}).Accepted).To(BeTrue())
		Expect(s.Apply(config.ChangeCommand{Token: rootHash, Change: cleat.Change{Operation: "b", Ops: []cleat.ChangeOp{
			{Path: "/teams/ring/workspaces/b", Value: key},
			{Path: "/teams/ring/workspaces/a", Value: json.RawMessage(`{}`)},
		}}}).Accepted).To(BeTrue())
		Expect(applySetting(s, "c", rootHash, "/teams/ring/workspaces/a", string(key)).Code).To(Equal(cleat.ChangeInvalid))
	})

	It("sends the complete tree to a node that is too far behind", func() {
		s := newState()
		for i := range config.MaxDeletions + 2 {
			applySetting(s, fmt.Sprint("w", i), rootHash, "/fleet/limits", `{}`)
			applySetting(s, fmt.Sprint("d", i), rootHash, "/fleet/limits", "")
		}
		Expect(s.Delta(1).Complete).To(BeTrue())
		Expect(s.Delta(s.Revision() - 2).Complete).To(BeFalse())
		Expect(s.Delta(s.Revision() + 1).Complete).To(BeTrue())
	})

	It("replays the results of the last MaxOperations changes, then evicts them", func() {
		s := newState()
		for i := range config.MaxOperations {
			applySetting(s, fmt.Sprint(i), rootHash, "/fleet/limits", `{}`)
		}
		Expect(applySetting(s, "0", rootHash, "/fleet/limits", `{}`).Revision).To(Equal(cleat.Revision(1)))
		applySetting(s, "next", rootHash, "/fleet/limits", `{}`)
		Expect(applySetting(s, "0", rootHash, "/fleet/limits", `{}`).Revision).NotTo(Equal(cleat.Revision(1)))
	})

	It("lets a team read its subtree, its shares and the fleet-wide classes, but no placement", func() {
		s := newState()
		for i, path := range []string{"/teams/lots/workspaces/desk", "/fleet/shares/lots/desk", "/fleet/shares/ring/desk", "/fleet/classes/draft", "/fleet/placement/m"} {
			Expect(applySetting(s, fmt.Sprint(i), rootHash, path, `{"share":1}`).Accepted).To(BeTrue())
		}
		Expect(applySetting(s, "own", teamHash, "/teams/ring/workspaces/desk", `{}`).Accepted).To(BeTrue())
		team, _ := s.Token(teamHash)
		var paths []string
		for _, setting := range s.List(team, "/") {
			paths = append(paths, setting.Path)
		}
		Expect(paths).To(Equal([]string{"/fleet/classes/draft", "/fleet/shares/ring/desk", "/teams/ring/workspaces/desk"}))
		Expect(s.History(team, "/", 10)).To(HaveLen(3))
		Expect(s.Tokens(team)).To(HaveLen(1))
	})

	It("refuses to revoke the last token that may write everything", func() {
		s := newState()
		revoke := config.TokenCommand{Operation: "x", By: rootHash, Revoke: "root"}
		Expect(s.ApplyToken(revoke).Code).To(Equal(cleat.ChangeInvalid))
		widen := config.TokenCommand{Operation: "y", By: teamHash, Hash: cleat.HashKey("n"), Create: &config.Token{ID: "n", Subtree: "/", Write: true}}
		Expect(s.ApplyToken(widen).Code).To(Equal(cleat.ChangeForbidden))
		secondRoot := config.TokenCommand{Operation: "z", Hash: cleat.HashKey("n"), Create: &config.Token{ID: "n", Subtree: "/", Write: true}}
		Expect(s.ApplyToken(secondRoot).Code).To(Equal(cleat.ChangeUnauthorised))
	})

	It("splits a large tree and applies it only when complete", func() {
		s := newState()
		big := fmt.Sprintf(`{"path_prefix":"/%s"}`, strings.Repeat("x", 60000))
		for i := range 40 {
			Expect(applySetting(s, fmt.Sprint(i), rootHash, fmt.Sprint("/fleet/rules/r", i), big).Accepted).To(BeTrue())
		}
		v := config.NewView()
		m := s.Delta(s.Revision() + 1)
		m.Confirmed = true
		pieces := config.Split(m)
		Expect(len(pieces)).To(BeNumerically(">", 2))
		for _, piece := range pieces[:len(pieces)-1] {
			Expect(v.Apply(piece)).To(BeFalse())
			Expect(v.HasSettings()).To(BeFalse())
		}
		Expect(v.Apply(pieces[len(pieces)-1])).To(BeTrue())
		Expect(v.Snapshot().Settings).To(HaveLen(40))
	})
})
