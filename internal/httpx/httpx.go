// Package httpx provides what the HTTP interfaces of all processes share:
// problem documents, JSON bodies, the health, metrics and state pages, and a
// server with graceful shutdown.
package httpx

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Content types of responses.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
	ContentTypeText    = "text/plain; charset=utf-8"
)

// Header names of the API for callers.
const (
	HeaderProfile        = "Coltsfoot-Profile"
	HeaderIdempotent     = "Coltsfoot-Idempotent"
	HeaderTimeout        = "Coltsfoot-Timeout"
	HeaderOutcome        = "Coltsfoot-Outcome"
	HeaderWarning        = "Coltsfoot-Warning"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ErrBadBody is returned when a request body is not the expected JSON document.
const ErrBadBody = errors.ConstError("body not valid")

// Problemf returns a problem document with the standard title of its status and
// a formatted detail.
func Problemf(status int, format string, args ...any) api.Problem {
	return api.Problem{
		Type:   "about:blank",
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
	}
}

// WriteProblem responds with a problem document. A missing type or title is
// derived from the status, which defaults to 500.
func WriteProblem(ctx *fasthttp.RequestCtx, p api.Problem) {
	if p.Status == 0 {
		p.Status = fasthttp.StatusInternalServerError
	}
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = fasthttp.StatusMessage(p.Status)
	}
	if p.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	writeDocument(ctx, p.Status, ContentTypeProblem, p)
}

// WriteJSON responds with v encoded as JSON, or with a problem document of
// status 500 if v cannot be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	writeDocument(ctx, status, ContentTypeJSON, v)
}

func writeDocument(ctx *fasthttp.RequestCtx, status int, contentType string, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		status = fasthttp.StatusInternalServerError
		contentType = ContentTypeProblem
		// Encoding a problem document cannot fail.
		body, _ = json.MarshalIndent(Problemf(status, "answer has no JSON form: %v", err), "", "  ")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(append(body, '\n'))
}

// ReadJSON decodes the request body into v. An empty body, unknown fields, wrong
// types and data after the document are errors of kind ErrBadBody.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.Annotate(ErrBadBody, "empty, want a JSON document")
		}
		return errors.Annotate(ErrBadBody, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Annotate(ErrBadBody, "text after the JSON document")
	}
	return nil
}

// ETag returns the entity tag for a version of an item.
func ETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// ParseETag returns the version in an entity tag made by ETag.
func ParseETag(tag string) (uint64, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.NotValidf("entity tag %q (want a quoted version such as \"12\")", tag)
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.NotValidf("entity tag %q (want a quoted version such as \"12\")", tag)
	}
	return version, nil
}
