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
		"shorter than a block":    {"abc", 0},
		"one block and a rest":    {block + "abc", 1},
		"longer than is digested": {strings.Repeat(block, cleat.MaxPrefixDigests+2), cleat.MaxPrefixDigests},
	}
	for name, c := range cases {
		It("counts a prompt "+name, func() {
			Expect(cleat.PrefixDigests(c.prompt)).To(HaveLen(c.n))
		})
	}

	It("shares the digests of a common beginning and none after it", func() {
		a := cleat.PrefixDigests(block + block + block)
		b := cleat.PrefixDigests(block + strings.Repeat("b", cleat.PrefixBlockBytes) + block)
		Expect(a[0]).To(Equal(b[0]))
		Expect(a[1]).NotTo(Equal(b[1]))
		Expect(a[2]).NotTo(Equal(b[2]))
	})
})
