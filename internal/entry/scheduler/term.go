package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	saveTimeout    = 5 * time.Second
	saveRetryDelay = 200 * time.Millisecond
	// maxConcurrentSaves bounds the jobs whose rows are written at one time;
	// others wait in order.
	maxConcurrentSaves = 256
	// finishedRetention is the minimum time for which the id of a final job is
	// remembered. Older ids are dropped once there are maxFinishedIDs.
	finishedRetention = 4 * scanTimeout
	maxFinishedIDs    = 4096
)

// term is one term of ownership. Its core is guarded by Service.mu.
type term struct {
	service    *Service
	epoch      uint64
	started    time.Time
	startAfter time.Duration
	core       *sched.Core
	loaded     bool
	// invalidated is set when a save found the row written by a later owner,
	// already final or missing. The term must end.
	invalidated bool

	ctx       context.Context
	cancel    context.CancelFunc
	saveSlots chan struct{}

	mu             sync.Mutex
	activeVersions map[string]uint64        // of the active rows at the last scan, by job
	unfinishedJobs map[string]api.Job       // jobs of this term that are not final, by id
	finishedAt     map[string]time.Time     // when jobs of this term became final, by id
	pendingSaves   map[string][]pendingSave // by job id, in order; the first is in progress
	saveLoops      sync.WaitGroup
}

type pendingSave struct{ record api.JobRecord }

func newTerm(s *Service, epoch uint64, wait time.Duration) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		service:        s,
		epoch:          epoch,
		started:        time.Now(),
		startAfter:     wait,
		core:           sched.New(sched.Config{TermStart: time.Now()}),
		ctx:            ctx,
		cancel:         cancel,
		saveSlots:      make(chan struct{}, maxConcurrentSaves),
		activeVersions: map[string]uint64{},
		unfinishedJobs: map[string]api.Job{},
		finishedAt:     map[string]time.Time{},
		pendingSaves:   map[string][]pendingSave{},
	}
}

func (t *term) end() { t.cancel() }

func (t *term) now() time.Duration { return time.Since(t.started) }

// changedJobIDs returns the ids of active rows whose version differs from the
// last scan.
func (t *term) changedJobIDs(active []jobs.ActiveJob) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, a := range active {
		if t.activeVersions[a.ID] != a.Version {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// setActiveVersions replaces the recorded versions by those of the given rows.
func (t *term) setActiveVersions(active []jobs.ActiveJob) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeVersions = make(map[string]uint64, len(active))
	for _, a := range active {
		t.activeVersions[a.ID] = a.Version
	}
}

// submit passes a job's row to the core if the job is new to this term, and its
// cancellation if one is requested. Callers waiting for a final job are
// notified.
func (t *term) submit(record api.JobRecord) {
	if record.State == api.JobFinal {
		t.service.waiters.NotifyFinal(record)
		return
	}
	known, finished := t.trackJob(record.Job)
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

// trackJob records a job as unfinished. It reports whether the job was known
// already, or finished in this term, in which case it is not recorded.
//
// Invariant: a job that became final in this term is never submitted again,
// even if a scan read its row before the final write.
func (t *term) trackJob(job api.Job) (known, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, finished = t.finishedAt[job.ID]; finished {
		return false, true
	}
	_, known = t.unfinishedJobs[job.ID]
	t.unfinishedJobs[job.ID] = job
	return known, false
}

// markFinal drops the job and remembers its id for longer than any scan can take.
func (t *term) markFinal(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unfinishedJobs, id)
	now := time.Now()
	t.finishedAt[id] = now
	if len(t.finishedAt) < maxFinishedIDs {
		return
	}
	for other, at := range t.finishedAt {
		if now.Sub(at) > finishedRetention {
			delete(t.finishedAt, other)
		}
	}
}

// step passes events to the core and carries out the resulting actions. It is
// called with Service.mu held.
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
		t.sendIfOwner(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.holdMessage(act, stamp) })
	case sched.Start:
		t.sendIfOwner(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.startMessage(act, stamp) })
	case sched.Stop:
		t.send(act.Worker, func(int64) *rpc.EntryMessage { return t.stopMessage(act) })
	case sched.Renew:
		t.send(act.Worker, func(stamp int64) *rpc.EntryMessage { return t.renewMessage(act, stamp) })
	case sched.Save:
		t.enqueueSave(act.Record)
	case sched.Notice:
		t.recordNotice(act)
	}
}

// sendIfOwner checks ownership again immediately before sending: the process
// may have been paused since the core last received the ownership.
func (t *term) sendIfOwner(worker string, build func(int64) *rpc.EntryMessage) {
	a, _ := t.service.owner.Authority()
	if !a.Owner || a.Epoch != t.epoch {
		metrics.GetOrRegisterCounter("scheduler.withheld", t.service.registry).Inc(1)
		return
	}
	t.send(worker, build)
}

