package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/jobs"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	saveTimeout = 5 * time.Second
	saveRetry   = 200 * time.Millisecond
	// maxSaves bounds the writes in progress; further ones wait in order.
	maxSaves = 256
	// finishedKeep is how long the id of a final job is remembered; it is
	// dropped later, once there are maxFinished of them.
	finishedKeep = 4 * scanTimeout
	maxFinished  = 4096
)

// term is one term of ownership. Its core is guarded by Service.mu.
type term struct {
	service    *Service
	epoch      uint64
	began      time.Time
	startAfter time.Duration
	core       *sched.Core
	loaded     bool
	// broken is set when a later owner's write was seen: the term must end.
	broken bool

	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}

	mu       sync.Mutex
	versions map[string]uint64     // of the active rows that were looked at
	payloads map[string]api.Job    // of the jobs that are not final
	finished map[string]time.Time  // when jobs of this term became final
	saves    map[string][]saveWork // by job, in order; the first is in progress
	saving   sync.WaitGroup
}

type saveWork struct{ record api.JobRecord }

func newTerm(s *Service, epoch uint64, wait time.Duration) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		service:    s,
		epoch:      epoch,
		began:      time.Now(),
		startAfter: wait,
		core:       sched.New(sched.Config{TermStart: time.Now()}),
		ctx:        ctx,
		cancel:     cancel,
		slots:      make(chan struct{}, maxSaves),
		versions:   map[string]uint64{},
		payloads:   map[string]api.Job{},
		finished:   map[string]time.Time{},
		saves:      map[string][]saveWork{},
	}
}

func (t *term) end() { t.cancel() }

func (t *term) now() time.Duration { return time.Since(t.began) }

// changed returns the ids of active rows that have not been looked at in
// their present version.
func (t *term) changed(actives []jobs.Active) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, a := range actives {
		if t.versions[a.ID] != a.Version {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// seen notes the versions of all active rows and forgets those that are gone.
func (t *term) seen(actives []jobs.Active) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions = make(map[string]uint64, len(actives))
	for _, a := range actives {
		t.versions[a.ID] = a.Version
	}
}

// submit passes a job's row to the core, which ignores one that it knows.
func (t *term) submit(record api.JobRecord) {
	if record.State == api.JobFinal {
		t.service.waiters.Final(record)
		return
	}
	known, finished := t.note(record.Job)
	if finished {
		return
	}
	if !known {
		t.step(sched.Submit{Record: record})
	}
	if record.CancelAsked {
		t.step(sched.Cancel{JobID: record.Job.ID})
	}
}

// note remembers a job and reports whether it was known or has become final.
//
// Invariant: a job that became final in this term is never submitted again,
// although a scan may have read its row before the final write.
func (t *term) note(job api.Job) (known, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, finished = t.finished[job.ID]; finished {
		return false, true
	}
	_, known = t.payloads[job.ID]
	t.payloads[job.ID] = job
	return known, false
}

// finish forgets the job's payload. Its id is kept for longer than any scan lasts.
func (t *term) finish(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.payloads, id)
	now := time.Now()
	t.finished[id] = now
	if len(t.finished) < maxFinished {
		return
	}
	for other, at := range t.finished {
		if now.Sub(at) > finishedKeep {
			delete(t.finished, other)
		}
	}
}

// step is called with Service.mu held.
func (t *term) step(events ...sched.Event) {
	for _, ev := range events {
		for _, act := range t.core.Step(t.now(), ev) {
			t.apply(act)
		}
	}
}

func (t *term) apply(act sched.Action) {
	switch act := act.(type) {
	case sched.Hold:
		t.sendAsOwner(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.holdMessage(act, stamp) })
	case sched.Start:
		t.sendAsOwner(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.startMessage(act, stamp) })
	case sched.Stop:
		t.send(act.Worker, func(int64) *rpc.EntryMessage { return t.stopMessage(act) })
	case sched.Renew:
		t.send(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.renewMessage(act, stamp) })
	case sched.Save:
		t.save(act.Record)
	case sched.Notice:
		t.notice(act)
	}
}

// sendAsOwner asks for the ownership at this very moment: the process may have
// been paused since the core last heard of it.
func (t *term) sendAsOwner(worker string, build func(int64) *rpc.EntryMessage) {
	a, _ := t.service.owner.Authority()
	if !a.Owner || a.Epoch != t.epoch {
		metrics.GetOrRegisterCounter("scheduler.withheld", t.service.registry).Inc(1)
		return
	}
	t.send(worker, build)
}

// send drops messages for workers that are not linked; the core's timeouts
// and the workers' reports settle what becomes of them.
func (t *term) send(worker string, build func(int64) *rpc.EntryMessage) {
	if !t.service.links.Send(worker, build) {
		metrics.GetOrRegisterCounter("scheduler.unsent", t.service.registry).Inc(1)
	}
}

func (t *term) holdMessage(act sched.Hold, stamp int64) *rpc.EntryMessage {
	return &rpc.EntryMessage{Body: &rpc.EntryMessage_Hold{Hold: &rpc.Hold{
		Epoch:    t.epoch,
		JobId:    act.JobID,
		Attempt:  act.Attempt,
		Tasks:    int32(act.Tasks),
		PerTask:  rpc.FromResources(act.PerTask),
		StampMs:  stamp,
		PermitMs: route.PermitTTL.Milliseconds(),
		LeaseMs:  sched.HoldLease.Milliseconds(),
	}}}
}

