package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unframedServerCommand = "unframed-server"
	streamEvents          = 40 // Events of each stream.
	eventTime             = 50 * time.Millisecond
)

// runUnframedServer is the process of a sound server: unframed-server SERVICE ID ADDRESS
// CONTROL... Its answers have no length and end with their connections.
func runUnframedServer(args []string) int {
	if len(args) < 4 {
		return exitNotRun
	}
	service, id, address, controls := args[0], args[1], args[2], args[3:]
	serve := serveStream
	if service == "desk" {
		serve = servePlain
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "unframed-server:", err)
		return exitNotRun
	}
	go announce(service, id, l.Addr().String(), controls)
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go serve(id, c)
	}
}

func announce(service, id, address string, controls []string) {
	born, slots := time.Now().UnixMilli(), 6
	if service == "model" {
		slots = 64
	}
	for sequence := 1; ; sequence++ {
		b, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready", "cold-remaining-ms": 0,
			"stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": sequence, "born": born,
		})
		if err != nil {
			panic(err) // The fields are plain.
		}
		callAny(controls, http.MethodPut, "/marigoldcleat/instances/"+id, b)
		time.Sleep(beatTime)
	}
}

// readRequest reads the request on a connection and returns the head of its answer. It returns
// false if the request isn't to be run.
func readRequest(id string, c net.Conn) (attempt, head string, ok bool) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return "", "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", "", false
	}
	attempt = req.Header.Get("Attempt-Id")
	if named := req.Header.Get("Expect-Instance"); named != "" && named != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return "", "", false
	}
	return attempt, fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nConnection: close\r\n", attempt, id), true
}

// serveStream answers with a stream. Each event is one write.
func serveStream(id string, c net.Conn) {
	defer c.Close()
	attempt, head, ok := readRequest(id, c)
	if !ok {
		return
	}
	head += "Server-Load: 4,0,64\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n\r\n"
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(eventTime)
		if _, err := io.WriteString(c, fmt.Sprintf("%sid: %d\ndata: piece %d of %s\n\n", head, n, n, attempt)); err != nil {
			return
		}
		head = ""
	}
}

// startUnframedServer starts the process of a server.
func (w *world) startUnframedServer(service, id string, last int) (*exec.Cmd, error) {
	cmd := exec.Command(os.Args[0], append([]string{unframedServerCommand, service, id, fmt.Sprintf("%s%d:%d", w.prefix, last, w.base+portCount)}, w.seeds()...)...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = endWithParent()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, cmd)
	return cmd, nil
}

// streams counts how streams ended.
type streams struct {
	mu                     sync.Mutex
	whole, cut, refused    int
	shortened              []string // Streams that ended as complete before their last event.
	outOfOrder, unexpected int
	running                map[string]int // By the signature of the server.
}

// busiest returns the signature of the server that runs most streams, and how many.
func (t *streams) busiest() (signature string, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, n := range t.running {
		if n > running {
			signature, running = s, n
		}
	}
	return signature, running
}

// readStream requests a stream and records how it ended.
func (t *streams) readStream(entry *process, id string) {
	client := http.Client{Timeout: 13 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := newRequest(entry, http.MethodPost, "/ask/1", id, 12*time.Second)
	if err != nil {
		return
	}
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Counts", fmt.Sprintf("200,%d", 6*streamEvents))
	req.Header.Set("Prefix-Hash", "5c1e07a2:120,"+id[8:]+":80")
	resp, err := client.Do(req)
	if err != nil {
		t.count(func() { t.refused++ })
		return
	}
	defer resp.Body.Close()
	signature := resp.Header.Get("Server-Stamp")
	t.count(func() { t.running[signature]++ })
	body, err := io.ReadAll(resp.Body)
	t.count(func() { t.running[signature]-- })
	events := bytes.Count(body, []byte("\n\n"))
	ordered := true
	for n := 1; n <= events; n++ {
		ordered = ordered && strings.Contains(string(body), fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id))
	}
	t.count(func() {
		switch {
		case resp.StatusCode != http.StatusOK:
			t.refused++
		case !ordered:
			t.outOfOrder++
		case err != nil:
			t.cut++
		case events < streamEvents:
			t.shortened = append(t.shortened, fmt.Sprintf("%s: %d of %d events, signature %q, and the regular end of the answer", id, events, streamEvents, signature))
		case events == streamEvents:
			t.whole++
		default:
			t.unexpected++
		}
	})
}

func (t *streams) count(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// playCrash kills one of six servers while it sends streams without a length. No stream may
// end as complete before its last event.
func playCrash(w *world) (bool, error) {
	if err := w.start(true, append(w.controls, w.entries...)...); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !w.order(1, time.Now().Add(10*time.Second)) {
		return false, errNoConfiguration
	}
	servers := make(map[string]*exec.Cmd) // By their signatures.
	for i := range 6 {
		id := fmt.Sprintf("i-model-%d", i)
		s, err := w.startUnframedServer("model", id, 200+i)
		if err != nil {
			return false, err
		}
		servers["stamp-"+id] = s
	}
	time.Sleep(2 * contactTime)
	t := &streams{running: make(map[string]int)}
	var clients sync.WaitGroup
	end := time.Now().Add(8 * time.Second)
	for c := range 24 {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 83 * time.Millisecond) // Their streams don't run in step.
			for n := 0; time.Now().Before(end); n++ {
				t.readStream(w.entries[(c+n)%len(w.entries)], fmt.Sprintf("%08x%08x", c+1, c<<16+n))
			}
		})
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		signature, running := t.busiest()
		s, ok := servers[signature]
		if !ok {
			return false, errNothingServed
		}
		if err := s.Process.Signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		w.note("the server that signs with %s was killed (SIGKILL); it ran %d streams", signature, running)
	}
	clients.Wait()
	w.note("streams: %d whole, %d cut in a way that clients can tell, %d refused or without an answer, %d out of order, %d too long", t.whole, t.cut, t.refused, t.outOfOrder, t.unexpected)
	for _, s := range t.shortened {
		w.note("ended as complete before its last event: %s", s)
	}
	if t.whole == 0 {
		return false, errNothingServed
	}
	return len(t.shortened) > 0, nil
}