// send drops messages to workers that are not linked. The core recovers through
// its timeouts and the workers' reports.
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
	payload := t.unfinishedJobs[act.JobID].Payload
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

func (t *term) recordNotice(act sched.Notice) {
	metrics.GetOrRegisterCounter("scheduler.reasons."+string(act.Reason), t.service.registry).Inc(1)
	t.service.log.Info().Str("job", act.JobID).Str("worker", act.Worker).Str("reason", string(act.Reason)).Str("detail", act.Detail).Msg("decision")
}

// enqueueSave queues a write of a job's row. The writes of one job are done in
// order.
func (t *term) enqueueSave(record api.JobRecord) {
	id := record.Job.ID
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingSaves[id] = append(t.pendingSaves[id], pendingSave{record})
	if len(t.pendingSaves[id]) > 1 {
		return
	}
	t.saveLoops.Add(1)
	go t.saveLoop(id)
}

func (t *term) saveLoop(id string) {
	defer t.saveLoops.Done()
	t.saveSlots <- struct{}{}
	defer func() { <-t.saveSlots }()
	for {
		t.mu.Lock()
		work := t.pendingSaves[id]
		if len(work) == 0 {
			delete(t.pendingSaves, id)
			t.mu.Unlock()
			return
		}
		record := work[0].record
		t.mu.Unlock()
		t.saveRecord(record)
		t.mu.Lock()
		t.pendingSaves[id] = t.pendingSaves[id][1:]
		t.mu.Unlock()
	}
}

// saveRecord writes a record and passes the result to the core, or invalidates
// the term if the row cannot be written by this owner any more.
func (t *term) saveRecord(record api.JobRecord) {
	written, err := t.writeWithRetry(record)
	switch {
	case err == nil:
		t.completeSave(written, false)
	case isPermanent(err):
		t.invalidate(err)
	case nothingWritten(err):
		t.completeSave(record, true)
	}
}

// writeWithRetry retries until the write is known to have taken effect, fails
// permanently, or the term ends. For a record that is not final it returns an
// error as soon as nothing was written, unless the outcome of an earlier try is
// unknown: that one may still take effect. A final record that the table rejects is
// written without the outputs of its tasks, so that the job ends.
func (t *term) writeWithRetry(record api.JobRecord) (api.JobRecord, error) {
	outcomeUnknown := false
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, saveTimeout)
		row, err := t.service.store.Save(ctx, t.epoch, record)
		cancel()
		if err == nil {
			return row.Record, nil
		}
		metrics.GetOrRegisterCounter("scheduler.save_failed", t.service.registry).Inc(1)
		if errors.Is(err, ledger.ErrRejected) {
			smaller, ok := withoutOutputs(record)
			if !ok {
				return record, err
			}
			t.service.log.Error().Err(err).Str("job", record.Job.ID).Msg("outputs of a job do not fit the table; the job ends without them")
			record = smaller
			continue
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, ledger.ErrOutcomeUnknown)
		if isPermanent(err) || nothingWritten(err) && !outcomeUnknown && record.State != api.JobFinal {
			return record, err
		}
		kernel.Sleep(t.ctx, saveRetryDelay)
	}
	return record, t.ctx.Err()
}

// withoutOutputs returns a final record without the outputs of its tasks, and with the
// reason; ok is false if it has none.
func withoutOutputs(record api.JobRecord) (smaller api.JobRecord, ok bool) {
	bytes := 0
	results := slices.Clone(record.Results)
	for i := range results {
		bytes += len(results[i].Output)
		results[i].Output = nil
	}
	if record.State != api.JobFinal || bytes == 0 {
		return record, false
	}
	record.Results = results
	record.Detail = strings.TrimPrefix(fmt.Sprintf("%s; outputs of %d bytes do not fit the table", record.Detail, bytes), "; ")
	return record, true
}

// nothingWritten reports whether an error guarantees that the write had no effect.
func nothingWritten(err error) bool {
	return errors.Is(err, ledger.ErrDown) || errors.Is(err, ledger.ErrOverloaded) ||
		errors.Is(err, ledger.ErrRejected) && !errors.Is(err, ledger.ErrOutcomeUnknown)
}

func (t *term) completeSave(record api.JobRecord, failed bool) {
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
	t.markFinal(id)
	s.waiters.NotifyFinal(record)
}

// invalidate makes the next tick end the term, so that a new term reads the rows
// again.
func (t *term) invalidate(err error) {
	t.service.log.Warn().Err(err).Uint64("epoch", t.epoch).Msg("job row can no longer be written in this term; ending the term")
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	t.invalidated = true
}

// waitForSaves returns when no save is pending or ctx has ended.
func (t *term) waitForSaves(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		t.saveLoops.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
