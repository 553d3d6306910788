package soak

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const statusUnauthorized = 401

// times holds the first time of each kind of event, by job or task.
type times struct{ submitted, accepted, ended, cancelled, started map[string]time.Duration }

func (r *Record) times() times {
	t := times{map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}}
	first := func(in map[string]time.Duration, key string, at time.Duration) {
		if _, ok := in[key]; !ok {
			in[key] = at
		}
	}
	for _, e := range r.Events {
		switch e.Kind {
		case KindSubmit:
			first(t.submitted, e.Job, e.Sent)
			if e.reply().OK() {
				first(t.accepted, e.Job, e.At)
			}
		case KindCancel:
			first(t.cancelled, e.Job, e.Sent)
		case KindStart:
			first(t.started, e.Task, e.At)
		}
		if isFinal(e.State) {
			first(t.ended, e.Job, e.At)
		}
	}
	return t
}

// checkGuaranteesBegun: while no fault is in force or recent, all tasks of the first
// step of a job within its account's guarantee start in time.
func checkGuaranteesBegun(r *Record, fail report) {
	t := r.times()
	for id, at := range t.accepted {
		limit := at + standin.ReclaimBound
		if !r.withinGuarantee(t, r.Jobs[id], limit) || r.faultWithin(t.submitted[id]-standin.RecoveryBound, limit, anyFault) {
			continue
		}
		for task, step := range r.Jobs[id].tasks() {
			if s, ok := t.started[task]; step == 0 && (!ok || s > limit) {
				fail(at, "task %s, accepted within a guarantee, started at %v (0s: never) and not by %v", task, s, limit)
			}
		}
	}
}

// withinGuarantee reports whether a job of the first priority was within its account's
// guarantee from its submission until a time, together with the account's other jobs.
func (r *Record) withinGuarantee(t times, j Job, until time.Duration) bool {
	if _, cancelled := t.cancelled[j.ID]; cancelled || j.Priority != 0 {
		return false
	}
	inUse := 0
	for id, at := range t.submitted {
		o := r.Jobs[id]
		ended, hasEnded := t.ended[id]
		if o.Account == j.Account && o.Priority == 0 && at <= until && (!hasEnded || ended >= t.submitted[j.ID]) {
			inUse += o.accelerators()
		}
	}
	return inUse <= r.Guarantees[j.Account]
}

// checkKeyBound: a removed key is not accepted after the bound of its removal.
func checkKeyBound(r *Record, fail report) {
	removed := map[string]time.Duration{}
	for _, e := range r.Events {
		if e.Kind == KindKeyRemoved {
			removed[e.Key] = e.At
		}
		if at, ok := removed[e.Key]; ok && e.reply().OK() && e.Sent > at+standin.RevokeBound {
			fail(e.At, "%s accepted key %s, sent at %v and removed at %v", e.Entry, e.Key, e.Sent, at)
		}
	}
}

// checkVersions: an entry that has rejected a removed key, or accepted a new one,
// does not go back to the configuration before.
func checkVersions(r *Record, fail report) {
	type use struct{ entry, key string }
	removed := map[string]bool{}
	rejected, accepted := map[use]time.Duration{}, map[use]time.Duration{}
	for _, e := range r.Events {
		if e.Kind == KindKeyRemoved {
			removed[e.Key] = true
			continue
		}
		u := use{e.Entry, e.Key}
		switch {
		case e.Key == "" || e.Entry == "":
		case e.Status == statusUnauthorized && removed[e.Key]:
			if _, ok := rejected[u]; !ok {
				rejected[u] = e.At
			}
		case e.Status == statusUnauthorized:
			if at, ok := accepted[u]; ok && e.Sent > at {
				fail(e.At, "%s rejected key %s after it accepted it at %v", e.Entry, e.Key, at)
			}
		case e.reply().OK():
			if at, ok := rejected[u]; ok && e.Sent > at {
				fail(e.At, "%s accepted removed key %s after it rejected it at %v", e.Entry, e.Key, at)
			}
			if _, ok := accepted[u]; !ok {
				accepted[u] = e.At
			}
		}
	}
}

// checkZoneBound: nothing starts in a zone after the bound of taking it out.
func checkZoneBound(r *Record, fail report) {
	limits := map[string]time.Duration{}
	for _, e := range r.Events {
		switch e.Kind {
		case KindZoneOut:
			limits[e.Zone] = r.limit(e.At, standin.EvacuateBound, unplanned)
		case KindZoneIn:
			delete(limits, e.Zone)
		case KindStart:
			if limit, ok := limits[e.Zone]; ok && e.At > limit {
				fail(e.At, "task %s started on %s after %v, the bound of taking out %s", e.Task, e.Worker, limit, e.Zone)
			}
		}
	}
}

// checkDrainBound: nothing starts on a worker after the bound of its drain.
func checkDrainBound(r *Record, fail report) {
	limits := map[string]time.Duration{}
	for _, e := range r.Events {
		switch e.Kind {
		case KindDrain:
			limits[e.Worker] = r.limit(e.At, standin.DrainBound, ofWorker(e.Worker))
		case KindRestart:
			delete(limits, e.Worker)
		case KindStart:
			if limit, ok := limits[e.Worker]; ok && e.At > limit {
				fail(e.At, "task %s started on %s after %v, the bound of its drain", e.Task, e.Worker, limit)
			}
		}
	}
}

