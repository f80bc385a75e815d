package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	plainBytes = 800                   // Of an answer.
	workTime   = 60 * time.Millisecond // Between its halves.
)

// servePlain answers with plainBytes, the second half after workTime.
func servePlain(id string, c net.Conn) {
	defer c.Close()
	_, head, ok := readRequest(id, c)
	if !ok {
		return
	}
	half := strings.Repeat("x", plainBytes/2)
	if _, err := io.WriteString(c, head+"Server-Load: 1,0,6\r\nContent-Type: text/plain\r\n\r\n"+half); err != nil {
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(c, half) // The entry may have left.
}

// payments counts how unsafe requests ended.
type payments struct {
	mu           sync.Mutex
	whole, other int
	bySignature  map[string]int
	shortened    []string // Successes with a part of the body.
}

// pay sends an unsafe request and records how it ended.
func (t *payments) pay(entry *process, id string) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := newRequest(entry, http.MethodPost, "/pay/1", id, 2*time.Second)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		t.count(func() { t.other++ })
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("Server-Stamp")
	t.count(func() {
		switch {
		case err != nil || resp.StatusCode != http.StatusOK:
			t.other++
		case len(body) == plainBytes:
			t.whole++
			t.bySignature[signature]++
		default:
			t.shortened = append(t.shortened, fmt.Sprintf("%s: status 200, signature %q, Content-Length %q, %d of %d bytes", id, signature, resp.Header.Get("Content-Length"), len(body), plainBytes))
		}
	})
}

func (t *payments) count(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// playHalf kills one of four servers while it sends answers without a length to unsafe
// requests. No client may get a part of an answer as a complete one.
func playHalf(w *world) (bool, error) {
	if err := w.start(true, append(w.controls, w.entries...)...); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !w.order(1, time.Now().Add(10*time.Second)) {
		return false, errNoConfiguration
	}
	servers := make(map[string]*exec.Cmd) // By their signatures.
	for i := range 4 {
		id := fmt.Sprintf("i-desk-%d", i)
		s, err := w.startUnframedServer("desk", id, 200+i)
		if err != nil {
			return false, err
		}
		servers["stamp-"+id] = s
	}
	time.Sleep(2 * contactTime)
	t := &payments{bySignature: make(map[string]int)}
	var clients sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for c := range 12 {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 17 * time.Millisecond) // Their requests don't run in step.
			for n := 0; time.Now().Before(end); n++ {
				t.pay(w.entries[(c+n)%len(w.entries)], fmt.Sprintf("%08x%08x", c+1, n))
			}
		})
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		const signature = "stamp-i-desk-0"
		if err := servers[signature].Process.Signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		t.count(func() { w.note("i-desk-0 was killed (SIGKILL); it had answered %d requests", t.bySignature[signature]) })
	}
	clients.Wait()
	w.note("unsafe requests: %d with the whole answer, %d that failed or were refused", t.whole, t.other)
	for _, s := range t.shortened {
		w.note("a success with a part of the body: %s", s)
	}
	if t.whole == 0 {
		return false, errNothingServed
	}
	return len(t.shortened) > 0, nil
}
