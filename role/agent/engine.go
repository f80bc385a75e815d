package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/upconn"
)

const (
	connectTimeout         = 2 * time.Second
	idleConnTimeout        = 90 * time.Second
	maxIdleConns           = 128
	maxResponseHeaderBytes = 64 << 10
	defaultMaxAnswerBytes  = 256 << 20
	maxProblemBytes        = 256
)

// HTTPEngine is the HTTP client of one upstream.
type HTTPEngine struct {
	base           string
	canResume      bool
	maxAnswerBytes int64 // Of a body; a longer answer fails.
	stallTimeout   time.Duration
	orderTimeout   time.Duration
	keepAlive      *http.Transport // Reuses connections, and may therefore resend a request by itself.
	singleUse      *http.Transport // Opens a connection for each request, so that no request is sent twice.
}

// NewHTTPEngine returns a client of the upstream announced by a. stallTimeout limits
// how long the upstream may send nothing during a repeatable call, and orderTimeout
// limits an order.
func NewHTTPEngine(a cleat.Announcement, stallTimeout, orderTimeout time.Duration) (*HTTPEngine, error) {
	base := a.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("NewHTTPEngine: address %q is neither host:port nor an http or https URL", a.Address)
	}
	return &HTTPEngine{
		base: strings.TrimSuffix(base, "/"), canResume: a.CanResume, stallTimeout: stallTimeout, orderTimeout: orderTimeout,
		keepAlive: newTransport(false), singleUse: newTransport(true), maxAnswerBytes: defaultMaxAnswerBytes,
	}, nil
}

func newTransport(singleUse bool) *http.Transport {
	d := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:            dialUpstream(d.DialContext),
		DialTLSContext:         dialUpstream((&tls.Dialer{NetDialer: d}).DialContext),
		DisableCompression:     true,
		DisableKeepAlives:      singleUse,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        readBufferBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialUpstream returns a dialFunc that makes connections by dial, and checks what they carry.
func dialUpstream(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return upconn.New(c), nil
	}
}

// Close closes idle connections.
func (e *HTTPEngine) Close() {
	e.keepAlive.CloseIdleConnections()
	e.singleUse.CloseIdleConnections()
}

// Run sends the call and writes the answer to sink until the answer ends or ctx is done.
func (e *HTTPEngine) Run(ctx context.Context, c cleat.Call, sink cleat.AnswerSink) cleat.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{engine: e, call: c, sink: sink, ctx: ctx, startedAt: time.Now()}
	x.stall = newStallTimer(e.stallTimeout, c.Repeatable, func() { cancel(errStalled) })
	defer x.stall.stop()
	return x.run()
}

// Order sends an order to the upstream. A trace.CompareFailed error means that the
// upstream refused its fencing number.
func (e *HTTPEngine) Order(ctx context.Context, o cleat.Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.orderTimeout)
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
	status, problem, err := e.roundTrip(req)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Order")
	}
	if status == http.StatusConflict {
		return trace.CompareFailed("HTTPEngine.Order: the upstream refused fencing number %d: %s", o.Fence, problem)
	}
	if status >= http.StatusMultipleChoices {
		return trace.BadParameter("HTTPEngine.Order: the upstream answered with status %d: %s", status, problem)
	}
	return nil
}

// Probe checks that the upstream's health path answers within timeout with a status below 500.
func (e *HTTPEngine) Probe(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+cleat.PathUpstreamHealth, nil)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Probe")
	}
	status, problem, err := e.roundTrip(req)
	if err != nil {
		return trace.Wrap(err, "HTTPEngine.Probe")
	}
	if status >= http.StatusInternalServerError {
		return trace.ConnectionProblem(nil, "HTTPEngine.Probe: the upstream answered with status %d: %s", status, problem)
	}
	return nil
}

// roundTrip sends req and returns the response's status and the start of its body, which
// explains the problem if the request failed.
func (e *HTTPEngine) roundTrip(req *http.Request) (status int, problem string, err error) {
	resp, err := e.singleUse.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	return resp.StatusCode, string(bytes.TrimSpace(b)), err
}
