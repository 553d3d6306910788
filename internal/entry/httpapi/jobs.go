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
	maxWait        = 5 * time.Minute
	defaultListing = 100
	maxListing     = 1000
	maxGangTasks   = 1024
	// maxPayloadBytes bounds a job's payload, which is kept in its row and in
	// the owner's memory. Larger inputs belong into the object store.
	maxPayloadBytes = 64 << 10
)

// JobList is the answer to a listing. Next is the id to go on after.
type JobList struct {
	Jobs []api.JobRecord `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

func (a *API) postJob(ctx *fasthttp.RequestCtx) {
	job, err := readJob(ctx)
	if err != nil {
		notRun(ctx, fasthttp.StatusBadRequest, 0, "%v", err)
		return
	}
	profile, ok := a.profile(ctx, job.Profile, job.IdempotencyKey != "")
	if !ok {
		return
	}
	job.ID = jobs.JobID(profile.ClientAccount, job.IdempotencyKey)
	c, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if !job.Deadline.IsZero() && job.Deadline.Before(job.Submitted) {
		a.refuseJob(ctx, c, job, fasthttp.StatusBadRequest, "%v", errors.NotValidf("deadline: %v has passed", job.Deadline))
		return
	}
	if reason, never := a.Scheduler.NeverFits(job); never {
		a.refuseJob(ctx, c, job, fasthttp.StatusUnprocessableEntity, "job can never run: %s", reason)
		return
	}
	// Set before the write, so that a caller without a key can ask for a job
	// whose write got no answer.
	ctx.Response.Header.Set("Location", "/v1/jobs/"+job.ID)
	record, created, err := a.Jobs.Create(c, job)
	switch {
	case errors.Is(err, jobs.ErrKeyReused):
		problem(ctx, fasthttp.StatusUnprocessableEntity, "%v", err)
		return
	case err != nil:
		metrics.GetOrRegisterCounter("jobs.refused.store", a.Registry).Inc(1)
		storeProblem(ctx, err)
		return
	}
	if created {
		metrics.GetOrRegisterCounter("jobs.accepted", a.Registry).Inc(1)
		a.announce(record)
	}
	httpx.WriteJSON(ctx, fasthttp.StatusAccepted, record)
}

// refuseJob refuses a job that could not run now. One that an earlier call with
// the same key has brought is answered as it stands, since time has passed and
// workers may have gone away meanwhile.
func (a *API) refuseJob(ctx *fasthttp.RequestCtx, c context.Context, job api.Job, status int, format string, args ...any) {
	if job.IdempotencyKey == "" {
		notRun(ctx, status, 0, format, args...)
		return
	}
	record, err := a.Jobs.GetRecord(c, job.ID)
	switch {
	case errors.Is(err, jobs.ErrJobNotFound):
		notRun(ctx, status, 0, format, args...)
	case err != nil:
		storeProblem(ctx, err)
	default:
		httpx.WriteJSON(ctx, fasthttp.StatusAccepted, record)
	}
}

// announce tells the owner of the cell; its scan finds the job in any case.
func (a *API) announce(record api.JobRecord) {
	if !a.Scheduler.AddSubmitted(record) {
		a.Notifier.JobChanged(record.Job.ID)
	}
}

func readJob(ctx *fasthttp.RequestCtx) (api.Job, error) {
	var r api.JobRequest
	if err := httpx.ReadJSON(ctx, &r); err != nil {
		return api.Job{}, err
	}
	key, err := keyHeader(ctx)
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
	return job, checkJob(job)
}

func checkJob(job api.Job) error {
	if job.Profile == "" {
		return errors.NotValidf("profile: missing")
	}
	if len(job.Payload) > maxPayloadBytes {
		return errors.NotValidf("payload: %d bytes (at most %d)", len(job.Payload), maxPayloadBytes)
	}
	if job.DeclaredRun < 0 {
		return errors.NotValidf("declared_run: %v", job.DeclaredRun.D())
	}
	return checkShape("gang", job.Gang)
}

func checkShape(name string, s api.Shape) error {
	if s.Tasks < 1 || s.Tasks > maxGangTasks {
		return errors.NotValidf("%s.tasks: %d (want 1 to %d)", name, s.Tasks, maxGangTasks)
	}
	r := s.PerTask
	if r.Accelerators < 0 || r.MilliCPU < 0 || r.MemoryMB < 0 || r == (api.Resources{}) {
		return errors.NotValidf("%s.per_task: %+v (want amounts of 0 or more, one of them above 0)", name, r)
	}
	switch s.Adjacency {
	case api.AdjacentWorker, api.AdjacentRack, api.AdjacentZone:
		return nil
	}
	return errors.NotValidf("%s.adjacency: %q (want worker, rack or zone)", name, s.Adjacency)
}

func (a *API) getJob(ctx *fasthttp.RequestCtx) {
	wait, err := waitArgument(ctx)
	if err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	id := pathValue(ctx, "id")
	c, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := a.Jobs.GetRecord(c, id)
	if err == nil && wait > 0 && record.State != api.JobFinal {
		record = a.awaitJob(id, wait, record)
	}
	writeRecord(ctx, fasthttp.StatusOK, record, err)
}

// awaitJob returns the final record, or the given one when it does not come in
// time or a planned stop begins; the caller goes on waiting at another entry.
func (a *API) awaitJob(id string, wait time.Duration, record api.JobRecord) api.JobRecord {
	c, cancel := context.WithTimeout(a.Serving(), wait)
	defer cancel()
	if final, err := a.Waiters.Wait(c, id); err == nil {
		return final
	}
	return record
}

func writeRecord(ctx *fasthttp.RequestCtx, status int, record api.JobRecord, err error) {
	switch {
	case errors.Is(err, jobs.ErrJobNotFound):
		problem(ctx, fasthttp.StatusNotFound, "%v", err)
	case err != nil:
		storeProblem(ctx, err)
	default:
		if record.State == api.JobFinal {
			ctx.Response.Header.Set(httpx.HeaderOutcome, string(record.Outcome))
		}
		httpx.WriteJSON(ctx, status, record)
	}
}

func waitArgument(ctx *fasthttp.RequestCtx) (time.Duration, error) {
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
	c, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, err := a.Jobs.RequestCancel(c, id)
	if errors.Is(err, jobs.ErrJobFinal) {
		writeRecord(ctx, fasthttp.StatusOK, record, nil)
		return
	}
	if err == nil {
		a.Notifier.JobChanged(id)
	}
	writeRecord(ctx, fasthttp.StatusAccepted, record, err)
}

func (a *API) listJobs(ctx *fasthttp.RequestCtx) {
	limit, err := limitArgument(ctx)
	if err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	state := api.JobState(ctx.QueryArgs().Peek("state"))
	c, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	list, err := a.Jobs.ListRecords(c, string(ctx.QueryArgs().Peek("after")), limit)
	if err != nil {
		storeProblem(ctx, err)
		return
	}
	out := JobList{Jobs: []api.JobRecord{}}
	if len(list) == limit {
		out.Next = list[len(list)-1].Job.ID
	}
	for _, r := range list {
		if state == "" || r.State == state {
			out.Jobs = append(out.Jobs, r)
		}
	}
	httpx.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func limitArgument(ctx *fasthttp.RequestCtx) (int, error) {
	text := string(ctx.QueryArgs().Peek("limit"))
	if text == "" {
		return defaultListing, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxListing {
		return 0, errors.NotValidf("limit %q (want 1 to %d)", text, maxListing)
	}
	return n, nil
}
