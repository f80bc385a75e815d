package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Limits of one call.
const (
	CallTimeout      = 15 * time.Second
	retryDelay       = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
	maxHeaderBytes   = 64 << 10
)

// Error is a failed call. It has the problem that a control instance returned, or the
// code CodeNotAccepted or CodeOutcomeUnknown when none gave a final answer.
type Error struct {
	Status  int
	Problem Problem
}

// Error returns the problem's code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Code, e.Problem.Message)
}

// Client calls the API of several control instances and fails over between them.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client of the control instances whose base URLs are servers.
func NewClient(servers []string, token string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return &Client{servers: servers, token: token, http: &http.Client{Transport: t}}
}

// Get sends a query and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, out)
}

// Post sends in as JSON and decodes the response into out. The request must be
// idempotent, because it is retried at other control instances.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err, "Client.Post")
	}
	return c.call(ctx, http.MethodPost, path, nil, body, out)
}

// Change applies a change; it is resent with the same operation id while its
// outcome is unknown. For a refused change it returns the result and an *Error.
func (c *Client) Change(ctx context.Context, change cleat.Change) (cleat.ChangeResult, error) {
	var r cleat.ChangeResult
	err := c.Post(ctx, PathChanges, change, &r)
	var apiErr *Error
	if errors.As(err, &apiErr) && apiErr.Problem.Result != nil {
		return *apiErr.Problem.Result, err
	}
	return r, err
}

// Watch returns the settings of subtree that changed after a revision. It waits for a
// change for at most wait.
func (c *Client) Watch(ctx context.Context, subtree string, after cleat.Revision, wait time.Duration) (Watch, error) {
	q := url.Values{}
	q.Set("under", subtree)
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	var w Watch
	err := c.Get(ctx, PathWatch, q, &w)
	return w, err
}

// call tries the servers in turn until one gives a final answer, or until ctx or
// CallTimeout ends.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if len(c.servers) == 0 {
		return trace.BadParameter("Client.call: no server is given")
	}
	mayBeApplied := false
	for i := 0; ; i++ {
		server := c.servers[i%len(c.servers)]
		err := c.once(ctx, method, server+path+encodeQuery(query), body, out)
		if err == nil || isFinal(err) {
			return err
		}
		mayBeApplied = mayBeApplied || (body != nil && mayHaveApplied(err))
		if (i+1)%len(c.servers) != 0 && ctx.Err() == nil {
			continue
		}
		if !waitBeforeRetry(ctx) {
			return unansweredError(err, mayBeApplied)
		}
	}
}

func waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// mayHaveApplied reports whether a failed try may have applied the change. It can't
// have when the server answered CodeNotAccepted or the connection was never made.
func mayHaveApplied(err error) bool {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr.Problem.Code != CodeNotAccepted
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

// unansweredError returns the error of a call without a final answer.
func unansweredError(err error, mayBeApplied bool) error {
	if mayBeApplied {
		return &Error{Status: http.StatusGatewayTimeout, Problem: Problem{Code: CodeOutcomeUnknown, Message: err.Error()}}
	}
	return &Error{Status: http.StatusServiceUnavailable, Problem: Problem{Code: CodeNotAccepted, Message: err.Error()}}
}

// isFinal reports whether err is an answer that a retry at another control instance
// would not change.
func isFinal(err error) bool {
	var apiErr *Error
	if !errors.As(err, &apiErr) {
		return false
	}
	code := apiErr.Problem.Code
	return code != CodeNotAccepted && code != CodeOutcomeUnknown && apiErr.Status != http.StatusBadGateway
}

// once sends one request and decodes the response into out.
func (c *Client) once(ctx context.Context, method, target string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err, "Client.once")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "Client.once: %v", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return trace.ConnectionProblem(err, "Client.once: %v", err)
	}
	if len(answer) > maxResponseBytes {
		return trace.ConnectionProblem(nil, "Client.once: the response has more than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, answer)
	}
	if out == nil || len(answer) == 0 {
		return nil
	}
	return trace.Wrap(json.Unmarshal(answer, out), "Client.once")
}

func responseError(status int, answer []byte) error {
	e := &Error{Status: status}
	if err := json.Unmarshal(answer, &e.Problem); err != nil || e.Problem.Code == "" {
		return trace.ConnectionProblem(nil, "the server answered with status %d", status)
	}
	return e
}

func encodeQuery(query url.Values) string {
	if len(query) == 0 {
		return ""
	}
	return "?" + query.Encode()
}
