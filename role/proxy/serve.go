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

// defaultTimeout applies to requests that state no deadline.
const defaultTimeout = time.Minute

// writeSlack is how long after its deadline an answer may still be written: late
// answers are delivered, but a caller that does not read is disconnected.
const writeSlack = 10 * time.Second

// exchange is the state of one caller's request while it is handled.
type exchange struct {
	role      *Role
	w         *httpd.Response
	r         *http.Request
	ctx       context.Context // Ends when the caller disconnects or the deadline passes; nil until watchCaller.
	cancel    context.CancelFunc
	info      cleat.RequestInfo
	table     *cleat.RouteTable
	route     *cleat.Route
	workspace cleat.WorkspaceID
	rank      int // Requests with a lower rank go first.
	service   cleat.ServiceName
	arrived   time.Time
	deadline  time.Time // Of the final answer.
	body      []byte
	job       *place.Job
	fetchFrom string // Address of the upstream from which the current attempt's fetches cached prefix blocks; empty for none.

	lookupBy      time.Time   // Until when a resumption may wait for what this entry doesn't know; zero until it does.
	refusalFields []any       // Added to the log line of a refusal.
	sentAt        time.Time   // Of the current attempt.
	keepOpen      func() bool // Keeps the current attempt's connection from being closed when ctx ends; false if it has been.
	attempts      int         // Upstreams that the request was sent to.
	mayHaveRun    bool        // An upstream may have run the request.
	answerStarted bool        // The current attempt's answer has started.
	attemptEvents int         // Events relayed in the current attempt.
	digest        uint64      // See requestDigest; zero until it is needed.
	begun         bool        // The current attempt's answer has gone so far that its prompt crashes no upstream.
	events        eventState
}

// serve answers one request.
func (r *Role) serve(w *httpd.Response, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	x := &exchange{role: r, w: w, r: req, arrived: r.clock.Now(), info: r.cfg.Dialect.ReadRequest(req.Header)}
	if r.draining.Load() || r.server.Conns() > r.cfg.MaxKeepAliveConns {
		w.Header().Set("Connection", "close")
	}
	if !x.resolveRoute() {
		return
	}
	timeout := x.route.Timeout
	if x.info.TimeLeft > 0 {
		timeout = min(timeout, x.info.TimeLeft)
	} else {
		timeout = min(timeout, defaultTimeout)
	}
	x.deadline = x.arrived.Add(timeout)
	x.job = x.newJob()
	if retryAfter, shed := r.shouldShed(x); shed {
		r.shed.Add(1)
		x.refuse(http.StatusServiceUnavailable, "entry_busy", retryAfter)
		return
	}
	defer x.stopWatching()
	if x.readBody() {
		x.run()
	}
}

// watchCaller sets x.ctx, which ends when the caller disconnects or the deadline passes.
// It is not called for requests that are refused at once, which saves processor time.
func (x *exchange) watchCaller() {
	if x.ctx == nil {
		x.ctx, x.cancel = context.WithDeadline(x.role.ctx, x.deadline)
		if x.w.SetWriteDeadline(x.deadline.Add(writeSlack)) != nil {
			x.cancel() // The connection is closed already.
			return
		}
		x.w.Watch(x.cancel)
	}
}

func (x *exchange) stopWatching() {
	if x.cancel != nil {
		x.cancel()
	}
}

// resolveRoute sets the route, the workspace and the service, or refuses the request.
func (x *exchange) resolveRoute() bool {
	x.table = x.role.table.Load()
	if x.table == nil {
		x.table = x.awaitManifest()
	}
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no_manifest", startRetryAfter)
		return false
	}
	var ok bool
	if x.route, ok = x.table.Match(hostOf(x.r), pathOf(x.r)); !ok {
		x.refuse(http.StatusNotFound, "no_route", 0)
		return false
	}
	x.rank = x.route.Rank
	if !x.route.Public {
		workspace, ok := x.table.WorkspaceByKey(x.info.WorkspaceKey)
		if !ok {
			if k, revoked := x.table.RevokedKey(x.info.WorkspaceKey); revoked {
				x.refusalFields = []any{"held_by", k.Workspace, "revoked_in", k.Version}
			}
			x.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
		x.workspace = workspace.Name
		if workspace.HasRank {
			x.rank = workspace.Rank
		}
	}
	x.service = x.pickService()
	return true
}

// startRetryAfter is the Retry-After of an entry that has just started and has no
// manifest yet.
const startRetryAfter = 500 * time.Millisecond

// pickService picks a service at random, by the weights of the route's split.
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

// targetOf returns the path and query as the caller sent them.
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

// readBody reads the complete body, within the limits. It returns false if the request
// was refused.
func (x *exchange) readBody() bool {
	limit := x.role.cfg.MaxBodyBytes
	if n := x.table.Limits.MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	if x.r.ContentLength == 0 {
		return true
	}
	body, err := x.w.ReadBody(limit, x.deadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case errors.Is(err, httpd.ErrMemory):
		x.refuse(http.StatusServiceUnavailable, "memory", memoryRetryAfter)
		return false
	case err != nil:
		x.logDecision("body_cut", "err", err)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// logDecision logs a decision on the request.
func (x *exchange) logDecision(kind string, keyvals ...any) {
	now := x.role.clock.Now()
	if skipped, ok := x.role.decisions.Allow(now, kind); ok {
		x.writeDecision(now, kind, skipped, keyvals)
	}
}

func (x *exchange) writeDecision(now time.Time, kind string, skipped int, keyvals []any) {
	fields := []any{"request", x.info.ID, "workspace", x.workspace, "service", x.service, "after", now.Sub(x.arrived).Round(time.Millisecond)}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "manifest", x.table.Version)
	}
	x.role.decisions.Write(kind, skipped, append(fields, keyvals...))
}

// blockNames returns the ids of the prompt's blocks that other requests may share, in
// hexadecimal.
func (x *exchange) blockNames() string {
	blocks := x.info.Prompt.SharedBlocks()
	names := make([]string, len(blocks))
	for i, b := range blocks {
		names[i] = strconv.FormatUint(b.ID, 16)
	}
	return strings.Join(names, ",")
}

// logRefusal logs a refusal. One for the workspace's share states the share and the
// usage that it was compared with.
func (x *exchange) logRefusal(status int, reason string, retryAfter time.Duration) {
	now := x.role.clock.Now()
	skipped, ok := x.role.decisions.Allow(now, "refused")
	if !ok {
		return
	}
	fields := []any{"status", status, "why", reason, "attempts", x.attempts, "retry_after", retryAfter}
	if r := place.Reason(reason); r == place.ReasonOverShare || r == place.ReasonLateRetry || r == place.ReasonOverload {
		x.role.mu.Lock()
		u := x.role.planner.ShareUsage(now, x.workspace)
		x.role.mu.Unlock()
		fields = append(fields, shareFields(&u)...)
	}
	if x.info.Resumes != "" || x.info.LastEvent != "" {
		fields = append(fields, "resumes", x.info.Resumes, "after_event", x.info.LastEvent)
	}
	x.writeDecision(now, "refused", skipped, append(fields, x.refusalFields...))
}

// memoryRetryAfter is the Retry-After of a refusal for lack of memory.
const memoryRetryAfter = time.Second

// refuse answers a request for which no upstream's answer is relayed: it has not run
// and never will, unless the status is 502 or 504.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	x.logRefusal(status, reason, retryAfter)
	x.role.requestMetrics.recordAnswer(x.service, reason, x.role.clock.Now().Sub(x.arrived))
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	body := reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		x.logDecision("caller_gone", "err", err)
	}
}
