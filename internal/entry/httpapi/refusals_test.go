package httpapi

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/scheduler"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

type fixedStore struct {
	confstate.Store
	config *api.Config
}

func (s fixedStore) Current() *api.Config { return s.config }

func newTestAPI(config *api.Config) *API {
	table := ledger.New(standin.NewTable(), ledger.Config{})
	return &API{
		Config:    fixedStore{config: config},
		Jobs:      jobs.NewStore(table, "cell"),
		Scheduler: &scheduler.Service{},
		Registry:  metrics.NewRegistry(),
	}
}

func oneProfileConfig() *api.Config {
	return &api.Config{Version: 1, Profiles: map[string]api.Profile{"p": {Name: "p", ClientAccount: "acc"}}}
}

func newSubmission(key, profile string, deadline time.Time) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.Header.Set(httpx.HeaderIdempotencyKey, key)
	ctx.Request.Header.Set(httpx.HeaderProfile, profile)
	ctx.Request.SetBodyString(fmt.Sprintf(
		`{"profile":%q,"gang":{"tasks":1,"per_task":{"accelerators":1},"adjacency":"worker"},"deadline":%q}`,
		profile, deadline.Format(time.RFC3339Nano)))
	return ctx
}

func outcomeOf(ctx *fasthttp.RequestCtx) api.Outcome {
	return api.Outcome(ctx.Response.Header.Peek(httpx.HeaderOutcome))
}

func TestKnownKeyReturnsItsJobAfterDeadline(t *testing.T) {
	a := newTestAPI(oneProfileConfig())
	past := time.Now().Add(-time.Hour)
	job := api.Job{ID: jobs.JobID("acc", "known"), IdempotencyKey: "known", Profile: "p", Deadline: past}
	if _, _, err := a.Jobs.Create(context.Background(), job); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		key     string
		status  int
		outcome api.Outcome
	}{
		{"known", fasthttp.StatusAccepted, ""},
		{"other", fasthttp.StatusBadRequest, api.OutcomeNotRun},
		{"", fasthttp.StatusBadRequest, api.OutcomeNotRun},
	} {
		ctx := newSubmission(tc.key, "p", past)
		a.postJob(ctx)
		if ctx.Response.StatusCode() != tc.status || outcomeOf(ctx) != tc.outcome {
			t.Errorf("key %q: status %d, outcome %q, want %d, %q", tc.key, ctx.Response.StatusCode(), outcomeOf(ctx), tc.status, tc.outcome)
		}
	}
}

func TestRefusalBeforeKeyLookupHasUnknownOutcomeOnlyWithKey(t *testing.T) {
	for _, tc := range []struct {
		config  *api.Config
		key     string
		outcome api.Outcome
	}{
		{&api.Config{}, "", api.OutcomeNotRun},
		{&api.Config{}, "k", api.OutcomeUnknown},
		{oneProfileConfig(), "", api.OutcomeNotRun},
		{oneProfileConfig(), "k", api.OutcomeUnknown},
	} {
		a := newTestAPI(tc.config)
		for name, post := range map[string]func(*fasthttp.RequestCtx){"job": a.postJob, "request": a.postRequest} {
			ctx := newSubmission(tc.key, "deleted", time.Now().Add(time.Hour))
			post(ctx)
			if outcomeOf(ctx) != tc.outcome {
				t.Errorf("%s with key %q at version %d: outcome %q, want %q", name, tc.key, tc.config.Version, outcomeOf(ctx), tc.outcome)
			}
		}
	}
}
