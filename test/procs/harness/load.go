package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/juju/errors"
)

// Profile is the name of the profile that requests and jobs use.
const Profile = "survey"

const (
	requestTimeout = 10 * time.Second
	retryPause     = 50 * time.Millisecond
)

// SetProfile creates a profile and waits until it is in force in all processes.
func (h *Harness) SetProfile(p api.Profile) {
	h.t.Helper()
	h.Eventually("profile "+p.Name+" accepted", callTimeout, func() bool {
		accepted, _, err := h.Client().PutProfile(context.Background(), p, client.AnyVersion)
		p.Version = accepted.Version
		return err == nil
	})
	h.WaitInForce(p.Version, callTimeout)
}

// WaitInForce waits until all running processes have the configuration of the
// given version or a newer one, and returns the time that took. It checks the
// version and the number of processes, because the entry that answers may not
// know the version or all other processes yet.
func (h *Harness) WaitInForce(version uint64, limit time.Duration) time.Duration {
	h.t.Helper()
	running := len(h.running())
	return h.Eventually("configuration in force", limit, func() bool {
		status, err := h.Client().ConfigStatus(context.Background())
		return err == nil && status.InForce && status.Version >= version && len(status.Processes) >= running
	})
}

// Request is a request of a caller with its result.
type Request struct {
	Tag        string
	Idempotent bool
	Body       standin.MinionCall

	Outcome api.Outcome
	Answer  standin.MinionAnswer
	Calls   int
	Err     error // of the last call
	Took    time.Duration
}

// Do sends the request with its tag as Idempotency-Key. It repeats calls that
// got no answer, through the clients in turn, starting with the first.
func (r *Request) Do(ctx context.Context, clients ...*client.Client) {
	began := time.Now()
	defer func() { r.Took = time.Since(began) }()
	r.Body.Tag = r.Tag
	body, err := json.Marshal(r.Body)
	if err != nil {
		r.Err = err
		return
	}
	for ctx.Err() == nil {
		c := clients[r.Calls%len(clients)]
		r.Calls++
		answer, err := c.Request(ctx, client.Request{
			Service: Service, Profile: Profile, Key: r.Tag, Idempotent: r.Idempotent,
			Timeout: requestTimeout, ContentType: httpx.ContentTypeJSON, Body: body,
		})
		r.Err = err
		if !errors.Is(err, client.ErrUnreachable) && !errors.Is(err, client.ErrNoResponse) {
			r.recordAnswer(answer, body)
			return
		}
		time.Sleep(retryPause)
	}
}

// recordAnswer records the answer of an entry and sets Err if it is incomplete
// or belongs to another request.
func (r *Request) recordAnswer(answer client.Response, body []byte) {
	var problem *client.ProblemError
	if errors.As(r.Err, &problem) {
		r.Outcome = problem.Outcome
		return
	}
	r.Outcome = answer.Outcome
	if r.Outcome != api.OutcomeDone {
		return
	}
	if err := json.Unmarshal(answer.Body, &r.Answer); err != nil {
		r.Err = errors.Annotatef(err, "answer of %d bytes to %s", len(answer.Body), r.Tag)
		return
	}
	if string(r.Answer.Echo) != string(body) || len(r.Answer.Padding) != r.Body.Size {
		r.Err = errors.Errorf("%s got the answer to %s, padded by %d bytes", r.Tag, r.Answer.Echo, len(r.Answer.Padding))
	}
}

// Load sends requests through the balancer from several concurrent callers
// until Stop.
type Load struct {
	h      *Harness
	name   string
	cancel context.CancelFunc
	done   sync.WaitGroup
	count  atomic.Int64

	mu       sync.Mutex
	requests []*Request
}

// StartLoad starts the callers. Every second request is idempotent.
func (h *Harness) StartLoad(callers int, body standin.MinionCall) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{h: h, name: fmt.Sprintf("load-%d", h.loadCount.Add(1)), cancel: cancel}
	for range callers {
		l.done.Go(func() { l.sendRequests(ctx, body) })
	}
	h.t.Cleanup(cancel)
	return l
}

func (l *Load) sendRequests(ctx context.Context, body standin.MinionCall) {
	for ctx.Err() == nil {
		n := l.count.Add(1)
		r := &Request{Tag: fmt.Sprintf("%s-%d", l.name, n), Idempotent: n%2 == 0, Body: body}
		// A request in progress may still finish after the load has been stopped.
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*requestTimeout)
		r.Do(requestCtx, l.h.Client())
		cancel()
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
	}
}

// Count returns the number of finished requests.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// Stop stops the load, waits for requests in progress and returns all requests.
func (l *Load) Stop() []*Request {
	l.cancel()
	l.done.Wait()
	return l.requests
}

// Summary counts requests by outcome.
func Summary(requests []*Request) string {
	counts := map[api.Outcome]int{}
	retried := 0
	for _, r := range requests {
		counts[r.Outcome]++
		if r.Calls > 1 {
			retried++
		}
	}
	var parts []string
	for _, o := range []api.Outcome{api.OutcomeDone, api.OutcomeFailed, api.OutcomeNotRun, api.OutcomeUnknown, ""} {
		if counts[o] > 0 {
			parts = append(parts, fmt.Sprintf("%d %q", counts[o], o))
		}
	}
	return fmt.Sprintf("%d requests: %s; %d retried", len(requests), strings.Join(parts, ", "), retried)
}

// CheckOutcomes fails the test for each request that has no answer or whose
// outcome contradicts what the minions have executed.
func (h *Harness) CheckOutcomes(requests []*Request) {
	h.t.Helper()
	executions := h.Executions()
	for _, r := range requests {
		n := executions[r.Tag]
		switch {
		case r.Outcome == "":
			h.t.Errorf("%s has no answer after %d calls: %v", r.Tag, r.Calls, r.Err)
		case r.Outcome == api.OutcomeDone && r.Err != nil:
			h.t.Errorf("%s: %v", r.Tag, r.Err)
		case r.Outcome == api.OutcomeDone && n == 0:
			h.t.Errorf("%s was answered done but not executed", r.Tag)
		case r.Outcome == api.OutcomeNotRun && n > 0:
			h.t.Errorf("%s was answered not-run but executed %d times: %v", r.Tag, n, r.Err)
		case !r.Idempotent && n > 1:
			h.t.Errorf("%s is not idempotent but was executed %d times", r.Tag, n)
		}
	}
}

// CheckAllDone fails the test for each request without the outcome done.
func (h *Harness) CheckAllDone(requests []*Request) {
	h.t.Helper()
	for _, r := range requests {
		if r.Outcome != api.OutcomeDone {
			h.t.Errorf("%s (idempotent %v): %q after %d calls and %v: %v", r.Tag, r.Idempotent, r.Outcome, r.Calls, r.Took, r.Err)
		}
	}
}
