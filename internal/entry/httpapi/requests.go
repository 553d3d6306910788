package httpapi

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/requests"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

func (a *API) postRequest(ctx *fasthttp.RequestCtx) {
	call, err := readCall(ctx)
	if err != nil {
		writeNotRun(ctx, fasthttp.StatusBadRequest, 0, "%v", err)
		return
	}
	profile, ok := a.lookupProfile(ctx, call.Profile.Name, call.Key != "" && !call.Idempotent)
	if !ok {
		return
	}
	call.Profile = profile
	if call.Timeout == 0 {
		call.Timeout = defaultRequestTimeout
		if profile.Timeout > 0 {
			call.Timeout = profile.Timeout.D()
		}
	}
	reply, err := a.Requests.Submit(call)
	if err != nil {
		writeNotRun(ctx, fasthttp.StatusServiceUnavailable, time.Second, "%v", err)
		return
	}
	writeReply(ctx, reply)
}

func readCall(ctx *fasthttp.RequestCtx) (requests.Call, error) {
	call := requests.Call{
		Service:     pathValue(ctx, "service"),
		Profile:     api.Profile{Name: string(ctx.Request.Header.Peek(httpx.HeaderProfile))},
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
	if call.Profile.Name == "" {
		return call, errors.NotValidf("missing header %s", httpx.HeaderProfile)
	}
	var err error
	if call.Key, err = idempotencyKeyHeader(ctx); err != nil {
		return call, err
	}
	if call.Idempotent, err = boolHeader(ctx, httpx.HeaderIdempotent, false); err != nil {
		return call, err
	}
	call.Timeout, err = timeoutHeader(ctx)
	return call, err
}

// timeoutHeader returns 0 if the header is absent.
func timeoutHeader(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(httpx.HeaderTimeout))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxRequestTimeout {
		return 0, errors.NotValidf("header %s %q (want a Go duration up to %v)", httpx.HeaderTimeout, text, maxRequestTimeout)
	}
	return d, nil
}

// writeReply writes the response to a request. A response from a minion is passed
// through with its status; the entry's own responses are problem documents.
func writeReply(ctx *fasthttp.RequestCtx, reply requests.Reply) {
	ctx.Response.Header.Set(httpx.HeaderOutcome, string(reply.Outcome))
	if reply.HasBody && reply.Status > 0 {
		ctx.SetStatusCode(reply.Status)
		ctx.SetContentType(reply.ContentType)
		ctx.SetBody(reply.Body)
		return
	}
	p := httpx.Problemf(replyStatus(reply), "%s", replyDetail(reply))
	p.RetryAfter = retryAfterSeconds(reply.RetryAfter)
	httpx.WriteProblem(ctx, p)
}

func replyStatus(reply requests.Reply) int {
	switch reply.Outcome {
	case api.OutcomeFailed:
		return fasthttp.StatusBadGateway
	case api.OutcomeUnknown, api.OutcomeDone:
		if reply.RetryAfter > 0 {
			return fasthttp.StatusServiceUnavailable
		}
		return fasthttp.StatusGatewayTimeout
	}
	switch reply.Reason {
	case requests.ReasonKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case route.ReasonQueueFull:
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

func replyDetail(reply requests.Reply) string {
	if reply.Detail == "" {
		return string(reply.Reason)
	}
	return string(reply.Reason) + ": " + reply.Detail
}
