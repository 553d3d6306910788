package route

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

const claimsFailing = "the key cannot be looked up: the table has not answered the last claims"

// admit returns the refusal of a new request, or nil.
func (c *Core) admit(q *Request, s *service, f *flow) *Answer {
	queued := f.items.Len()
	wait := c.wait(s, f, queued)
	limit := q.MaxQueue
	if limit <= 0 {
		limit = c.cfg.MaxQueue
	}
	switch reason := c.unservable(s); {
	case c.draining:
		return refuse(q, ReasonDraining, "the entry is stopping", minRetryAfter)
	case q.Deadline <= c.now:
		return refuse(q, ReasonDeadlinePassed, "the deadline has passed", 0)
	case reason != "":
		return refuse(q, reason, unservableDetail(reason, s.name), refusalPatience)
	case q.claims() && c.breaker.open(c.now):
		return refuse(q, ReasonStoreUnavailable, claimsFailing, breakerPause)
	case queued >= limit:
		return refuse(q, ReasonQueueFull, fmt.Sprintf("the queue of profile %q is full", q.Profile), wait)
	case len(c.requests) >= c.cfg.MaxOpen:
		return refuse(q, ReasonQueueFull, "the entry has too many open requests", wait)
	}
	t := times(f, s)
	end := c.now + wait + t.upper()
	if wait > 0 && end > q.Deadline {
		detail := fmt.Sprintf("the queue of profile %q implies a wait of %v", q.Profile, wait.Round(time.Millisecond))
		return refuse(q, ReasonDeadlineCannotBeMet, detail, end-q.Deadline)
	}
	return nil
}

func refuse(q *Request, reason Reason, detail string, retryAfter time.Duration) *Answer {
	return &Answer{
		ID:         q.ID,
		Outcome:    api.OutcomeNotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: clampRetry(retryAfter),
	}
}

func unservableDetail(reason Reason, service string) string {
	if reason == ReasonConfigNotFresh {
		return "the entry's configuration is not fresh"
	}
	return fmt.Sprintf("service %q has no endpoint that takes work", service)
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// wait estimates how long a request with the given number of requests before
// it in its flow waits for a slot, under the shares of the waiting flows.
func (c *Core) wait(s *service, f *flow, before int) time.Duration {
	if s.queue.length == 0 && s.busy < s.capacity || s.capacity == 0 {
		return 0
	}
	own := float64(before + 1)
	ahead := own * float64(times(f, s).mean)
	for _, o := range s.queue.active {
		if o == f {
			continue
		}
		turns := min(float64(o.items.Len()), own*o.weight/f.weight)
		ahead += turns * float64(times(o, s).mean)
	}
	return time.Duration(ahead / float64(s.capacity))
}
