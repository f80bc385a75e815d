package proxy

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
)

// An entry that is short of processor time delays all requests. It refuses some of the
// new ones before it spends time on them: first those of workspaces that have used their
// share here, which a crowd has, then a fraction of the others.
const (
	lagInterval = 20 * time.Millisecond  // Between measurements.
	lagDecay    = 0.85                   // Factor of the high-water mark at each measurement.
	lagBusy     = 100 * time.Millisecond // Lag from which requests beyond a share are refused unread.
	// lagShedNone and lagShedAll are the lag up to which no request within a share is
	// refused, and that from which all are, as fractions of its latency objective.
	lagShedNone, lagShedAll = 0.2, 0.6
)

// lagMeter measures how long a goroutine that is ready waits for the processor.
type lagMeter struct {
	epoch     time.Time
	highWater atomic.Int64 // Decaying high-water mark of the measurements, in nanoseconds.
	startedAt atomic.Int64 // Start of the running measurement, in nanoseconds since epoch; zero when none runs.
}

// start begins a measurement.
func (m *lagMeter) start(now time.Time) { m.startedAt.Store(max(1, int64(now.Sub(m.epoch)))) }

// finish ends the measurement.
func (m *lagMeter) finish(now time.Time) {
	lag := int64(now.Sub(m.epoch)) - m.startedAt.Swap(0)
	m.highWater.Store(max(lag, int64(lagDecay*float64(m.highWater.Load()))))
}

// value returns the current lag. A measurement that is still running counts with the
// time that it has taken so far.
func (m *lagMeter) value(now time.Time) time.Duration {
	lag := m.highWater.Load()
	if started := m.startedAt.Load(); started > 0 {
		lag = max(lag, int64(now.Sub(m.epoch))-started)
	}
	return time.Duration(lag)
}

// isBusy reports whether the entry is so short of processor time that it serves few new
// connections and turns the others away. Those that are there when it shuts down are accepted before it ends.
func (r *Role) isBusy() bool { return !r.draining.Load() && r.lag.value(r.clock.Now()) > lagBusy }

// screen decides on a new connection while the entry is busy, given the head of its request:
// the crowd of a workspace that requests more than its share must not take the places of others'
// callers, and a caller without a valid key gets the same answer as at any other time.
func (r *Role) screen(head []byte) httpd.Screening {
	t := r.table.Load()
	if t == nil {
		return httpd.ScreenTurnAway
	}
	h := http.Header{"Authorization": {httpd.HeadField(head, "Authorization")}}
	w, ok := t.WorkspaceByKey(r.cfg.Dialect.ReadRequest(h).WorkspaceKey)
	if !ok {
		return screenUnknown(t, head)
	}
	if r.shares.isBelow(r.clock.Now(), w.Name, r.isBelowShare) {
		return httpd.ScreenServe
	}
	return httpd.ScreenTurnAway
}

// screenUnknown decides on a request without a valid key, which public routes don't need.
func screenUnknown(t *cleat.RouteTable, head []byte) httpd.Screening {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return httpd.ScreenTurnAway
	}
	if route, ok := t.Match(hostOf(req), pathOf(req)); !ok || route.Public {
		return httpd.ScreenTurnAway
	}
	return httpd.ScreenDenyKey
}

func (r *Role) isBelowShare(now time.Time, w cleat.WorkspaceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.IsBelowShare(now, w)
}

// shareCache remembers for shareCacheTime which workspaces are below their shares, so that
// callers that are turned away don't wait for the planner.
type shareCache map[cleat.WorkspaceID]cachedShare

type cachedShare struct {
	below bool
	at    time.Time
}

// shareCacheTime is how long an entry of shareCache is used.
const shareCacheTime = 50 * time.Millisecond

// isBelow returns whether a workspace is below its share, which find tells if it isn't known.
func (c shareCache) isBelow(now time.Time, w cleat.WorkspaceID, find func(time.Time, cleat.WorkspaceID) bool) bool {
	s, ok := c[w]
	if !ok || now.Sub(s.at) >= shareCacheTime {
		s = cachedShare{below: find(now, w), at: now}
		c[w] = s
	}
	return s.below
}

// turnedAwayRetryAfter returns the Retry-After of a caller that is turned away. Other
// entries may have room.
func (r *Role) turnedAwayRetryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.randomDuration(minFullRetryAfter, maxFullRetryAfter)
}

// lagLoop measures the lag.
func (r *Role) lagLoop(ctx context.Context) error {
	for sleep(ctx, lagInterval) {
		r.lag.start(r.clock.Now())
		// A goroutine that a timer wakes runs next, but one that yields runs after all
		// that are ready, as a request does.
		runtime.Gosched()
		r.lag.finish(r.clock.Now())
	}
	return nil
}

// shouldShed decides, at random for some, whether a new request is refused for lack of
// processor time. It also returns the Retry-After of one that is.
func (r *Role) shouldShed(x *exchange) (time.Duration, bool) {
	now := r.clock.Now()
	lag := r.lag.value(now)
	if lag <= lagBusy {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	retryAfter, shed := r.randomDuration(minBusyRetryAfter, maxBusyRetryAfter), true
	if r.planner.IsWithinShare(now, x.job) {
		retryAfter, shed = r.randomDuration(minFullRetryAfter, maxFullRetryAfter), r.rnd.Float64() < shedFraction(lag, x.route.Target)
	}
	if shed {
		r.planner.RecordShed(now, x.job)
	}
	return retryAfter, shed
}

// minBusyRetryAfter and maxBusyRetryAfter bound the Retry-After of a caller whose
// workspace has used its share at a busy entry: a load balancer may have chosen another
// entry by then.
const minBusyRetryAfter, maxBusyRetryAfter = time.Second, 4 * time.Second

// shedFraction returns the fraction of new requests within a share to refuse at a lag,
// by their latency objective.
func shedFraction(lag, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	return min(max((float64(lag)/float64(objective)-lagShedNone)/(lagShedAll-lagShedNone), 0), 1)
}

// defaultObjective is the latency objective assumed for a route that states none.
const defaultObjective = 500 * time.Millisecond
