package telem_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/role/telem"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu   sync.Mutex
	seen bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.Write(b)
}

var _ = Describe("LineWriter", func() {
	It("never blocks, drops what can't be kept and counts it", func() {
		out := &stuck{}
		out.mu.Lock()
		w := telem.NewLineWriter(out)
		const lines = telem.MaxPendingLines + 100
		for range lines {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">=", 99))
		out.mu.Unlock()
		w.Flush(5 * time.Second)
		Eventually(func() int {
			out.mu.Lock()
			defer out.mu.Unlock()
			return strings.Count(out.seen.String(), "\n") + int(w.Dropped())
		}).Should(Equal(lines))
	})
})

var _ = Describe("Decisions", func() {
	It("bounds each kind of line and tells how many were left out", func() {
		var out bytes.Buffer
		d := telem.NewDecisions(log.New(&out))
		now := time.Unix(1e9, 0)
		for range 10 * telem.LineBurst {
			d.Log(now, "refused", "request", "r1")
		}
		d.Log(now, "answered", "request", "r2")
		Expect(strings.Count(out.String(), "refused")).To(Equal(telem.LineBurst))
		Expect(strings.Count(out.String(), "answered")).To(Equal(1))
		d.Log(now.Add(time.Second), "refused", "request", "r3")
		Expect(out.String()).To(ContainSubstring("left_out=540"))
	})
})
