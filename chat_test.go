package cleat_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
)

var _ = Describe("ParseChat", func() {
	cases := map[string]struct {
		body   string
		fails  bool
		prompt string
		limit  uint64
	}{
		"reads content that is a string":                {`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`, false, "user\nhi\n", 5},
		"keeps a list of content parts as JSON":         {`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`, false, "user\n[{\"type\":\"text\"}]\n", 0},
		"prefers max_completion_tokens over max_tokens": {`{"model":"m","messages":[{"role":"u","content":""}],"max_tokens":5,"max_completion_tokens":7}`, false, "u\n\n", 7},
		"rejects a body without a model":                {`{"messages":[{"role":"user","content":"hi"}]}`, true, "", 0},
		"rejects a body without messages":               {`{"model":"m"}`, true, "", 0},
		"rejects a body that isn't JSON":                {`{"model":`, true, "", 0},
		"rejects a negative token limit":                {`{"model":"m","messages":[{}],"max_tokens":-1}`, true, "", 0},
		"rejects a model that isn't a string":           {`{"model":7,"messages":[{}]}`, true, "", 0},
	}
	for name, c := range cases {
		It(name, func() {
			r, err := cleat.ParseChat([]byte(c.body))
			Expect(err != nil).To(Equal(c.fails))
			if err != nil {
				return
			}
			Expect(r.Prompt()).To(Equal(c.prompt))
			Expect(r.TokenLimit()).To(Equal(c.limit))
		})
	}
})