func (t *term) startMessage(act sched.Start, stamp int64) *rpc.EntryMessage {
	t.mu.Lock()
	payload := t.payloads[act.JobID].Payload
	t.mu.Unlock()
	return &rpc.EntryMessage{Body: &rpc.EntryMessage_Start{Start: &rpc.Start{
		Epoch:      t.epoch,
		JobId:      act.JobID,
		Attempt:    act.Attempt,
		StampMs:    stamp,
		PermitMs:   route.PermitTTL.Milliseconds(),
		LeaseMs:    sched.GroupLease.Milliseconds(),
		FirstTask:  int32(act.FirstTask),
		Payload:    payload,
		Checkpoint: act.Checkpoint,
	}}}
}

func (t *term) stopMessage(act sched.Stop) *rpc.EntryMessage {
	return &rpc.EntryMessage{Body: &rpc.EntryMessage_Stop{Stop: &rpc.Stop{
		Epoch:   t.epoch,
		JobId:   act.JobID,
		Attempt: act.Attempt,
		GraceMs: act.Grace.Milliseconds(),
		Reason:  act.Reason,
	}}}
}

func (t *term) renewMessage(act sched.Renew, stamp int64) *rpc.EntryMessage {
	m := &rpc.Renew{Epoch: t.epoch, LeaseMs: sched.GroupLease.Milliseconds(), StampMs: stamp}
	for _, g := range act.Groups {
		m.Groups = append(m.Groups, &rpc.GroupRef{JobId: g.JobID, Attempt: g.Attempt})
	}
	return &rpc.EntryMessage{Body: &rpc.EntryMessage_Renew{Renew: m}}
}

func (t *term) notice(act sched.Notice) {
	metrics.GetOrRegisterCounter("scheduler.reasons."+string(act.Reason), t.service.registry).Inc(1)
	t.service.log.Info().Str("job", act.JobID).Str("worker", act.Worker).Str("reason", string(act.Reason)).Str("detail", act.Detail).Msg("decision")
}

// save queues a write; the writes of one job keep their order.
func (t *term) save(record api.JobRecord) {
	id := record.Job.ID
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saves[id] = append(t.saves[id], saveWork{record})
	if len(t.saves[id]) > 1 {
		return
	}
	t.saving.Add(1)
	go t.saveLoop(id)
}

func (t *term) saveLoop(id string) {
	defer t.saving.Done()
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	for {
		t.mu.Lock()
		work := t.saves[id]
		if len(work) == 0 {
			delete(t.saves, id)
			t.mu.Unlock()
			return
		}
		record := work[0].record
		t.mu.Unlock()
		t.saveOne(record)
		t.mu.Lock()
		t.saves[id] = t.saves[id][1:]
		t.mu.Unlock()
	}
}

// saveOne writes a record and tells the core what came of it.
func (t *term) saveOne(record api.JobRecord) {
	written, err := t.write(record)
	switch {
	case err == nil:
		t.saved(written, false)
	case isSettled(err):
		t.breakTerm(err)
	case nothingWritten(err):
		t.saved(record, true)
	}
}

// write tries until the write is known to have taken effect, to be impossible,
// or the term is over. A record that is not final is given up when nothing was
// written, unless an earlier try may still take effect.
func (t *term) write(record api.JobRecord) (api.JobRecord, error) {
	inDoubt := false
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, saveTimeout)
		row, err := t.service.store.Save(ctx, t.epoch, record)
		cancel()
		if err == nil {
			return row.Record, nil
		}
		metrics.GetOrRegisterCounter("scheduler.save_failed", t.service.registry).Inc(1)
		inDoubt = inDoubt || errors.Is(err, ledger.ErrOutcomeUnknown)
		if isSettled(err) || nothingWritten(err) && !inDoubt && record.State != api.JobFinal {
			return record, err
		}
		kernel.Sleep(t.ctx, saveRetry)
	}
	return record, t.ctx.Err()
}

func nothingWritten(err error) bool {
	return errors.Is(err, ledger.ErrDown) || errors.Is(err, ledger.ErrOverloaded)
}

func (t *term) saved(record api.JobRecord, failed bool) {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != t {
		return
	}
	id := record.Job.ID
	t.step(sched.SaveResult{JobID: id, Attempt: record.Attempt, State: record.State, Failed: failed})
	if record.State != api.JobFinal || failed {
		return
	}
	metrics.GetOrRegisterCounter("jobs.outcomes."+string(record.Outcome), s.registry).Inc(1)
	t.finish(id)
	s.waiters.Final(record)
}

// breakTerm ends the term, so that a new one reads the rows again.
func (t *term) breakTerm(err error) {
	t.service.log.Warn().Err(err).Uint64("epoch", t.epoch).Msg("row belongs to a later term")
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	t.broken = true
}

// waitSaved returns when no write is in progress or ctx has ended.
func (t *term) waitSaved(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		t.saving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
