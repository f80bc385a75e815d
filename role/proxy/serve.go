package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
	"marigoldcleat.example/cleat/policy/place"
)

// defaultTimeLeft is how long a caller waits that doesn't say.
const defaultTimeLeft = time.Minute

// writeSlack is how long after its deadline an answer may still be on its way to
// the caller: late answers are delivered, but a caller that reads nothing is let go.
const writeSlack = 10 * time.Second

// exchange is one caller's request.
type exchange struct {
	role    *Role
	w       *httpd.Response
	r       *http.Request
	ctx     context.Context // Ends when the caller leaves or its time is up; nil until follow.
	cancel  context.CancelFunc
	info    cleat.RequestInfo
	table   *cleat.RouteTable
	route   *cleat.Route
	owner   cleat.WorkspaceID
	rank    int
	service cleat.ServiceName
	began   time.Time
	until   time.Time // When the final answer is due.
	body    []byte
	job     *place.Job

	attempts int  // Upstreams that the request was sent to.
	mayRan   bool // An upstream may have run it.
	begun    bool // The present attempt's answer has begun.
	events   eventState
}

// serve answers one request.
func (r *Role) serve(w *httpd.Response, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	x := &exchange{role: r, w: w, r: req, began: r.clock.Now(), info: r.cfg.Dialect.ReadRequest(req.Header)}
	if r.draining.Load() || r.server.Conns() > r.cfg.MaxKept {
		w.Header().Set("Connection", "close")
	}
	if !x.find() {
		return
	}
	if r.shed() {
		x.refuse(http.StatusServiceUnavailable, "entry_busy", x.spreadRetry())
		return
	}
	left := x.route.Timeout
	if x.info.TimeLeft > 0 {
		left = min(left, x.info.TimeLeft)
	} else {
		left = min(left, defaultTimeLeft)
	}
	x.until = x.began.Add(left)
	defer x.unfollow()
	size, ok := x.readBody()
	defer r.held.Add(-size)
	if ok {
		x.run()
	}
}

// follow begins to watch for the caller's leaving and the deadline. A request that
// is refused at once does without.
func (x *exchange) follow() {
	if x.ctx == nil {
		x.ctx, x.cancel = context.WithDeadline(x.role.ctx, x.until)
		if x.w.SetWriteDeadline(x.until.Add(writeSlack)) != nil {
			x.cancel() // The connection is closed.
			return
		}
		x.w.Watch(x.cancel)
	}
}

func (x *exchange) unfollow() {
	if x.cancel != nil {
		x.cancel()
	}
}

// find sets the route, the workspace and the service, or refuses the request.
func (x *exchange) find() bool {
	x.table = x.role.table.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no_manifest", startRetry)
		return false
	}
	var ok bool
	if x.route, ok = x.table.Match(hostOf(x.r), pathOf(x.r)); !ok {
		x.refuse(http.StatusNotFound, "no_route", 0)
		return false
	}
	x.rank = x.route.Rank
	if !x.route.Public {
		owner, ok := x.table.WorkspaceByKey(x.info.Key)
		if !ok {
			x.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
		x.owner = owner.Name
		if owner.HasRank {
			x.rank = owner.Rank
		}
	}
	x.service = x.pickService()
	return true
}

// startRetry is when a caller returns to an entry that has just started.
const startRetry = 500 * time.Millisecond

// pickService draws a service by the route's weights.
func (x *exchange) pickService() cleat.ServiceName {
	split := x.route.Split
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	x.role.mu.Lock()
	draw := x.role.rnd.Float64() * sum
	x.role.mu.Unlock()
	last := split[0].Service
	for _, s := range split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if draw -= s.Weight; draw < 0 {
			break
		}
	}
	return last
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// targetOf returns path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// readBody reads the whole body, within the bounds, and returns how many bytes
// it counted as held.
func (x *exchange) readBody() (int64, bool) {
	limit := x.role.cfg.MaxBody
	if n := x.table.Limits.MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return 0, false
	}
	size := max(0, x.r.ContentLength)
	if x.role.held.Add(size) > x.role.cfg.HeldBytes {
		x.refuse(http.StatusServiceUnavailable, "memory", overloadRetry)
		return size, false
	}
	if x.r.ContentLength == 0 {
		return size, true
	}
	body, err := x.w.ReadBody(limit, x.until)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return size, false
	case err != nil:
		x.decide("body_cut", "err", err)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	if x.r.ContentLength < 0 {
		size += int64(len(body))
		x.role.held.Add(int64(len(body)))
	}
	return size, true
}

// decide logs a decision on the request.
func (x *exchange) decide(kind string, keyvals ...any) {
	now := x.role.clock.Now()
	skipped, ok := x.role.decisions.Allow(now, kind)
	if !ok {
		return
	}
	fields := []any{"request", x.info.ID, "workspace", x.owner, "service", x.service, "after", now.Sub(x.began).Round(time.Millisecond)}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "manifest", x.table.Version)
	}
	x.role.decisions.Write(kind, skipped, append(fields, keyvals...))
}

// overloadRetry is when a caller returns after a refusal for lack of memory.
const overloadRetry = time.Second

// refuse answers for the fleet: the request has not run and never will, unless
// the status is 502 or 504.
func (x *exchange) refuse(status int, why string, retryAfter time.Duration) {
	x.decide("refused", "status", status, "why", why, "attempts", x.attempts, "retry_after", retryAfter)
	x.role.measures.answered(x.service, why, x.role.clock.Now().Sub(x.began))
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	body := why + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		x.decide("caller_gone", "err", err)
	}
}
