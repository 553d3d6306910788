package httpapi

import (
	"context"
	"strconv"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	maxWait          = 5 * time.Minute
	defaultListLimit = 100
	maxListLimit     = 1000
	// maxPayloadBytes bounds a job's payload, which is stored in the job's row and
	// held in the owner's memory. Larger inputs belong in the object store.
	maxPayloadBytes = 64 << 10
)

// JobList is the response body of GET /v1/jobs. Next is the "after" parameter of
// the next page, or empty after the last page.
type JobList struct {
	Jobs []api.JobRecord `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

func (a *API) postJob(ctx *fasthttp.RequestCtx) {
	job, err := readJob(ctx)
	if err != nil {
		writeNotRun(ctx, fasthttp.StatusBadRequest, 0, "%v", err)
		return
	}
	profile, ok := a.lookupProfile(ctx, job.Profile, job.IdempotencyKey != "")
	if !ok {
		return
	}
	job.ID = jobs.JobID(profile.ClientAccount, job.IdempotencyKey)
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if !job.Deadline.IsZero() && job.Deadline.Before(job.Submitted) {
		a.rejectJob(ctx, storeCtx, job, fasthttp.StatusBadRequest, "%v", errors.NotValidf("deadline: %v has passed", job.Deadline))
		return
	}
	if reason, never := a.Scheduler.NeverFits(job); never {
		a.rejectJob(ctx, storeCtx, job, fasthttp.StatusUnprocessableEntity, "job can never run: %s", reason)
		return
	}
	// Set before the write, so that a caller without a key can look up a job
	// whose write has an unknown outcome.
	ctx.Response.Header.Set("Location", "/v1/jobs/"+job.ID)
	record, created, err := a.Jobs.Create(storeCtx, job)
	switch {
	case errors.Is(err, jobs.ErrKeyReused):
		writeProblem(ctx, fasthttp.StatusUnprocessableEntity, "%v", err)
		return
	case err != nil:
		metrics.GetOrRegisterCounter("jobs.refused.store", a.Registry).Inc(1)
		writeStoreProblem(ctx, err)
		return
	}
	if created {
		metrics.GetOrRegisterCounter("jobs.accepted", a.Registry).Inc(1)
		a.notifyScheduler(record)
	}
	httpx.WriteJSON(ctx, fasthttp.StatusAccepted, record)
}

// rejectJob rejects a job that cannot run now. If an earlier call with the same key
// created the job, it returns that job's record instead: the job may have been valid
// then, before its deadline passed or workers left.
func (a *API) rejectJob(ctx *fasthttp.RequestCtx, storeCtx context.Context, job api.Job, status int, format string, args ...any) {
	if job.IdempotencyKey == "" {
		writeNotRun(ctx, status, 0, format, args...)
		return
	}
	record, err := a.Jobs.GetRecord(storeCtx, job.ID)
	switch {
	case errors.Is(err, jobs.ErrJobNotFound):
		writeNotRun(ctx, status, 0, format, args...)
	case err != nil:
		writeStoreProblem(ctx, err)
	default:
		httpx.WriteJSON(ctx, fasthttp.StatusAccepted, record)
	}
}

// notifyScheduler notifies the owner of the cell of a new job. A lost notification
// only delays the job: the owner's scan of the rows finds it.
func (a *API) notifyScheduler(record api.JobRecord) {
	if !a.Scheduler.AddSubmitted(record) {
		a.Notifier.JobChanged(record.Job.ID)
	}
}

func readJob(ctx *fasthttp.RequestCtx) (api.Job, error) {
	var r api.JobRequest
	if err := httpx.ReadJSON(ctx, &r); err != nil {
		return api.Job{}, err
	}
	key, err := idempotencyKeyHeader(ctx)
	if err != nil {
		return api.Job{}, err
	}
	job := api.Job{
		IdempotencyKey: key,
		Profile:        r.Profile,
		Gang:           r.Gang,
		Payload:        r.Payload,
		Idempotent:     r.Idempotent,
		Checkpointable: r.Checkpointable,
		DeclaredRun:    r.DeclaredRun,
		Deadline:       r.Deadline,
		Submitted:      time.Now().UTC(),
	}
	return job, validateJob(job)
}

func validateJob(job api.Job) error {
	if job.Profile == "" {
		return errors.NotValidf("profile: missing")
	}
	if len(job.Payload) > maxPayloadBytes {
		return errors.NotValidf("payload: %d bytes (at most %d)", len(job.Payload), maxPayloadBytes)
	}
	if job.DeclaredRun < 0 {
		return errors.NotValidf("declared_run: %v", job.DeclaredRun.D())
	}
	return job.Gang.Validate("gang")
}

func (a *API) getJob(ctx *fasthttp.RequestCtx) {
	wait, err := waitParam(ctx)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	id := pathValue(ctx, "id")
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := a.Jobs.GetRecord(storeCtx, id)
	if err == nil && wait > 0 && record.State != api.JobFinal {
		record = a.awaitJob(id, wait, record)
	}
	writeJobRecord(ctx, fasthttp.StatusOK, record, err)
}

// awaitJob waits for the job's final record. It returns the given record if the wait
// times out or a planned stop begins; the caller can then wait at another entry.
func (a *API) awaitJob(id string, wait time.Duration, record api.JobRecord) api.JobRecord {
	waitCtx, cancel := context.WithTimeout(a.Serving(), wait)
	defer cancel()
	if final, err := a.Waiters.Wait(waitCtx, id); err == nil {
		return final
	}
	return record
}

func writeJobRecord(ctx *fasthttp.RequestCtx, status int, record api.JobRecord, err error) {
	switch {
	case errors.Is(err, jobs.ErrJobNotFound):
		writeProblem(ctx, fasthttp.StatusNotFound, "%v", err)
	case err != nil:
		writeStoreProblem(ctx, err)
	default:
		if record.State == api.JobFinal {
			ctx.Response.Header.Set(httpx.HeaderOutcome, string(record.Outcome))
		}
		httpx.WriteJSON(ctx, status, record)
	}
}

func waitParam(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxWait {
		return 0, errors.NotValidf("wait %q (want a Go duration up to %v)", text, maxWait)
	}
	return d, nil
}

func (a *API) cancelJob(ctx *fasthttp.RequestCtx) {
	id := pathValue(ctx, "id")
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := a.Jobs.RequestCancel(storeCtx, id)
	if errors.Is(err, jobs.ErrJobFinal) {
		writeJobRecord(ctx, fasthttp.StatusOK, record, nil)
		return
	}
	if err == nil {
		a.Notifier.JobChanged(id)
	}
	writeJobRecord(ctx, fasthttp.StatusAccepted, record, err)
}

func (a *API) listJobs(ctx *fasthttp.RequestCtx) {
	limit, err := limitParam(ctx)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	state := api.JobState(ctx.QueryArgs().Peek("state"))
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	records, next, err := a.Jobs.ListRecords(storeCtx, string(ctx.QueryArgs().Peek("after")), limit)
	if err != nil {
		writeStoreProblem(ctx, err)
		return
	}
	page := JobList{Jobs: []api.JobRecord{}, Next: next}
	for _, r := range records {
		if state == "" || r.State == state {
			page.Jobs = append(page.Jobs, r)
		}
	}
	httpx.WriteJSON(ctx, fasthttp.StatusOK, page)
}

func limitParam(ctx *fasthttp.RequestCtx) (int, error) {
	text := string(ctx.QueryArgs().Peek("limit"))
	if text == "" {
		return defaultListLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxListLimit {
		return 0, errors.NotValidf("limit %q (want 1 to %d)", text, maxListLimit)
	}
	return n, nil
}
