package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	const crowd, span, pause = 200, 500 * time.Millisecond, 10 * time.Millisecond
	for _, isBusy := range []bool{true, false} {
		busy.Store(isBusy)
		before, turnedBefore, begin := s.Accepted(), s.TurnedAway(), time.Now()
		taken := func() int64 { return s.Accepted() - before + s.TurnedAway() - turnedBefore }
		for range crowd {
			dial()
		}
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if err := ask(open); err != nil {
				t.Fatalf("busy %v: the open connection got no answer: %v", isBusy, err)
			}
		}
		// One accept was under way before; the next ones wait for the pause each.
		if n, most := s.Accepted()-before, int64(time.Since(begin)/pause)+2; isBusy && (n < 1 || n > most) {
			t.Errorf("busy: accepted %d of %d connections within %v, want 1 to %d", n, crowd, time.Since(begin), most)
		}
		busy.Store(false)
		for end := time.Now().Add(5 * time.Second); taken() < crowd; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("accepted or turned away %d of %d connections in the end", taken(), crowd)
			}
		}
		if n := s.TurnedAway() - turnedBefore; !isBusy && n > 0 {
			t.Errorf("not busy: %d of %d connections were turned away", n, crowd)
		}
	}
}

// A crowd waited in the listener's queue for seconds: the server accepted only callers that
// had given up, and none of those that tried meanwhile.
func TestFewConnectionsWaitToBeAccepted(t *testing.T) {
	l, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const crowd, most = 600, 300
	var connected atomic.Int64
	var wg sync.WaitGroup
	for range crowd {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
			if err != nil {
				return // It would try elsewhere.
			}
			connected.Add(1)
			t.Cleanup(func() { _ = c.Close() })
		})
	}
	wg.Wait()
	if n := connected.Load(); n == 0 || n > most {
		t.Errorf("%d of %d connections wait, want 1 to %d", n, crowd, most)
	}
}
