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

// blockedWriter is a writer that blocks while a test holds its mutex.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

var _ = Describe("LineWriter", func() {
	It("never blocks, and drops and counts lines beyond its queue", func() {
		out := &blockedWriter{}
		out.mu.Lock()
		w := telem.NewLineWriter(out)
		const lines = telem.MaxPendingLines + 100
		for range lines {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		// The blocked goroutine holds at most one line, so at least 99 of the 100 extra lines are dropped.
		Expect(w.Dropped()).To(BeNumerically(">=", 99))
		out.mu.Unlock()
		w.Flush(5 * time.Second)
		Eventually(func() int {
			out.mu.Lock()
			defer out.mu.Unlock()
			return strings.Count(out.written.String(), "\n") + int(w.Dropped())
		}).Should(Equal(lines))
	})
})

var _ = Describe("LineWriter.Flush", func() {
	It("waits for the line that is being written", func() {
		out := &blockedWriter{}
		out.mu.Lock()
		w := telem.NewLineWriter(out)
		_, err := w.Write([]byte("last\n"))
		Expect(err).NotTo(HaveOccurred())
		flushed := make(chan struct{})
		time.Sleep(20 * time.Millisecond) // The writer takes the line from the queue.
		go func() {
			w.Flush(5 * time.Second)
			close(flushed)
		}()
		Consistently(flushed, "50ms").ShouldNot(BeClosed())
		out.mu.Unlock()
		Eventually(flushed).Should(BeClosed())
		out.mu.Lock()
		defer out.mu.Unlock()
		Expect(out.written.String()).To(Equal("last\n"))
	})
})

var _ = Describe("DecisionLog", func() {
	It("limits the rate of each kind of line and logs how many were suppressed", func() {
		var out bytes.Buffer
		d := telem.NewDecisionLog(log.New(&out))
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
