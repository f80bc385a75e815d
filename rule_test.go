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
		"matches the request's model":     {"desk", "POST", "/v1/chat/completions", "catalogue", "drafts"},
		"skips a rule for another model":  {"desk", "POST", "/v1/chat/completions", "chat", ""},
		"matches the method in any case":  {"desk", "post", "/pay/1", "", "pay"},
		"skips a rule for another method": {"desk", "GET", "/pay/1", "", ""},
		"tries a team's own rule first":   {"ring", "POST", "/pay/1", "", "own"},
		"skips a rule of another team":    {"desk", "PUT", "/pay/1", "", ""},
	}
	for name, c := range cases {
		It(name, func() {
			r, ok := rules.Match(c.team, c.method, c.path, c.model)
			Expect(ok).To(Equal(c.rule != ""))
			Expect(r.Name).To(Equal(c.rule))
		})
	}
})
