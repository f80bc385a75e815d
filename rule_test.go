package cleat_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
)

var _ = Describe("Rules", func() {
	rules := cleat.NewRules([]cleat.Rule{
		{Name: "drafts", Order: 1, PathPrefix: "/v1/", RequestModel: "catalogue"},
		{Name: "pay", Order: 2, Method: "POST", PathPrefix: "/pay"},
		{Name: "own", Order: 9, Team: "ring", PathPrefix: "/pay"},
	})

	cases := map[string]struct {
		team, method, path, model string
		rule                      string
	}{
		"by model":                       {"desk", "POST", "/v1/chat/completions", "catalogue", "drafts"},
		"other model":                    {"desk", "POST", "/v1/chat/completions", "chat", ""},
		"by method":                      {"desk", "post", "/pay/1", "", "pay"},
		"other method":                   {"desk", "GET", "/pay/1", "", ""},
		"a team's own rule goes first":   {"ring", "POST", "/pay/1", "", "own"},
		"not the rule of another's team": {"desk", "PUT", "/pay/1", "", ""},
	}
	for name, c := range cases {
		It("matches "+name, func() {
			r, ok := rules.Match(c.team, c.method, c.path, c.model)
			Expect(ok).To(Equal(c.rule != ""))
			Expect(r.Name).To(Equal(c.rule))
		})
	}
})
