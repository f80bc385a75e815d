package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/link/httpd"
)

// patience bounds what a test waits for.
const patience = 5 * time.Second

// rig is a server with a handler for each path.
type rig struct {
	server *httpd.Server
	addr   string
	served chan error
	left   chan struct{} // Told when a watched caller leaves.
	hold   chan struct{} // Ends the requests to /hold.
}

func newRig(cfg httpd.Config, wrap func(net.Listener) net.Listener) *rig {
	r := &rig{served: make(chan error, 1), left: make(chan struct{}, 9), hold: make(chan struct{})}
	var err error
	r.server, err = httpd.New(cfg, r.handle, log.New(io.Discard))
	Expect(err).NotTo(HaveOccurred())
	l, err := httpd.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.addr = l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	go func() { r.served <- r.server.Serve(l) }()
	DeferCleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.server.Shutdown(ctx)
	})
	return r
}

func (r *rig) handle(w *httpd.Response, req *http.Request) {
	switch req.URL.Path {
	case "/echo":
		b, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b)
	case "/events":
		for range 3 {
			_, _ = io.WriteString(w, "data: x\n\n")
			w.Flush()
		}
	case "/cut", "/cut-plain":
		_, _ = io.WriteString(w, "half")
		w.Flush()
		panic(http.ErrAbortHandler)
	case "/bug":
		panic("a fault of the handler")
	case "/refuse":
		w.Header().Set("Content-Length", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	case "/short":
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "no")
	case "/late":
		<-r.hold
		gone := false
		w.Watch(func() { gone = true })
		if gone {
			r.left <- struct{}{}
		}
	case "/hold":
		w.Watch(func() { r.left <- struct{}{} })
		<-r.hold
	}
}

func (r *rig) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", r.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(patience))).To(Succeed())
	return c, bufio.NewReader(c)
}

