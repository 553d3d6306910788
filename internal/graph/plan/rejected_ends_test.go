package plan

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// rejections plays a worker with an end of job "bad", on which the table rejects what reject
// says, before one of job "good".
type rejections struct {
	*harness
	reject       func(SaveProgress) bool
	stored       map[graph.JobID]graph.Progress
	acknowledged uint64
	ackedAt      time.Duration
}

func newRejections(t *testing.T, reject func(SaveProgress) bool) *rejections {
	r := &rejections{harness: newHarness(t), stored: map[graph.JobID]graph.Progress{}}
	r.report("w0", nil)
	r.reject = reject
	return r
}

func (r *rejections) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SaveProgress:
			if r.reject(a) {
				r.apply(r.core.Step(r.now, SaveRejected{Job: a.Job, Number: a.Number}))
				continue
			}
			r.stored[a.Job] = a.Progress
			r.apply(r.core.Step(r.now, ProgressSaved{Job: a.Job, Number: a.Number}))
		case AcknowledgeEnds:
			r.acknowledged, r.ackedAt = a.Number, r.now
		}
	}
}

// play reports the ends of both jobs for the given time, that of bad first.
func (r *rejections) play(kind graph.EndKind, d time.Duration) {
	bad, good := starts(r.submit("bad", 2)), starts(r.submit("good", 2))
	if len(bad) != 1 || len(good) != 1 {
		r.t.Fatal("not started")
	}
	ends := []graph.RunEnd{runEnd(bad[0], kind), runEnd(good[0], graph.EndDone)}
	ends[0].Number, ends[1].Number = 1, 2
	for end := r.now + d; r.now < end; r.now += time.Second {
		r.apply(r.core.Step(r.now, WorkerReport{Worker: r.core.workers["w0"].info, Session: "s", Ended: ends, Number: 2, WorkerResponsive: true}))
		r.apply(r.core.Step(r.now, Tick{}))
	}
}

// TestRejectedJobEndsByItsStateAlone guards against a done end that is acknowledged before its job is stored as final, and against one that never is.
func TestRejectedJobEndsByItsStateAlone(t *testing.T) {
	for _, kind := range []graph.EndKind{graph.EndDone, graph.EndFailed} {
		r := newRejections(t, func(a SaveProgress) bool { return a.Job == "bad" && !a.StateOnly })
		r.play(kind, 2*maxHoldBack)
		if p := r.stored["bad"]; !p.State.Final() || len(p.Tasks) > 0 || p.FinishedAt.IsZero() {
			t.Errorf("%s: stored %+v", kind, p)
		}
		if r.acknowledged != 2 || r.ackedAt < maxHoldBack {
			t.Errorf("%s: ends up to %d are acknowledged at %v", kind, r.acknowledged, r.ackedAt)
		}
	}
}

// TestDoneEndIsNotAcknowledgedUnstored guards against a done task that the next owner starts again, as its end was acknowledged and nothing of it stored.
func TestDoneEndIsNotAcknowledgedUnstored(t *testing.T) {
	r := newRejections(t, func(a SaveProgress) bool { return a.Job == "bad" })
	r.play(graph.EndDone, 10*maxHoldBack)
	if r.acknowledged > 0 {
		t.Errorf("ends up to %d are acknowledged", r.acknowledged)
	}
}

// TestTableThatRejectsEverythingEndsNoJob guards against jobs that are failed because the table rejects all content for a while.
func TestTableThatRejectsEverythingEndsNoJob(t *testing.T) {
	r := newRejections(t, func(SaveProgress) bool { return true })
	r.play(graph.EndFailed, 10*maxHoldBack)
	for id, j := range r.core.jobs {
		if j.state == graph.Failed || r.acknowledged > 0 {
			t.Errorf("job %s is %s, ends up to %d are acknowledged", id, j.state, r.acknowledged)
		}
	}
}
