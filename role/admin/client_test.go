package admin_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// newServer returns a server that answers every call with a status and a body.
func newServer(status int, body string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
}

var _ = Describe("Client", func() {
	change := cleat.Change{Operation: "op"}

	cases := map[string]struct {
		status int
		body   string
		code   admin.Code
	}{
		"a refusal without a retry":                  {http.StatusConflict, `{"code":"refused","result":{"accepted":false}}`, admin.CodeRefused},
		"no quorum as not accepted":                  {http.StatusServiceUnavailable, `{"code":"not_accepted"}`, admin.CodeNotAccepted},
		"an unknown outcome":                         {http.StatusGatewayTimeout, `{"code":"fate_unknown"}`, admin.CodeOutcomeUnknown},
		"a malformed response as an unknown outcome": {http.StatusBadGateway, `oops`, admin.CodeOutcomeUnknown},
	}
	for name, c := range cases {
		It("reports "+name, func() {
			s := newServer(c.status, c.body)
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := admin.NewClient([]string{s.URL}, "t").Change(ctx, change)
			var apiErr *admin.Error
			Expect(errors.As(err, &apiErr)).To(BeTrue())
			Expect(apiErr.Problem.Code).To(Equal(c.code))
		})
	}

	It("gives up on a response whose header has no end", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		written := make(chan int, 100)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				n := 0
				for b := []byte("HTTP/1.1 200 OK\r\n"); err == nil && n < 64<<20; b = bytes.Repeat([]byte("X: y\r\n"), 1000) {
					var m int
					m, err = c.Write(b)
					n += m
				}
				_ = c.Close()
				written <- n
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var out struct{}
		Expect(admin.NewClient([]string{"http://" + l.Addr().String()}, "t").Get(ctx, "/x", nil, &out)).NotTo(Succeed())
		var n int
		Eventually(written, 5*time.Second).Should(Receive(&n))
		Expect(n).To(BeNumerically("<", 9<<20)) // The limit and the buffers of the sockets.
	})

	It("fails over to the next instance when one is down", func() {
		closed := newServer(http.StatusOK, "")
		closed.Close()
		s := newServer(http.StatusOK, `{"accepted":true,"revision":7}`)
		defer s.Close()
		r, err := admin.NewClient([]string{closed.URL, s.URL}, "t").Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Revision).To(Equal(cleat.Revision(7)))
	})

	It("reports not accepted when no instance can be reached", func() {
		closed := newServer(http.StatusOK, "")
		closed.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := admin.NewClient([]string{closed.URL}, "t").Change(ctx, change)
		var apiErr *admin.Error
		Expect(errors.As(err, &apiErr)).To(BeTrue())
		Expect(apiErr.Problem.Code).To(Equal(admin.CodeNotAccepted))
	})
})
