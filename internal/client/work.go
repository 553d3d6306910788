package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/juju/errors"
)

// JobsQuery selects a page of the list of jobs. After is the Next of the page before,
// or empty for the first page; the zero Limit leaves the page size to the entry.
type JobsQuery struct {
	State api.JobState
	After string
	Limit int
}

// JobsPage is one page of the list of jobs. Next is the After of the next page, or "".
type JobsPage struct {
	Jobs []api.JobRecord `json:"jobs"`
	Next string          `json:"next"`
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// SubmitJob submits a job. The same key always gives the same job, so a call without
// a response can be repeated.
func (c *Client) SubmitJob(ctx context.Context, job api.JobRequest, key string) (api.JobRecord, error) {
	var record api.JobRecord
	body, header, err := jsonBody(job)
	if err != nil {
		return record, err
	}
	header.Set(httpx.HeaderIdempotencyKey, key)
	_, err = c.sendJSON(ctx, apiCall{method: http.MethodPost, path: "/v1/jobs", header: header, body: body}, &record)
	return record, err
}

// Jobs returns one page of the list of jobs.
func (c *Client) Jobs(ctx context.Context, q JobsQuery) (JobsPage, error) {
	query := url.Values{}
	if q.State != "" {
		query.Set("state", string(q.State))
	}
	if q.After != "" {
		query.Set("after", q.After)
	}
	if q.Limit > 0 {
		query.Set("limit", strconv.Itoa(q.Limit))
	}
	var page JobsPage
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs", query: query}, &page)
	return page, err
}

// Job returns a job. If wait is positive, the entry waits up to wait for the job to end.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (api.JobRecord, error) {
	call := apiCall{method: http.MethodGet, path: jobPath(id), wait: wait}
	if wait > 0 {
		call.query = url.Values{"wait": {wait.String()}}
	}
	var record api.JobRecord
	_, err := c.sendJSON(ctx, call, &record)
	return record, err
}

// CancelJob requests the cancellation of a job.
func (c *Client) CancelJob(ctx context.Context, id string) (api.JobRecord, error) {
	var record api.JobRecord
	_, err := c.sendJSON(ctx, apiCall{method: http.MethodDelete, path: jobPath(id)}, &record)
	return record, err
}

// Request is one request to a service.
type Request struct {
	Service     string
	Profile     string
	Key         string
	Idempotent  bool
	Timeout     time.Duration
	ContentType string
	Body        []byte
}

// Response is the complete response to a Request.
type Response struct {
	Outcome     api.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// Request sends a request to a service. A problem document of the entry is a
// ProblemError with an Outcome; a response of the service itself is a Response,
// whatever its status.
func (c *Client) Request(ctx context.Context, r Request) (Response, error) {
	header := http.Header{}
	setHeader(header, "Content-Type", r.ContentType)
	setHeader(header, httpx.HeaderProfile, r.Profile)
	setHeader(header, httpx.HeaderIdempotencyKey, r.Key)
	header.Set(httpx.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if r.Timeout > 0 {
		header.Set(httpx.HeaderTimeout, r.Timeout.String())
	}
	path := "/v1/services/" + url.PathEscape(r.Service) + "/requests"
	resp, err := c.send(ctx, apiCall{method: http.MethodPost, path: path, header: header, body: r.Body, wait: r.Timeout})
	if err != nil {
		return Response{}, err
	}
	outcome := api.Outcome(resp.header.Get(httpx.HeaderOutcome))
	contentType := resp.header.Get("Content-Type")
	if contentType == httpx.ContentTypeProblem && outcome != api.OutcomeDone {
		return Response{}, problemError(http.MethodPost, resp)
	}
	if outcome == "" {
		return Response{}, errors.Annotatef(ErrNoResponse, "answer with status %d names no outcome", resp.status)
	}
	return Response{outcome, resp.status, contentType, resp.body}, nil
}

func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
