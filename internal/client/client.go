// Package client is an HTTP client of the API that an entry offers to callers and
// operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/juju/errors"
)

// Errors of calls without a complete response. After ErrUnreachable nothing has been
// changed; after ErrNoResponse a change may or may not have taken effect.
const (
	ErrUnreachable = errors.ConstError("entry not reachable")
	ErrNoResponse  = errors.ConstError("no complete answer from the entry")
)

// ProblemError is an error response of the entry.
type ProblemError struct {
	Problem api.Problem
	// Outcome is the outcome that the entry reports, or empty.
	Outcome api.Outcome
	// Mutating is true for calls that request a change or submit work.
	Mutating bool
}

// Error returns the problem's title and detail.
func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return fmt.Sprintf("%s: %s", e.Problem.Title, e.Problem.Detail)
}

// idleConnTimeout closes the connections of a client that is no longer used.
const idleConnTimeout = 2 * time.Second

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client sends calls to one entry, or to the balancer in front of the entries.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
}

// New returns a client for the address, which is HOST:PORT or a base URL.
// The timeout bounds each call; the time that a call asks the entry to wait is added.
func New(address string, timeout time.Duration) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{
		baseURL: strings.TrimRight(address, "/"),
		timeout: timeout,
		httpClient: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnTimeout,
		}},
	}
}

// apiCall describes one HTTP request to the entry.
type apiCall struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// wait is added to the client's timeout.
	wait time.Duration
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends the call and returns the complete response, whatever its status.
func (c *Client) send(ctx context.Context, call apiCall) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	target := c.baseURL + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return response{}, errors.NewNotValid(err, "entry address")
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	sent := false
	resp, err := c.httpClient.Do(withSentTrace(req, &sent))
	if err != nil {
		return response{}, transportError(call.method, sent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, transportError(call.method, sent, err)
	}
	if len(body) > maxResponseBytes {
		return response{}, errors.Annotatef(ErrNoResponse, "answer exceeds %d bytes", maxResponseBytes)
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

// transportError returns ErrUnreachable if the call cannot have had an effect, and
// ErrNoResponse if it may have.
func transportError(method string, sent bool, err error) error {
	if !sent || method == http.MethodGet {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	return errors.Annotate(ErrNoResponse, err.Error())
}

// sendJSON sends the call and decodes the response into out, unless out is nil. A
// status of 400 or more is a ProblemError.
func (c *Client) sendJSON(ctx context.Context, call apiCall, out any) (response, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return resp, err
	}
	if resp.status >= http.StatusBadRequest {
		return resp, problemError(call.method, resp)
	}
	if out == nil || len(resp.body) == 0 {
		return resp, nil
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return resp, errors.Annotatef(ErrNoResponse, "answer of %s %s not understood: %v", call.method, call.path, err)
	}
	return resp, nil
}

func problemError(method string, resp response) error {
	e := &ProblemError{Outcome: api.Outcome(resp.header.Get(httpx.HeaderOutcome)), Mutating: method != http.MethodGet}
	if err := json.Unmarshal(resp.body, &e.Problem); err != nil || e.Problem.Title == "" {
		e.Problem = api.Problem{Title: http.StatusText(resp.status), Detail: string(bytes.TrimSpace(resp.body))}
	}
	e.Problem.Status = resp.status
	if seconds, err := strconv.Atoi(resp.header.Get("Retry-After")); err == nil {
		e.Problem.RetryAfter = seconds
	}
	return e
}

func jsonBody(v any) ([]byte, http.Header, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	return body, http.Header{"Content-Type": {httpx.ContentTypeJSON}}, nil
}
