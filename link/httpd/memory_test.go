package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/link/httpd"
)

// Processes ended by memory: nothing bounded what callers made them hold together.
var _ = Describe("The budget of a server", func() {
	const limit = 1 << 20
	var budget *httpd.Budget
	var s *testServer
	BeforeEach(func() {
		var err error
		budget, err = httpd.NewBudget(httpd.BudgetConfig{MaxBytes: limit, MaxConns: 40})
		Expect(err).NotTo(HaveOccurred())
		s = newTestServer(httpd.Config{Budget: budget}, nil)
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	post := func(path, body string) (int, string) {
		resp, err := http.Post("http://"+s.addr+path, "text/plain", io.MultiReader(strings.NewReader(body)))
		if err != nil {
			return 0, err.Error() // The connection was closed without the request being read.
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(b)
	}

	It("is given back when the requests and their connections have ended", func() {
		for range 20 {
			status, body := post("/read", strings.Repeat("x", 200<<10))
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(HaveLen(200 << 10))
		}
		http.DefaultClient.CloseIdleConnections()
		Eventually(budget.Held).WithTimeout(waitTimeout).Should(BeZero())
		Expect(budget.Evicted()).To(BeZero())
	})

	It("leaves room for a body of the greatest size, and refuses a longer one", func() {
		for name, c := range map[string]struct{ size, status int }{"greatest": {300 << 10, http.StatusOK}, "longer": {300<<10 + 1, http.StatusRequestEntityTooLarge}, "far longer": {900 << 10, http.StatusRequestEntityTooLarge}} {
			done := make(chan int, 1)
			go func() {
				status, _ := post("/read-300k", strings.Repeat("x", c.size))
				done <- status
			}()
			Eventually(done).WithTimeout(waitTimeout).Should(Receive(Equal(c.status)), name)
		}
	})

	It("ends stalled bodies with 503, and serves others", func() {
		stalled := make([]net.Conn, 20)
		for i := range stalled {
			stalled[i] = dial()
			_, err := fmt.Fprintf(stalled[i], "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 100<<10, strings.Repeat("x", 100<<10))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int64 { return budget.Evicted() + budget.Refused() }).WithTimeout(waitTimeout).Should(BeNumerically(">", 5))
		Expect(budget.Held()).To(BeNumerically("<=", limit))
		Eventually(func() int { status, _ := post("/read", "ordinary"); return status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		refused := 0
		for _, c := range stalled {
			Expect(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
			b := make([]byte, 12)
			if _, err := io.ReadFull(c, b); err == nil {
				Expect(string(b)).To(Equal("HTTP/1.1 503"))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 5))
	})

	It("closes the connection of a caller that leaves its answer unread, when it is short", func() {
		c := dial()
		_, err := io.WriteString(c, "GET /flood HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(budget.Held).WithTimeout(waitTimeout).Should(BeNumerically(">", 700<<10))
		status, _ := post("/read", strings.Repeat("x", 300<<10))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int {
			status, _ := post("/read", strings.Repeat("x", 300<<10))
			return status
		}).WithTimeout(3 * waitTimeout).Should(Equal(http.StatusOK))
	})

	It("closes connections without a request above the limit, and serves others", func() {
		for range 60 {
			dial()
		}
		Eventually(s.server.Conns).WithTimeout(waitTimeout).Should(BeNumerically("<=", 40))
		Eventually(func() error {
			resp, err := http.Get("http://" + s.addr + "/read")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}).WithTimeout(waitTimeout).Should(Succeed())
	})

	It("serves what a standard handler answers, with the whole body", func() {
		seen := make(chan string, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			seen <- string(b)
			w.WriteHeader(http.StatusAccepted)
		})
		adapted, err := httpd.New(httpd.Config{Budget: budget}, httpd.Adapt(h, 8), nil)
		Expect(err).NotTo(HaveOccurred())
		l, err := httpd.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = adapted.Serve(l) }()
		s.addr = l.Addr().String()
		status, _ := post("/", "12345678")
		Expect(status).To(Equal(http.StatusAccepted))
		Expect(<-seen).To(Equal("12345678"))
		status, _ = post("/", "123456789")
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})
})
