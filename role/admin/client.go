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

// Bounds of one call.
const (
	CallTimeout   = 15 * time.Second
	retryDelay    = 300 * time.Millisecond
	maxAnswerSize = 64 << 20
)

// Error is a call that the control instances answered with a problem.
type Error struct {
	Status  int
	Problem Problem
}

// Error returns the problem's code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Code, e.Problem.Message)
}

// Client calls the API of any of several control instances.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client of the control instances at servers, as base URLs.
func NewClient(servers []string, token string) *Client {
	return &Client{servers: servers, token: token, http: &http.Client{}}
}

// Get returns the answer to a query in out.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, out)
}

// Post sends in, which must be safe to resend, and returns the answer in out.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err, "Client.Post")
	}
	return c.call(ctx, http.MethodPost, path, nil, body, out)
}

// Change applies a change; it is resent with the same operation id while its
// fate is unknown. A refused change is an *Error with its result.
func (c *Client) Change(ctx context.Context, change cleat.Change) (cleat.ChangeResult, error) {
	var r cleat.ChangeResult
	err := c.Post(ctx, PathChanges, change, &r)
	var failed *Error
	if errors.As(err, &failed) && failed.Problem.Result != nil {
		return *failed.Problem.Result, err
	}
	return r, err
}

// Watch waits until the settings under a subtree are later than a revision, at
// most for wait.
func (c *Client) Watch(ctx context.Context, under string, after cleat.Revision, wait time.Duration) (Watch, error) {
	q := url.Values{}
	q.Set("under", under)
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	var w Watch
	err := c.Get(ctx, PathWatch, q, &w)
	return w, err
}

// call asks the servers in turn until one gives a final answer or ctx ends.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if len(c.servers) == 0 {
		return trace.BadParameter("Client.call: no server is given")
	}
	doubt := false
	for i := 0; ; i++ {
		server := c.servers[i%len(c.servers)]
		err := c.once(ctx, method, server+path+encode(query), body, out)
		if err == nil || final(err) {
			return err
		}
		doubt = doubt || (body != nil && mayHaveArrived(err))
		if (i+1)%len(c.servers) != 0 && ctx.Err() == nil {
			continue
		}
		if !pause(ctx) {
			return undecided(err, doubt)
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// mayHaveArrived tells whether a failed try may have changed something.
func mayHaveArrived(err error) bool {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Problem.Code != CodeNotAccepted
	}
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

// undecided is the outcome of a call that no server answered finally.
func undecided(err error, doubt bool) error {
	if doubt {
		return &Error{Status: http.StatusGatewayTimeout, Problem: Problem{Code: CodeFateUnknown, Message: err.Error()}}
	}
	return &Error{Status: http.StatusServiceUnavailable, Problem: Problem{Code: CodeNotAccepted, Message: err.Error()}}
}

// final tells whether asking another instance would change nothing.
func final(err error) bool {
	var failed *Error
	if !errors.As(err, &failed) {
		return false
	}
	code := failed.Problem.Code
	return code != CodeNotAccepted && code != CodeFateUnknown && failed.Status != http.StatusBadGateway
}

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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return trace.ConnectionProblem(err, "Client.once: %v", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return failure(resp.StatusCode, answer)
	}
	if out == nil || len(answer) == 0 {
		return nil
	}
	return trace.Wrap(json.Unmarshal(answer, out), "Client.once")
}

func failure(status int, answer []byte) error {
	e := &Error{Status: status}
	if err := json.Unmarshal(answer, &e.Problem); err != nil || e.Problem.Code == "" {
		return trace.ConnectionProblem(nil, "the server answered with status %d", status)
	}
	return e
}

func encode(query url.Values) string {
	if len(query) == 0 {
		return ""
	}
	return "?" + query.Encode()
}
