package cleat_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
)

var _ = Describe("PrefixDigests", func() {
	block := strings.Repeat("a", cleat.PrefixBlockBytes)

	cases := map[string]struct {
		prompt string
		n      int
	}{
		"returns no digest for less than a block":  {"abc", 0},
		"ignores an incomplete last block":         {block + "abc", 1},
		"returns at most MaxPrefixDigests digests": {strings.Repeat(block, cleat.MaxPrefixDigests+2), cleat.MaxPrefixDigests},
	}
	for name, c := range cases {
		It(name, func() {
			Expect(cleat.PrefixDigests(c.prompt)).To(HaveLen(c.n))
		})
	}

	It("returns equal digests for a common prefix and different ones after it", func() {
		a := cleat.PrefixDigests(block + block + block)
		b := cleat.PrefixDigests(block + strings.Repeat("b", cleat.PrefixBlockBytes) + block)
		Expect(a[0]).To(Equal(b[0]))
		Expect(a[1]).NotTo(Equal(b[1]))
		Expect(a[2]).NotTo(Equal(b[2]))
	})
})
