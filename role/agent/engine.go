package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	connectTimeout  = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	idleConns       = 128
	maxAnswerHeader = 64 << 10
	maxProblemBytes = 256
)

// HTTPEngine reaches one upstream over HTTP.
type HTTPEngine struct {
	base      string
	canResume bool
	stall     time.Duration
	order     time.Duration
	repeat    *http.Transport // Keeps connections; may send a request again by itself.
	once      *http.Transport // A connection for each request, so that none is sent twice.
}

// NewHTTPEngine returns a client of the upstream that announced itself with a;
// stall bounds its silence, order the time for an order.
func NewHTTPEngine(a cleat.Announcement, stall, order time.Duration) (*HTTPEngine, error) {
	base := a.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("NewHTTPEngine: address %q is no host:port or http URL", a.Address)
	}
	return &HTTPEngine{
		base: strings.TrimSuffix(base, "/"), canResume: a.CanResume, stall: stall, order: order,
		repeat: newTransport(false), once: newTransport(true),
	}, nil
}

func newTransport(once bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      once,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        readBytes,
		ReadBufferSize:         readBytes,
	}
}

// Close closes idle connections.
func (e *HTTPEngine) Close() {
	e.repeat.CloseIdleConnections()
	e.once.CloseIdleConnections()
}

// Run hands the call over and feeds the answer to sink until it ends or ctx is done.
func (e *HTTPEngine) Run(ctx context.Context, c cleat.Call, sink cleat.AnswerSink) cleat.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{engine: e, call: c, sink: sink, ctx: ctx, begun: time.Now()}
	x.stall = newStallTimer(e.stall, c.Repeatable, func() { cancel(errStalled) })
	defer x.stall.stop()
	return x.run()
}

// Order carries out an order; a trace.CompareFailed error means the upstream refused its fence.
func (e *HTTPEngine) Order(ctx context.Context, o cleat.Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.order)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+cleat.PathUpstreamOrders, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Order")
	}
	req.Header.Set("Content-Type", "application/json")
	status, problem, err := e.ask(req)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Order")
	}
	if status == http.StatusConflict {
		return trace.CompareFailed("HTTPEngine.Order: the upstream refused fencing number %d: %s", o.Fence, problem)
	}
	if status >= http.StatusMultipleChoices {
		return trace.BadParameter("HTTPEngine.Order: the upstream answered %d: %s", status, problem)
	}
	return nil
}

// Probe checks that the upstream answers within timeout.
func (e *HTTPEngine) Probe(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+cleat.PathUpstreamHealth, nil)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Probe")
	}
	status, problem, err := e.ask(req)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Probe")
	}
	if status >= http.StatusInternalServerError {
		return trace.ConnectionProblem(nil, "HTTPEngine.Probe: the upstream answered %d: %s", status, problem)
	}
	return nil
}

func (e *HTTPEngine) ask(req *http.Request) (status int, problem string, err error) {
	resp, err := e.once.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	return resp.StatusCode, string(bytes.TrimSpace(b)), err
}
