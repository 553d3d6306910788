package route

import (
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

const claimsRefusedDetail = "the key cannot be looked up: the table has not answered the last claims"

// admit returns the refusal of a new request, or nil if the request may be
// queued.
func (c *Core) admit(req *Request, s *service, f *flow) *Answer {
	queued := f.items.Len()
	wait := c.estimateWait(s, f, queued)
	limit := req.MaxQueue
	if limit <= 0 {
		limit = c.cfg.MaxQueue
	}
	switch reason := c.unservableReason(s); {
	case c.draining:
		return refusalAnswer(req, ReasonDraining, "the entry is stopping", minRetryAfter)
	case req.Deadline <= c.now:
		return refusalAnswer(req, ReasonDeadlinePassed, "the deadline has passed", 0)
	case reason != "":
		return refusalAnswer(req, reason, unservableDetail(reason, s.name), unservableTimeout)
	case req.needsClaim() && c.breaker.open(c.now):
		return refusalAnswer(req, ReasonStoreUnavailable, claimsRefusedDetail, breakerPause)
	case queued >= limit:
		return refusalAnswer(req, ReasonQueueFull, fmt.Sprintf("the queue of profile %q is full", req.Profile), wait)
	case len(c.requests) >= c.cfg.MaxOpen:
		return refusalAnswer(req, ReasonQueueFull, "the entry has too many open requests", wait)
	}
	learned := learnedTimes(f, s)
	end := c.now + wait + learned.upperBound()
	if wait > 0 && end > req.Deadline {
		detail := fmt.Sprintf("the queue of profile %q implies a wait of %v", req.Profile, wait.Round(time.Millisecond))
		return refusalAnswer(req, ReasonDeadlineCannotBeMet, detail, end-req.Deadline)
	}
	return nil
}

// refusalAnswer returns the answer to a request that is refused before it is
// queued.
func refusalAnswer(req *Request, reason Reason, detail string, retryAfter time.Duration) *Answer {
	return &Answer{
		ID:         req.ID,
		Outcome:    api.OutcomeNotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: clampRetryAfter(retryAfter),
	}
}

func unservableDetail(reason Reason, service string) string {
	if reason == ReasonConfigNotFresh {
		return "the entry's configuration is not fresh"
	}
	return fmt.Sprintf("service %q has no endpoint that takes work", service)
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// estimateWait estimates how long a request waits for a slot when the given
// number of requests are before it in its flow. It is 0 while slots are free or
// no slot is usable. Until the request's turn, each other flow is served at
// most in proportion to its weight.
func (c *Core) estimateWait(s *service, f *flow, before int) time.Duration {
	if s.queue.length == 0 && s.busy < s.capacity || s.capacity == 0 {
		return 0
	}
	ownTurns := float64(before + 1)
	slotTime := ownTurns * float64(learnedTimes(f, s).mean)
	for _, other := range s.queue.active {
		if other == f {
			continue
		}
		turns := min(float64(other.items.Len()), ownTurns*other.weight/f.weight)
		slotTime += turns * float64(learnedTimes(other, s).mean)
	}
	return time.Duration(slotTime / float64(s.capacity))
}
