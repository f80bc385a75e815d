package httpd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/link/httpd"
)

// acceptPause is the least time between the connections that a busy server serves.
const acceptPause = 10 * time.Millisecond

// screenByPath serves, denies or turns away a caller by the path of its request.
func screenByPath(head []byte) httpd.Screening {
	switch {
	case bytes.HasPrefix(head, []byte("POST /serve ")):
		return httpd.ScreenServe
	case bytes.HasPrefix(head, []byte("POST /deny ")):
		return httpd.ScreenDenyKey
	}
	return httpd.ScreenTurnAway
}

// startScreening starts a server that is always busy.
func startScreening(t GinkgoTInterface) (*httpd.Server, string) {
	s, err := httpd.New(httpd.Config{Busy: func() bool { return true }, Screen: screenByPath}, func(w *httpd.Response, req *http.Request) {
		_, _ = io.Copy(w, req.Body) // The caller checks it.
	}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	l, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }() // Ends with the listener.
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr().String()
}

// ask sends what the caller sends on a new connection and returns the status and the body
// of the answer; zero without one.
func ask(address, request string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(5*time.Second)) != nil {
		return 0, ""
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

var _ = Describe("A busy server that screens its callers", func() {
	for name, c := range map[string]struct {
		request, body string
		statuses      []int // That callers may get beside a crowd; most get the last one.
	}{
		"serves whole requests": {post("/serve", "whole"), "whole", []int{503, 200}},
		"serves heads longer than a connection's buffer": {
			strings.Replace(post("/serve", "whole"), "Host: x", "Host: x\r\nLong: "+strings.Repeat("long ", 2000), 1), "whole", []int{503, 200},
		},
		"denies keys":                          {post("/deny", "whole"), "", []int{200, 401}},
		"turns away others":                    {post("/crowd", "whole"), "", []int{200, 503}},
		"serves bodies longer than its buffer": {post("/serve", strings.Repeat("long ", 5000)), strings.Repeat("long ", 5000), []int{503, 200}},
	} {
		It(name, func() {
			s, address := startScreening(GinkgoT())
			const calls, crowd = 20, 10
			last := c.statuses[len(c.statuses)-1]
			counts := make(map[int]int)
			for range calls {
				var g sync.WaitGroup
				for range crowd {
					g.Go(func() { ask(address, post("/crowd", "whole")) })
				}
				time.Sleep(time.Millisecond)
				g.Go(func() {
					defer GinkgoRecover()
					status, body := ask(address, c.request)
					for range 10 { // A connection may be closed before the request arrives.
						if status > 0 {
							break
						}
						status, body = ask(address, c.request)
					}
					counts[status]++
					if status == last {
						Expect(body).To(Equal(c.body))
					}
				})
				g.Wait()
				time.Sleep(2 * acceptPause)
			}
			for status := range counts {
				Expect(c.statuses).To(ContainElement(status), "%v", counts)
			}
			Expect(counts[last]).To(BeNumerically(">", calls/2), "%v", counts)
			Expect(s.TurnedAway()).To(BeNumerically(">=", calls*crowd/2))
		})
	}

	// FAIR at a busy entry: a crowd's connections that were accepted before their requests had
	// arrived took the place of a light workspace's caller.
	It("keeps the next place from callers that have sent nothing", func() {
		_, address := startScreening(GinkgoT())
		const calls, silent = 20, 5
		counts := make(map[int]int)
		for range calls {
			for range silent {
				c, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(c.Close)
			}
			status, _ := ask(address, post("/serve", "whole"))
			counts[status]++
			time.Sleep(2 * acceptPause)
		}
		Expect(counts).To(Equal(map[int]int{200: calls}))
	})

	It("serves callers that have sent nothing while nobody else comes", func() {
		s, address := startScreening(GinkgoT())
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		Eventually(s.Accepted).Should(BeNumerically("==", 1))
		_, err = io.WriteString(c, post("/crowd", "whole"))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	It("serves no more callers than its pace allows, whoever they are", func() {
		s, address := startScreening(GinkgoT())
		const callers = 200
		var g sync.WaitGroup
		begin := time.Now()
		for range callers {
			g.Go(func() { ask(address, post("/serve", "whole")) })
		}
		g.Wait()
		Expect(s.Accepted()).To(BeNumerically("<=", time.Since(begin)/acceptPause+2))
		Expect(s.Accepted() + s.TurnedAway()).To(BeNumerically("==", callers))
	})
})

var _ = Describe("A field of an unparsed head", func() {
	for name, c := range map[string]struct{ head, value string }{
		"is found whatever its case":        {"GET / HTTP/1.1\r\nHost: x\r\nauthorization:  Bearer k \r\n\r\n", "Bearer k"},
		"is the first of its name":          {"GET / HTTP/1.1\r\nAuthorization: a\r\nAuthorization: b\r\n\r\n", "a"},
		"is none in the request line":       {"Authorization: / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
		"is none whose name is longer":      {"GET / HTTP/1.1\r\nAuthorization-Next: a\r\n\r\n", ""},
		"is none in what follows the head":  {"GET / HTTP/1.1\r\n\r\nAuthorization: a\r\n", ""},
		"is empty if it isn't there at all": {"", ""},
	} {
		It(name, func() { Expect(httpd.HeadField([]byte(c.head), "Authorization")).To(Equal(c.value)) })
	}
})
