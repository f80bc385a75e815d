package config_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

var _ = Describe("Settings", func() {
	cases := map[string]struct {
		path, value string
		problem     string
	}{
		"a workspace":                    {"/teams/ring/workspaces/desk", `{"key_hashes":["` + cleat.HashKey("k") + `"]}`, ""},
		"a bad key hash":                 {"/teams/ring/workspaces/desk", `{"key_hashes":["secret"]}`, "key_hashes"},
		"a share in a workspace":         {"/teams/ring/workspaces/desk", `{"share":9}`, "unknown field"},
		"a share":                        {"/fleet/shares/ring/desk", `{"share":2}`, ""},
		"a share without a value":        {"/fleet/shares/ring/desk", `{}`, "share"},
		"a rule":                         {"/fleet/rules/pay", `{"kind":"plain","model":"desk","method":"POST"}`, ""},
		"a team's rule":                  {"/teams/ring/rules/pay", `{"kind":"plain","model":"desk"}`, ""},
		"a plain rule without a model":   {"/fleet/rules/pay", `{"kind":"plain"}`, "model"},
		"a class":                        {"/fleet/classes/draft", `{"rank":1}`, ""},
		"limits":                         {"/fleet/limits", `{"max_waiting":10}`, ""},
		"limits out of range":            {"/fleet/limits", `{"max_waiting":-1}`, "max_waiting"},
		"a placement":                    {"/fleet/placement/catalogue", `{"min":1,"max":3}`, ""},
		"a placement with max below min": {"/fleet/placement/catalogue", `{"min":3,"max":1}`, "max"},
		"a weight store":                 {"/fleet/weight_store", `{"loads_per_minute":3}`, ""},
		"an upstream":                    {"/fleet/upstreams/engine-1", `{"model":"catalogue","adapters":["show"]}`, ""},
		"an adapter without a model":     {"/fleet/upstreams/engine-1", `{"role":"prefill","adapters":["show"]}`, "need a model"},
		"two values":                     {"/fleet/limits", `{} {}`, "more than one"},
		"invalid JSON":                   {"/fleet/limits", `nonsense`, "invalid"},
		"an unknown path":                {"/fleet/nonsense", `{}`, "no setting"},
		"a path with a .. segment":       {"/teams/../workspaces/desk", `{}`, "name"},
		"a long name":                    {"/fleet/rules/" + strings.Repeat("x", 64), `{}`, "name"},
		"a relative path":                {"fleet/limits", `{}`, "start with /"},
	}
	for name, c := range cases {
		It("checks "+name, func() {
			_, err := config.Validate(c.path, json.RawMessage(c.value))
			if c.problem == "" {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(ContainSubstring(c.problem)))
			}
		})
	}

	It("decodes to the fleet that nodes serve from", func() {
		f, err := config.Decode(cleat.Snapshot{Revision: 7, Settings: []cleat.Setting{
			{Path: "/fleet/classes/draft", Value: json.RawMessage(`{"rank":3,"future":1}`)},
			{Path: "/fleet/limits", Value: json.RawMessage(`{"max_waiting":10}`)},
			{Path: "/fleet/rules/pay", Value: json.RawMessage(`{"kind":"plain","model":"desk","path_prefix":"/pay"}`)},
			{Path: "/fleet/shares/ring/desk", Value: json.RawMessage(`{"share":2}`)},
			{Path: "/teams/ring/workspaces/desk", Value: json.RawMessage(`{"key_hashes":["` + cleat.HashKey("k") + `"]}`)},
		}})
		Expect(err).NotTo(HaveOccurred())
		w, ok := f.Workspaces().ByKey("k")
		Expect(ok).To(BeTrue())
		Expect(w.ID).To(Equal(cleat.WorkspaceID("ring/desk")))
		Expect(w.Share).To(Equal(2.0))
		Expect(f.Revision()).To(Equal(cleat.Revision(7)))
		Expect(f.ClassByName("draft").Rank).To(Equal(3))
		Expect(f.Limits().MaxWaiting).To(Equal(10))
		Expect(f.Limits().MaxBodyBytes).NotTo(BeZero())
		_, ok = f.Rules().Match("ring", "POST", "/pay/1", "")
		Expect(ok).To(BeTrue())
	})
})
