package external

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Limits of one client.
const (
	maxConnsPerClient = 64
	// maxIdleConnDuration is shorter than the servers' idle timeout: if a server
	// closes a connection during a call, the client cannot tell whether the
	// request was received.
	maxIdleConnDuration = time.Second
	maxResponseBytes    = 64 << 20
	connectTimeout      = time.Second
)

// notSentError wraps an error that occurred before the first byte of the request
// was written.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// Is makes a notSentError an ErrNotSent.
func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// client sends requests to one platform service. It never retries.
type client struct {
	service     string
	base        string
	timeout     time.Duration
	http        *fasthttp.HostClient
	guardedPool *guardedClientPool
}

func newClient(service, url string, timeout time.Duration) *client {
	address := strings.TrimPrefix(strings.TrimRight(url, "/"), "http://")
	return &client{
		service:     service,
		base:        "http://" + address,
		timeout:     timeout,
		http:        NewHostClient(address, maxConnsPerClient),
		guardedPool: &guardedClientPool{address: address},
	}
}

// NewHostClient returns an HTTP client for one address. It never retries.
func NewHostClient(address string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dial connects within the timeout of the request, so that a hung connection
// attempt fails as not sent while the caller still waits. A timeout of 0 means none.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > connectTimeout {
		timeout = connectTimeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &notSentError{err}
	}
	return conn, nil
}

// do sends req and reads at least the header of the response, within the earlier
// of ctx's deadline and the client's timeout. The caller must call release after
// it has read the body of resp.
func (c *client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (release func(), err error) {
	startBy, ok := StartBy(ctx)
	if !ok {
		return func() {}, c.doWith(ctx, c.http, req, resp)
	}
	guarded, err := c.guardedPool.acquire(startBy)
	if err != nil {
		return func() {}, err
	}
	return func() { c.guardedPool.release(guarded) }, c.doWith(ctx, guarded.http, req, resp)
}

func (c *client) doWith(ctx context.Context, httpClient *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return &notSentError{err}
	}
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err := httpClient.DoDeadline(req, resp, deadline)
	if err == fasthttp.ErrNoFreeConns {
		return &notSentError{err}
	}
	return err
}

// exchange sends one request and returns a copy of the response body. It returns
// ErrNotFound for status 404 and ErrUnavailable for any other status that is
// not 2xx; that is an ErrInvalid as well if the service rejects the content.
func (c *client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.SetBodyRaw(body)
	release, err := c.do(ctx, req, resp)
	defer release()
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "%s: %s %s", c.service, method, path), ErrUnavailable)
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotFound:
		return nil, errors.Annotatef(ErrNotFound, "%s: %s %s", c.service, method, path)
	case RejectsContent(status):
		return nil, errors.WithType(errors.Annotatef(ErrInvalid, "%s: %s %s: status %d", c.service, method, path, status), ErrUnavailable)
	case status < 200 || status > 299:
		return nil, errors.Annotatef(ErrUnavailable, "%s: %s %s: status %d", c.service, method, path, status)
	}
	return bytes.Clone(resp.Body()), nil
}

// RejectsContent reports whether an HTTP status means that the service has rejected a
// request for its content, not for the service's own state.
func RejectsContent(status int) bool {
	switch status {
	case fasthttp.StatusBadRequest, fasthttp.StatusForbidden, fasthttp.StatusRequestEntityTooLarge,
		fasthttp.StatusRequestURITooLong, fasthttp.StatusUnprocessableEntity, fasthttp.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// post sends in as JSON and decodes the response into out, which may be nil.
func (c *client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Annotatef(err, "%s: %s", c.service, path)
	}
	respBody, err := c.exchange(ctx, fasthttp.MethodPost, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return errors.WithType(errors.Annotatef(err, "%s: %s: answer", c.service, path), ErrUnavailable)
	}
	return nil
}
