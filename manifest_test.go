package cleat_test

import (
	"strings"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
)

var _ = Describe("ManifestUpdate", func() {
	cases := map[string][2]string{
		"a change in the middle": {"one two three", "one 2 three"},
		"a longer body":          {"aaa", "aaaa"},
		"a shorter body":         {"aaaa", "aaa"},
		"nothing in common":      {"abc", "xyz"},
		"an empty body":          {"abc", ""},
		"the same body":          {"abc", "abc"},
	}
	for name, c := range cases {
		It("turns one body into another: "+name, func() {
			u, err := cleat.DiffManifest(1, []byte(c[0]), 2, []byte(c[1]))
			Expect(err).NotTo(HaveOccurred())
			body, err := u.Apply(1, []byte(c[0]))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(c[1]))
		})
	}

	It("turns any body into any other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 0, 40, -1)
			old, next := text.Draw(t, "old"), text.Draw(t, "next")
			u, err := cleat.DiffManifest(3, []byte(old), 4, []byte(next))
			if err != nil {
				t.Fatal(err)
			}
			body, err := u.Apply(3, []byte(old))
			if err != nil || string(body) != next {
				t.Fatalf("%q from %q: %v", body, old, err)
			}
		})
	})

	It("is small for a small change to a large body", func() {
		large := strings.Repeat(`{"name":"r","host":"h"},`, 5000)
		u, err := cleat.DiffManifest(1, []byte(large), 2, []byte(large[:60000]+"x"+large[60000:]))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(u.Packed)).To(BeNumerically("<", 100))
	})

	It("applies only to the version and body it was made from", func() {
		u, err := cleat.DiffManifest(1, []byte("abc"), 2, []byte("abd"))
		Expect(err).NotTo(HaveOccurred())
		_, err = u.Apply(3, []byte("abc"))
		Expect(trace.IsCompareFailed(err)).To(BeTrue())
		_, err = u.Apply(1, []byte("xyc"))
		Expect(trace.IsCompareFailed(err)).To(BeTrue())
		_, err = u.Apply(1, []byte("a"))
		Expect(trace.IsCompareFailed(err)).To(BeTrue())
	})
})
