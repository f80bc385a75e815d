package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/link/httpd"
)

// RECOVER on qila-ops-grown: an entry short of processor time accepted hundreds of callers
// a second, and all of them had given up in its queue.
var _ = Describe("A server that is busy for seconds", func() {
	const (
		interval = 2500 * time.Microsecond // Between callers: five times as many as it accepts.
		patience = 300 * time.Millisecond
		warmUp   = time.Second // The queue is full by then.
		span     = 3 * time.Second
	)

	It("answers callers that still wait while a crowd keeps trying", func() {
		s, err := httpd.New(httpd.Config{Busy: func() bool { return true }}, func(w *httpd.Response, _ *http.Request) {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok") // The caller checks it.
		}, log.New(io.Discard))
		Expect(err).NotTo(HaveOccurred())
		l, err := httpd.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Serve(l) }() // Ends with the listener.
		defer func() { _ = l.Close() }()

		var tried, answered, served atomic.Int64
		var wg sync.WaitGroup
		begin := time.Now()
		for tick := time.NewTicker(interval); time.Since(begin) < span; <-tick.C {
			counts := time.Since(begin) > warmUp
			wg.Go(func() {
				status := call(l.Addr().String(), patience)
				if !counts {
					return
				}
				tried.Add(1)
				switch status {
				case http.StatusOK:
					served.Add(1)
					answered.Add(1)
				case http.StatusServiceUnavailable:
					answered.Add(1)
				}
			})
		}
		wg.Wait()
		AddReportEntry("callers", fmt.Sprintf("%d tried, %d answered, %d served", tried.Load(), answered.Load(), served.Load()))
		Expect(served.Load()).To(BeNumerically(">", 0), "of %d callers", tried.Load())
		Expect(2*answered.Load()).To(BeNumerically(">", tried.Load()), "half of %d callers", tried.Load())
	})
})

// call sends a request on a new connection and returns the status of the answer, or zero
// without one in time.
func call(address string, patience time.Duration) int {
	deadline := time.Now().Add(patience)
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	if c.SetDeadline(deadline) != nil {
		return 0
	}
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // The status is all that counts.
	return resp.StatusCode
}