// checkMoves: nothing of a job starts on a service that its queue does not name any more, after the bound of the change. A queue
// that is removed keeps its last service. In rounds with faults an order may have been under way as for other changes.
func checkMoves(r *Record, fail report) {
	bound := standin.ApplyBound
	if slices.ContainsFunc(r.Events, func(e Event) bool { return e.Kind == KindStep }) {
		bound += standin.MaxLease
	}
	type move struct {
		service string
		until   time.Duration // 0 while it is in force
	}
	moves := map[string][]move{}
	for _, e := range r.Events {
		if e.Kind == KindMove && e.Service != removedQueue {
			if n := len(moves[e.Queue]); n > 0 {
				moves[e.Queue][n-1].until = e.At
			}
			moves[e.Queue] = append(moves[e.Queue], move{service: e.Service})
		}
		job, known := r.Jobs[e.Job]
		queue := queues[job.Priority].Name
		if e.Kind != KindStart || !known || moves[queue] == nil {
			continue
		}
		called := e.At
		if e.Sent > 0 {
			called = e.Sent // the worker executed the call late
		}
		named := slices.ContainsFunc(moves[queue], func(m move) bool {
			return m.service == r.Services[e.Worker] && (m.until == 0 || called <= m.until+bound)
		})
		if !named {
			fail(e.At, "task %s started on %s of service %s, queue %s has named %+v", e.Task, e.Worker, r.Services[e.Worker], queue, moves[queue])
		}
	}
}

// checkTokens: an epoch is used only after the write that begins its term, by one
// owner, and at the latest for a lease after the write of the next term. A run number
// begins with the first epoch of a term. A worker never takes a lower epoch than before.
func checkTokens(r *Record, fail report) {
	var terms []time.Duration
	highest := map[string]uint64{}
	for _, e := range r.Events {
		switch e.Kind {
		case KindFence:
			terms = append(terms, e.At)
		case KindRestart:
			delete(highest, e.Worker)
		case KindStart:
			term, began := rpc.TermOfEpoch(e.Token), uint64(len(terms))
			if term == 0 || term > began {
				fail(e.At, "%s took epoch %d after %d terms", e.Worker, e.Token, began)
				continue
			}
			called := e.At
			if e.Sent > 0 {
				called = e.Sent // the worker executed the call late
			}
			if term < began && called > terms[term]+standin.MaxLease {
				fail(e.At, "%s took epoch %d at a start, %v after the next term began", e.Worker, e.Token, called-terms[term])
			}
			token := e.Run >> runNumberBits
			if of := rpc.TermOfEpoch(token); token%rpc.EpochsPerTerm != 1 || of > began {
				fail(e.At, "run %d on %s is of token %d in term %d, after %d terms", e.Run, e.Worker, token, of, began)
			}
			if e.Token < highest[e.Worker] {
				fail(e.At, "%s took epoch %d after %d", e.Worker, e.Token, highest[e.Worker])
			}
			highest[e.Worker] = e.Token
		}
	}
}

// runNumberBits is the number of bits of a run number below its term's token.
const runNumberBits = 24

// checkServedAgain: after the last fault each entry serves callers within the bound.
func checkServedAgain(r *Record, fail report) {
	served := map[string]bool{}
	var healed time.Duration
	for _, e := range r.Events {
		switch e.Kind {
		case KindHealed:
			healed = e.At
		case KindServed:
			served[e.Entry] = true
			if e.At > healed+standin.RecoveryBound {
				fail(e.At, "%s serves callers %v after the last fault", e.Entry, e.At-healed)
			}
		}
	}
	for _, entry := range r.Entries {
		if !served[entry] {
			fail(healed, "%s does not serve callers after the last fault", entry)
		}
	}
}

// checkAtWork: a job that has not ended within the bounds after the last fault is at work then.
func checkAtWork(r *Record, fail report) {
	healed := r.healedAt()
	limit := healed + standin.RecoveryBound + standin.FinishBound
	active, late := map[string]int{}, map[string]bool{}
	for _, e := range r.Events {
		switch {
		case healed == 0:
		case e.Kind == KindStart && e.At <= limit:
			active[e.Job]++
		case e.Kind == KindEnd && e.At <= limit:
			active[e.Job]--
		case e.Kind == KindStart || e.Kind == KindEnd:
			late[e.Job] = true
		}
	}
	for job := range late {
		if active[job] == 0 {
			fail(limit, "nothing of job %s is at work %v after the last fault, and it has not ended", job, limit-healed)
		}
	}
}

// healedAt returns when the last fault has ended, or 0.
func (r *Record) healedAt() time.Duration {
	i := slices.IndexFunc(r.Events, func(e Event) bool { return e.Kind == KindHealed })
	if i < 0 {
		return 0
	}
	return r.Events[i].At
}
