package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/telem"
)

const (
	pathTimeout      = 30 * time.Second // Until the fleet is ready, and until waitingRequests requests are queued.
	pathPollInterval = 20 * time.Millisecond
)

// pathLoad generates the requests of gauge path. entry, engine and plain are base URLs.
type pathLoad struct {
	entry  string
	engine string
	plain  string
	client *http.Client
}

func newPathLoad(c *pathCommand) *pathLoad {
	return &pathLoad{
		entry:  c.entry,
		engine: c.engine,
		plain:  c.plain,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * waitingRequests, DisableCompression: true}},
	}
}

// latencies is a set of measured durations.
type latencies struct {
	durations []time.Duration
	sorted    bool
}

func (l *latencies) merge(other latencies) {
	l.durations = append(l.durations, other.durations...)
	l.sorted = false
}

func (l *latencies) len() int { return len(l.durations) }

// quantile returns the q-quantile of the durations, rounded to microseconds.
func (l *latencies) quantile(q float64) time.Duration {
	if len(l.durations) == 0 {
		return 0
	}
	if !l.sorted {
		slices.Sort(l.durations)
		l.sorted = true
	}
	return l.durations[int(q*float64(len(l.durations)-1))].Round(time.Microsecond)
}

// awaitReady retries until the entry answers a stream and a short request. After
// pathTimeout it returns the errors of the last attempt.
func (l *pathLoad) awaitReady() error {
	deadline := time.Now().Add(pathTimeout)
	for {
		_, errStream := l.measureFirstByte(l.entry)
		_, errShort := l.measureShortRequest(l.entry)
		if errStream == nil && errShort == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.NewAggregate(errStream, errShort)
		}
		time.Sleep(pathPollInterval)
	}
}

// measureFirstBytes requests streams with n concurrent callers and measures the time
// to first byte of each.
func (l *pathLoad) measureFirstBytes(base string, n int, duration time.Duration) (latencies, error) {
	return runWorkers(n, duration, func() (time.Duration, error) { return l.measureFirstByte(base) })
}

// measureShortRequests sends short requests concurrently and measures the total time of each.
func (l *pathLoad) measureShortRequests(base string, duration time.Duration) (latencies, error) {
	return runWorkers(shortWorkers, duration, func() (time.Duration, error) { return l.measureShortRequest(base) })
}

// runWorkers calls f repeatedly in n workers for the duration, and returns the
// measured times and the first error. A worker stops at its first error.
func runWorkers(n int, duration time.Duration, f func() (time.Duration, error)) (latencies, error) {
	var mu sync.Mutex
	var all latencies
	var firstErr error
	var workers sync.WaitGroup
	end := time.Now().Add(duration)
	for range n {
		workers.Go(func() {
			var own latencies
			var err error
			for err == nil && time.Now().Before(end) {
				var d time.Duration
				if d, err = f(); err == nil {
					own.durations = append(own.durations, d)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.merge(own)
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	workers.Wait()
	return all, firstErr
}

var streamBody = []byte(fmt.Sprintf(
	`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"When is ring two judged?"}]}`,
	pathModel, pathMaxTokens))

// measureFirstByte requests one stream and returns the time to first byte.
func (l *pathLoad) measureFirstByte(base string) (time.Duration, error) {
	start := time.Now()
	res, err := l.send(context.Background(), http.MethodPost, base+cleat.ChatPath, streamBody)
	if err != nil {
		return 0, err
	}
	var one [1]byte
	if _, err := io.ReadFull(res.Body, one[:]); err != nil {
		return 0, trace.NewAggregate(err, res.Body.Close())
	}
	d := time.Since(start)
	return d, readAndClose(res.Body)
}

// measureShortRequest sends one short request and returns its total time.
func (l *pathLoad) measureShortRequest(base string) (time.Duration, error) {
	start := time.Now()
	res, err := l.send(context.Background(), http.MethodGet, base+"/short", nil)
	if err != nil {
		return 0, err
	}
	if err := readAndClose(res.Body); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Since(start), nil
}

func (l *pathLoad) send(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+pathKey)
	res, err := l.client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		return nil, trace.NewAggregate(trace.Errorf("%s %s: status %d: %s", method, url, res.StatusCode, b), res.Body.Close())
	}
	return res, nil
}

// startWaiting sends waitingRequests+1 requests to a service that has one slot, and
// returns when all but one wait. release cancels them.
func (l *pathLoad) startWaiting() (release func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	body := bytes.Repeat([]byte("x"), waitingRequestBytes)
	for range waitingRequests + 1 {
		workers.Go(func() {
			if res, err := l.send(ctx, http.MethodPost, l.entry+"/slow", body); err == nil {
				_ = res.Body.Close()
			}
		})
	}
	release = func() {
		cancel()
		workers.Wait()
	}
	if err := l.awaitWaiting(waitingRequests); err != nil {
		release()
		return nil, trace.Wrap(err)
	}
	return release, nil
}

// awaitWaiting polls the entry's metrics until n requests wait.
func (l *pathLoad) awaitWaiting(n float64) error {
	deadline := time.Now().Add(pathTimeout)
	var seen float64
	for time.Now().Before(deadline) {
		res, err := l.send(context.Background(), http.MethodGet, l.entry+telem.PathMetrics, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		b, err := io.ReadAll(res.Body)
		if err := trace.NewAggregate(err, res.Body.Close()); err != nil {
			return trace.Wrap(err)
		}
		if seen = metricValue(string(b), "cleat_entry_waiting"); seen >= n {
			return nil
		}
		time.Sleep(pathPollInterval)
	}
	return trace.LimitExceeded("only %.0f of %.0f requests wait", seen, n)
}

// metricValue returns the value of a metric without labels, or zero if it is missing.
func metricValue(text, name string) float64 {
	for line := range strings.Lines(text) {
		value, ok := strings.CutPrefix(line, name+" ")
		if !ok {
			continue
		}
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil {
			return v
		}
	}
	return 0
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		kib, err := strconv.ParseInt(fields[1], 10, 64)
		return kib << 10, trace.Wrap(err)
	}
	return 0, trace.NotFound("no VmRSS of process %d", pid)
}
