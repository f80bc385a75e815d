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
	pathPatience = 30 * time.Second
	pathPoll     = 20 * time.Millisecond
)

// pathLoad sends the requests of gauge path.
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

// sample is a set of durations.
type sample struct {
	list   []time.Duration
	sorted bool
}

func (s *sample) add(other sample) {
	s.list = append(s.list, other.list...)
	s.sorted = false
}

func (s *sample) len() int { return len(s.list) }

// at returns the quantile q of the durations.
func (s *sample) at(q float64) time.Duration {
	if len(s.list) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.list)
		s.sorted = true
	}
	return s.list[int(q*float64(len(s.list)-1))].Round(time.Microsecond)
}

// waitReady waits until the fleet answers one request of each kind.
func (l *pathLoad) waitReady() error {
	until := time.Now().Add(pathPatience)
	for {
		_, errStream := l.stream(l.entry)
		_, errShort := l.short(l.entry)
		if errStream == nil && errShort == nil {
			return nil
		}
		if time.Now().After(until) {
			return trace.NewAggregate(errStream, errShort)
		}
		time.Sleep(pathPoll)
	}
}

// streams asks for streams by n callers at once and samples the time to the first byte.
func (l *pathLoad) streams(base string, n int, length time.Duration) (sample, error) {
	return repeat(n, length, func() (time.Duration, error) { return l.stream(base) })
}

// shorts asks for short answers and samples the whole time.
func (l *pathLoad) shorts(base string, length time.Duration) (sample, error) {
	return repeat(shortWorkers, length, func() (time.Duration, error) { return l.short(base) })
}

// repeat runs f in n workers until length is over.
func repeat(n int, length time.Duration, f func() (time.Duration, error)) (sample, error) {
	var mu sync.Mutex
	var all sample
	var first error
	var workers sync.WaitGroup
	end := time.Now().Add(length)
	for range n {
		workers.Go(func() {
			var own sample
			var err error
			for err == nil && time.Now().Before(end) {
				var d time.Duration
				if d, err = f(); err == nil {
					own.list = append(own.list, d)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.add(own)
			if first == nil {
				first = err
			}
		})
	}
	workers.Wait()
	return all, first
}

var streamBody = []byte(fmt.Sprintf(
	`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"When is ring two judged?"}]}`,
	pathModel, pathTokens))

// stream asks for one stream and returns the time to its first byte.
func (l *pathLoad) stream(base string) (time.Duration, error) {
	start := time.Now()
	res, err := l.do(context.Background(), http.MethodPost, base+cleat.ChatPath, streamBody)
	if err != nil {
		return 0, err
	}
	var one [1]byte
	if _, err := io.ReadFull(res.Body, one[:]); err != nil {
		return 0, trace.NewAggregate(err, res.Body.Close())
	}
	d := time.Since(start)
	return d, discard(res.Body)
}

// short asks for one short answer and returns the whole time.
func (l *pathLoad) short(base string) (time.Duration, error) {
	start := time.Now()
	res, err := l.do(context.Background(), http.MethodGet, base+"/short", nil)
	if err != nil {
		return 0, err
	}
	if err := discard(res.Body); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Since(start), nil
}

func (l *pathLoad) do(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
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

// hold makes many requests wait for a service that has one slot, until release.
func (l *pathLoad) hold() (release func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	body := bytes.Repeat([]byte("x"), waitingRequestBytes)
	for range waitingRequests + 1 {
		workers.Go(func() {
			if res, err := l.do(ctx, http.MethodPost, l.entry+"/slow", body); err == nil {
				_ = res.Body.Close()
			}
		})
	}
	release = func() {
		cancel()
		workers.Wait()
	}
	if err := l.waitWaiting(waitingRequests); err != nil {
		release()
		return nil, trace.Wrap(err)
	}
	return release, nil
}

// waitWaiting polls the entry's metrics until n requests wait.
func (l *pathLoad) waitWaiting(n float64) error {
	until := time.Now().Add(pathPatience)
	var seen float64
	for time.Now().Before(until) {
		res, err := l.do(context.Background(), http.MethodGet, l.entry+telem.PathMetrics, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		b, err := io.ReadAll(res.Body)
		if err := trace.NewAggregate(err, res.Body.Close()); err != nil {
			return trace.Wrap(err)
		}
		if seen = metric(string(b), "cleat_entry_waiting"); seen >= n {
			return nil
		}
		time.Sleep(pathPoll)
	}
	return trace.LimitExceeded("only %.0f of %.0f requests wait", seen, n)
}

// metric returns the value of a metric without labels, zero when it is missing.
func metric(text, name string) float64 {
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

// residentBytes reads a process's resident memory.
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
