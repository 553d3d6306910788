// Package httpx holds what the HTTP interfaces of all processes share: problem
// documents, JSON, the health, metrics and state pages, and a server that
// stops gracefully.
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

// Content types of answers.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
	ContentTypeText    = "text/plain; charset=utf-8"
)

// Names of the headers of the callers' interface.
const (
	HeaderProfile        = "Coltsfoot-Profile"
	HeaderIdempotent     = "Coltsfoot-Idempotent"
	HeaderTimeout        = "Coltsfoot-Timeout"
	HeaderOutcome        = "Coltsfoot-Outcome"
	HeaderWarning        = "Coltsfoot-Warning"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ErrBadBody says that a request's body is not the expected JSON document.
const ErrBadBody = errors.ConstError("body not valid")

// Problemf returns a problem document with the standard title of its status.
func Problemf(status int, format string, args ...any) api.Problem {
	return api.Problem{
		Type:   "about:blank",
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
	}
}

// WriteProblem answers with a problem document. Missing parts are filled in
// from the status, which is 500 when p has none.
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

// WriteJSON answers with a JSON document.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	writeDocument(ctx, status, ContentTypeJSON, v)
}

func writeDocument(ctx *fasthttp.RequestCtx, status int, contentType string, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		status = fasthttp.StatusInternalServerError
		contentType = ContentTypeProblem
		// A problem document always has a JSON form.
		body, _ = json.MarshalIndent(Problemf(status, "answer has no JSON form: %v", err), "", "  ")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(append(body, '\n'))
}

// ReadJSON reads the request's body into v. Unknown fields, a wrong type and
// anything after the document are errors of kind ErrBadBody.
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

// ETag returns the entity tag of an item's version.
func ETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// ParseETag returns the version of an entity tag made by ETag.
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
