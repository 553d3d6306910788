// Package httpapi implements the HTTP API that an entry offers to callers and operators.
package httpapi

import (
	"context"
	"strconv"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/requests"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/scheduler"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	defaultRequestTimeout = 30 * time.Second
	maxRequestTimeout     = 10 * time.Minute
	// storeTimeout bounds the store operations of one call. It covers the few seconds
	// that an entry waits after its start before it acknowledges a configuration change.
	storeTimeout = 8 * time.Second
	// storeRetryAfter is the Retry-After value of calls that failed because of the store.
	storeRetryAfter = 5 * time.Second
	maxKeyBytes     = 256
)

// StatusSource reports the configuration version of each process.
type StatusSource interface {
	ConfigStatus() api.ConfigStatus
}

// Notifier notifies the owner of the cell that a job's row has changed.
type Notifier interface {
	JobChanged(id string)
}

// API holds the dependencies of the HTTP handlers.
type API struct {
	Config    confstate.Store
	Requests  *requests.Service
	Jobs      *jobs.Store
	Waiters   *jobs.Waiters
	Scheduler *scheduler.Service
	Notifier  Notifier
	Status    StatusSource
	Registry  metrics.Registry
	// Serving returns a context that is cancelled when a planned stop begins.
	Serving func() context.Context
}

// Mount registers the handlers on a router.
func (a *API) Mount(r *router.Router) {
	r.POST("/v1/services/{service}/requests", a.postRequest)
	r.POST("/v1/jobs", a.postJob)
	r.GET("/v1/jobs", a.listJobs)
	r.GET("/v1/jobs/{id}", a.getJob)
	r.DELETE("/v1/jobs/{id}", a.cancelJob)
	r.GET("/v1/profiles", a.listProfiles)
	r.GET("/v1/profiles/{name}", a.getProfile)
	r.PUT("/v1/profiles/{name}", a.putProfile)
	r.DELETE("/v1/profiles/{name}", a.deleteProfile)
	r.GET("/v1/zones", a.listZones)
	r.GET("/v1/zones/{name}", a.getZone)
	r.PUT("/v1/zones/{name}", a.putZone)
	r.GET("/v1/config/status", a.configStatus)
}

func pathValue(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}

// writeNotRun rejects work that has certainly not run, with outcome not-run. A
// positive retryAfter sets Retry-After.
func writeNotRun(ctx *fasthttp.RequestCtx, status int, retryAfter time.Duration, format string, args ...any) {
	ctx.Response.Header.Set(httpx.HeaderOutcome, string(api.OutcomeNotRun))
	p := httpx.Problemf(status, format, args...)
	p.RetryAfter = retryAfterSeconds(retryAfter)
	httpx.WriteProblem(ctx, p)
}

func writeProblem(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	httpx.WriteProblem(ctx, httpx.Problemf(status, format, args...))
}

// retryAfterSeconds rounds up, since Retry-After is given in whole seconds.
func retryAfterSeconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((d + time.Second - 1) / time.Second)
}

// writeStoreProblem responds to a call whose store operation failed. No work was
// accepted; after ledger.ErrOutcomeUnknown a change may still take effect.
func writeStoreProblem(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, ledger.ErrRejected) && !errors.Is(err, ledger.ErrOutcomeUnknown) {
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusRequestEntityTooLarge, "platform's table cannot take it: %v", err))
		return
	}
	p := httpx.Problemf(fasthttp.StatusServiceUnavailable, "platform's table is unavailable: %v", err)
	if errors.Is(err, ledger.ErrOutcomeUnknown) {
		p.Detail = "platform's table gave no answer: the change may or may not take effect; repeat the call"
	}
	p.RetryAfter = retryAfterSeconds(storeRetryAfter)
	httpx.WriteProblem(ctx, p)
}

// lookupProfile returns the named profile. If there is none, or if no configuration
// has been read yet, it writes a problem and returns false. keyed is true if the call
// has an idempotency key and is not a request marked idempotent: an earlier call with
// the same key may have run, and the problem says so.
func (a *API) lookupProfile(ctx *fasthttp.RequestCtx, name string, keyed bool) (api.Profile, bool) {
	config := a.Config.Current()
	if config.Version == 0 {
		rejectWork(ctx, keyed, fasthttp.StatusServiceUnavailable, time.Second, "configuration has not been read yet")
		return api.Profile{}, false
	}
	p, ok := config.Profiles[name]
	if !ok {
		rejectWork(ctx, keyed, fasthttp.StatusUnprocessableEntity, 0, "profile %q does not exist", name)
	}
	return p, ok
}

// rejectWork rejects work before its idempotency key has been looked up. An earlier
// call with the same key may have run, so keyed calls get outcome unknown and others
// get not-run.
func rejectWork(ctx *fasthttp.RequestCtx, keyed bool, status int, retryAfter time.Duration, format string, args ...any) {
	if !keyed {
		writeNotRun(ctx, status, retryAfter, format, args...)
		return
	}
	ctx.Response.Header.Set(httpx.HeaderOutcome, string(api.OutcomeUnknown))
	p := httpx.Problemf(status, format+"; this call has not run, an earlier one with the same key may have", args...)
	p.RetryAfter = retryAfterSeconds(retryAfter)
	httpx.WriteProblem(ctx, p)
}

// boolHeader parses a boolean header; it returns defaultValue if the header is absent.
func boolHeader(ctx *fasthttp.RequestCtx, name string, defaultValue bool) (bool, error) {
	text := string(ctx.Request.Header.Peek(name))
	if text == "" {
		return defaultValue, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, errors.NotValidf("header %s %q (want true or false)", name, text)
	}
	return v, nil
}

func idempotencyKeyHeader(ctx *fasthttp.RequestCtx) (string, error) {
	key := string(ctx.Request.Header.Peek(httpx.HeaderIdempotencyKey))
	if len(key) > maxKeyBytes {
		return "", errors.NotValidf("header %s of %d bytes (at most %d)", httpx.HeaderIdempotencyKey, len(key), maxKeyBytes)
	}
	return key, nil
}
