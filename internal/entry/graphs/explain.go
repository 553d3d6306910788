package graphs

import (
	"net"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/coltsfootlug/coltsfootlug/internal/explain"
	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/outlook"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
)

// Explainer serves the debug page that tells where a job would be placed now and why. It
// submits nothing.
type Explainer struct {
	scheduler *Scheduler
	owner     Ownership
	policies  Policies
	outlooks  *Outlooks
	pagesPort string
}

// NewExplainer returns an explainer. The debug pages of all entries are served on the
// given port.
func NewExplainer(s *Scheduler, o Ownership, p Policies, l *Outlooks, pagesPort string) *Explainer {
	return &Explainer{scheduler: s, owner: o, policies: p, outlooks: l, pagesPort: pagesPort}
}

// Errors of Explain.
const (
	errNoOwnerKnown  = errors.ConstError("no entry owns scheduling at present")
	errConfigUnknown = errors.ConstError("configuration is not known to be current")
)

// Explain returns the report on a job. It returns a NotFound error if the queue, the
// account or the job does not exist, and errNotOwner at an entry that does not own
// scheduling.
func (e *Explainer) Explain(r explain.Request) (explain.Report, error) {
	t := e.scheduler.currentTerm()
	if t == nil || !t.ownsScheduling() {
		return explain.Report{}, errors.Trace(errNotOwner)
	}
	snapshot, age := e.policies.FreshSnapshot()
	if snapshot == nil {
		return explain.Report{}, errors.Annotatef(errConfigUnknown, "confirmed %v ago", age)
	}
	job, account, err := jobOfRequest(r, snapshot)
	if err != nil {
		return explain.Report{}, errors.Trace(err)
	}
	job.SubmittedAt = e.scheduler.now()
	report, err := t.explain(job)
	if err != nil {
		return report, errors.Trace(err)
	}
	report.Basis.ConfigAgeMS = age.Milliseconds()
	if r.Job == "" {
		e.addAdmission(&report, job, account)
	}
	return report, nil
}

// explain asks the core. The lock is held for about the time of a scheduling pass.
func (t *term) explain(job *graph.Job) (explain.Report, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return explain.Report{}, errors.Trace(errNotOwner)
	}
	return t.core.Explain(t.now(), job)
}

// jobOfRequest returns the job that a request asks about, with the settings of its queue,
// and its account, which is empty for a job that is known by its ID.
func jobOfRequest(r explain.Request, s *policy.Snapshot) (*graph.Job, policy.ClientAccount, error) {
	if r.Job != "" {
		return &graph.Job{ID: r.Job}, policy.ClientAccount{}, nil
	}
	var account policy.ClientAccount
	for _, a := range s.Accounts {
		if a.Name == r.Account {
			account = a
		}
	}
	if r.Account != "" && account.Name == "" {
		return nil, account, errors.NotFoundf("account %q", r.Account)
	}
	for i := range s.Queues {
		q := &s.Queues[i]
		if q.Name != r.Queue {
			continue
		}
		if r.Account == "" && !q.Public {
			return nil, account, errors.NotValidf("request without an account for queue %q, which is not public", q.Name)
		}
		job := &graph.Job{Account: r.Account, Steps: r.Steps}
		applyQueue(job, q, s.Version)
		return job, account, nil
	}
	return nil, account, errors.NotFoundf("queue %q", r.Queue)
}

// applyQueue sets the part of a job that follows from its queue in a version of the configuration.
func applyQueue(job *graph.Job, q *policy.Queue, version uint64) {
	job.Queue, job.Pool, job.ConfigVersion = q.Name, q.Pool, version
	job.Priority, job.MaxAttempts = q.Priority, q.MaxAttempts
	job.Stretch, job.Allowance = q.Stretch, q.Allowance
}

// addAdmission adds what admission would decide, if it is on.
func (e *Explainer) addAdmission(report *explain.Report, job *graph.Job, account policy.ClientAccount) {
	if !e.scheduler.features.Has(feature.Admission) {
		return
	}
	o, ages := e.outlooks.current()
	d := outlook.Decide(outlook.Request{Job: job, Guaranteed: account.GuaranteedAccelerators}, o, ages)
	report.Admission = &explain.Admission{Refused: d.Refused(), Reason: string(d.Reason), BoundMS: d.Bound.Milliseconds(),
		LatestStartMS: d.LatestStart.Milliseconds(), RetryAfterMS: d.RetryAfter.Milliseconds(), OutlookAgeMS: ages.Confirmed.Milliseconds()}
	if d.Refused() {
		report.Verdict = explain.Refused
	}
}

// ServePage serves explain.Path. An entry that does not own scheduling answers with
// status 421 and the address of the owner's pages.
func (e *Explainer) ServePage(ctx *fasthttp.RequestCtx) {
	var r explain.Request
	err := httpx.ReadJSON(ctx, &r)
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusBadRequest, "%v", err))
		return
	}
	report, err := e.Explain(r)
	switch {
	case err == nil:
		httpx.WriteJSON(ctx, fasthttp.StatusOK, report)
	case errors.Is(err, errNotOwner):
		e.writeOwner(ctx)
	case errors.Is(err, errors.NotFound):
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusNotFound, "%v", err))
	case errors.Is(err, errors.NotValid):
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusBadRequest, "%v", err))
	case errors.Is(err, plan.ErrNotPlacing), errors.Is(err, errConfigUnknown):
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusServiceUnavailable, "%v", err))
	default:
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusInternalServerError, "%v", err))
	}
}

// writeOwner answers with the address of the owner's pages, if an owner is known.
func (e *Explainer) writeOwner(ctx *fasthttp.RequestCtx) {
	a := e.owner.Current()
	host, _, err := net.SplitHostPort(a.OwnerAddr)
	if a.Owner || err != nil {
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusServiceUnavailable, "%v", errNoOwnerKnown))
		return
	}
	if e.pagesPort == "0" {
		httpx.WriteProblem(ctx, httpx.Problemf(fasthttp.StatusServiceUnavailable, "%s owns scheduling; without -metrics-port the port of its pages is not known", host))
		return
	}
	httpx.WriteJSON(ctx, fasthttp.StatusMisdirectedRequest, explain.Elsewhere{Owner: net.JoinHostPort(host, e.pagesPort)})
}