func send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// receive returns an answer and its body.
func receive(br *bufio.Reader, method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

var _ = Describe("Server", func() {
	type exchange struct {
		request string
		method  string
		status  int
		body    string
		broken  bool // The answer must not look complete.
		closed  bool // The connection ends after it.
	}
	const end = " HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, x := range map[string]exchange{
		"answers with a length":             {request: "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", status: 200, body: "abc"},
		"reads a body in chunks":            {request: "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", status: 200, body: "abc"},
		"answers without a length":          {request: "GET /events" + end, status: 200, body: "data: x\n\ndata: x\n\ndata: x\n\n"},
		"answers HEAD without a body":       {request: "HEAD /refuse" + end, method: "HEAD", status: 503},
		"answers when nothing was written":  {request: "GET /none" + end, status: 200},
		"drops the body of a refusal":       {request: "POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde", status: 503, body: "no"},
		"breaks off in chunks":              {request: "GET /cut" + end, status: 200, body: "half", broken: true, closed: true},
		"breaks off without chunks":         {request: "GET /cut-plain HTTP/1.0\r\nHost: h\r\n\r\n", status: 200, body: "half", broken: true, closed: true},
		"breaks off when the handler fails": {request: "GET /bug" + end, broken: true, closed: true},
		"breaks off a short body":           {request: "GET /short" + end, status: 200, body: "no", broken: true, closed: true},
		"closes when asked to":              {request: "GET /events HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", status: 200, body: "data: x\n\ndata: x\n\ndata: x\n\n", closed: true},
		"closes after HTTP/1.0":             {request: "GET /events HTTP/1.0\r\nHost: h\r\n\r\n", status: 200, body: "data: x\n\ndata: x\n\ndata: x\n\n", closed: true},
		"refuses a request without host":    {request: "GET /echo HTTP/1.1\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses a host with a blank":       {request: "GET /echo HTTP/1.1\r\nHost: a b\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses two hosts":                 {request: "GET /echo HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses two lengths":               {request: "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: 400, body: "Bad Request\n", closed: true},
		"refuses a blank before a colon":    {request: "GET /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses an unknown encoding":       {request: "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses a control character":       {request: "GET /echo HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses another protocol":          {request: "GET /echo HTTP/2.0\r\nHost: a\r\n\r\n", status: 400, body: "Bad Request\n", closed: true},
		"refuses a long head":               {request: "GET /echo HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", status: 431, body: "Request Header Fields Too Large\n", closed: true},
	} {
		It(name, func() {
			r := newRig(httpd.Config{MaxHeadBytes: 4000}, nil)
			c, br := r.dial()
			send(c, x.request)
			resp, body, err := receive(br, x.method)
			if x.broken {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
			if x.status != 0 {
				Expect(resp.StatusCode).To(Equal(x.status))
				Expect(body).To(Equal(x.body))
			}
			if x.closed {
				_, err = br.ReadByte()
				Expect(err).To(HaveOccurred())
				return
			}
			send(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nnext")
			_, body, err = receive(br, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("next"))
		})
	}

	It("answers requests that came together, in order", func() {
		r := newRig(httpd.Config{}, nil)
		c, br := r.dial()
		send(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n2")
		for _, want := range []string{"1", "2"} {
			_, body, err := receive(br, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(want))
		}
	})

	It("asks for a body only when it is read", func() {
		r := newRig(httpd.Config{}, nil)
		c, br := r.dial()
		send(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		line, err := br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
		_, err = br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		send(c, "ok")
		_, body, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
	})

	It("lets an early answer be read before a long body has left", func() {
		r := newRig(httpd.Config{MaxDrainBytes: 1000}, nil)
		c, br := r.dial()
		go func() {
			_, _ = io.WriteString(c, "POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat("x", 3000000))
		}()
		time.Sleep(100 * time.Millisecond)
		resp, body, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		Expect(body).To(Equal("no"))
	})

	It("tells when a watched caller leaves, and not when it stays", func() {
		r := newRig(httpd.Config{}, nil)
		stays, br := r.dial()
		send(stays, "GET /hold"+end)
		leaves, _ := r.dial()
		send(leaves, "GET /hold"+end)
		Consistently(r.left, 100*time.Millisecond).ShouldNot(Receive())
		Expect(leaves.Close()).To(Succeed())
		Eventually(r.left, patience).Should(Receive())
		close(r.hold)
		_, _, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Consistently(r.left, 50*time.Millisecond).ShouldNot(Receive())
		send(stays, "GET /events"+end)
		_, _, err = receive(br, "")
		Expect(err).NotTo(HaveOccurred())
	})

	It("tells at once when a caller has left before it is watched", func() {
		r := newRig(httpd.Config{}, nil)
		c, _ := r.dial()
		send(c, "GET /late"+end)
		time.Sleep(50 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		close(r.hold)
		Eventually(r.left, patience).Should(Receive())
	})

	It("answers what came before the idle timeout, however late it is seen", func() {
		r := newRig(httpd.Config{}, func(l net.Listener) net.Listener { return &lateListener{l} })
		c, br := r.dial()
		send(c, "GET /events"+end)
		resp, _, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
	})

	It("closes idle connections after the timeout", func() {
		r := newRig(httpd.Config{IdleTimeout: 50 * time.Millisecond}, nil)
		_, br := r.dial()
		_, err := br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(r.server.Conns, patience).Should(BeZero())
	})

	It("ends idle connections at a shutdown and waits for requests", func() {
		r := newRig(httpd.Config{}, nil)
		idle, idleReader := r.dial()
		send(idle, "GET /events"+end)
		_, _, err := receive(idleReader, "")
		Expect(err).NotTo(HaveOccurred())
		busy, br := r.dial()
		send(busy, "GET /hold"+end)
		Eventually(r.server.Conns, patience).Should(Equal(2))
		time.Sleep(50 * time.Millisecond)
		var done atomic.Bool
		go func() {
			defer GinkgoRecover()
			Expect(r.server.Shutdown(context.Background())).To(Succeed())
			done.Store(true)
		}()
		_, err = idleReader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Eventually(r.served, patience).Should(Receive(BeNil()))
		Expect(done.Load()).To(BeFalse())
		close(r.hold)
		resp, _, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		Eventually(done.Load, patience).Should(BeTrue())
	})

	It("answers a request at a shutdown that had come and was not seen yet", func() {
		r := newRig(httpd.Config{}, func(l net.Listener) net.Listener { return &lateListener{l} })
		c, br := r.dial()
		send(c, "GET /events"+end)
		Eventually(r.server.Conns, patience).Should(Equal(1))
		Expect(r.server.Shutdown(context.Background())).To(Succeed())
		resp, _, err := receive(br, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Close).To(BeTrue())
	})

	It("cuts requests off when the shutdown's time is up", func() {
		r := newRig(httpd.Config{}, nil)
		c, br := r.dial()
		send(c, "GET /hold"+end)
		Eventually(r.server.Conns, patience).Should(Equal(1))
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(r.server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
		_, err := br.ReadByte()
		Expect(err).To(HaveOccurred())
		close(r.hold)
	})
})

// lateListener's connections report a timeout, once, though bytes have come.
type lateListener struct{ net.Listener }

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not TCP")
	}
	return &lateConn{TCPConn: tcp}, nil
}

type lateConn struct {
	*net.TCPConn
	late bool
}

func (c *lateConn) Read(b []byte) (int, error) {
	if !c.late {
		c.late = true
		time.Sleep(100 * time.Millisecond)
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}
