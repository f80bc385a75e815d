package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"marigoldcleat.example/cleat/link/httpd"
)

// FAIR on pastor-andino-large: a crowd of new connections took an entry's processor time
// from the requests that it had accepted.
func TestBusyServerAcceptsFewConnections(t *testing.T) {
	var busy atomic.Bool
	s, err := httpd.New(httpd.Config{Busy: busy.Load}, func(w *httpd.Response, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok") // The caller checks it.
	}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	l, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }() // Ends with the listener.
	defer func() { _ = l.Close() }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	ask := func(c net.Conn) error {
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	open := dial()
	if err := ask(open); err != nil {
		t.Fatal(err)
	}
	const crowd, span = 300, 500 * time.Millisecond
	for isBusy, want := range map[bool]struct{ least, most int64 }{true: {3, 20}, false: {crowd, crowd}} {
		busy.Store(isBusy)
		before := s.Accepted()
		for range crowd {
			dial()
		}
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if err := ask(open); err != nil {
				t.Fatalf("busy %v: the open connection got no answer: %v", isBusy, err)
			}
		}
		if n := s.Accepted() - before; isBusy && (n < want.least || n > want.most) {
			t.Errorf("busy: accepted %d of %d connections within %v, want %d to %d", n, crowd, span, want.least, want.most)
		}
		busy.Store(false)
		for end := time.Now().Add(5 * time.Second); s.Accepted()-before < crowd; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("accepted %d of %d connections in the end", s.Accepted()-before, crowd)
			}
		}
	}
}
