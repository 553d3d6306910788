package external

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

type minionClient struct{ *client }

// NewMinionClient returns a client of the minion at url. A call ends at the
// earlier of its context's deadline and timeout.
func NewMinionClient(url string, timeout time.Duration) Minion {
	c := newClient("minion", url, timeout)
	// A streamed body keeps the Content-Length, which distinguishes a complete
	// response from a truncated one.
	c.http.StreamResponseBody = true
	c.guardedPool.streamBody = true
	return minionClient{c}
}

func (c minionClient) Healthy(ctx context.Context) error {
	_, err := c.exchange(ctx, fasthttp.MethodGet, PathHealth, nil)
	return err
}

func (c minionClient) Call(ctx context.Context, call MinionRequest) (MinionReply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.base + PathMinionCall)
	req.Header.SetContentType(call.ContentType)
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	req.SetBodyRaw(call.Body)
	release, err := c.do(ctx, req, resp)
	defer release()
	defer fasthttp.ReleaseResponse(resp) // must run before release, which frees the connection
	if err != nil {
		return MinionReply{}, callError(err)
	}
	body, err := completeBody(resp)
	if err != nil {
		return MinionReply{}, callError(err)
	}
	return MinionReply{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}, nil
}

// callError returns ErrNotSent for calls that certainly did not reach the minion,
// and ErrUnavailable for all others.
func callError(err error) error {
	if errors.Is(err, ErrNotSent) {
		return errors.Annotate(err, "calling minion")
	}
	return errors.WithType(errors.Annotate(err, "calling minion"), ErrUnavailable)
}

// completeBody reads the body and returns an error unless it is certainly
// complete. A response that is neither chunked nor has a length ends when the
// connection closes, so truncation cannot be detected.
func completeBody(resp *fasthttp.Response) ([]byte, error) {
	length := resp.Header.ContentLength()
	if length < -1 {
		return nil, errors.New("answer without a length")
	}
	if resp.BodyStream() == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxResponseBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "reading answer")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("answer is larger than %d bytes", maxResponseBytes)
	}
	if length >= 0 && len(body) != length {
		return nil, errors.Errorf("answer has %d of %d bytes", len(body), length)
	}
	return body, nil
}
