package graphs

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/policy"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// term is a period in which this process owns scheduling under one epoch.
type term struct {
	epoch        uint64        // epoch of the ownership
	token        uint64        // fencing token of the term
	fenceVersion uint64        // version of the fence row
	startedAt    time.Duration // on clock; time 0 of the core
	clock        func() time.Duration
	owner        Ownership
	store        *Store
	policies     *policy.Watcher
	limits       Limits
	registry     metrics.Registry
	log          zerolog.Logger
	skipped      *kernel.LogLimiter // bounds the lines on jobs that are skipped
	ctx          context.Context
	cancel       context.CancelCauseFunc
	outlook      outlookBoard
	learned      *learnedWriter // nil without feature.SavedLearning
	lag          lagMonitor

	// Handlers of reports put a value into reportTurn before they lock mu, and queries into
	// queryTurn. At most one report and one query therefore wait for mu, so that the other
	// inputs (the feed, saves) do not wait for one report of each worker.
	reportTurn, queryTurn chan struct{}

	mu           sync.Mutex
	core         *plan.Core
	progressRows map[graph.JobID]*progressRows
	endsVersions map[graph.JobID]*rowVersion // of jobs that have or had a row with ends
	sessions     map[string]*session         // by worker ID
	epochs       workerEpochs
	unflushed    map[*session]bool // with orders that their senders have not been told of
	policy       *policy.Snapshot  // in force; nil before the first
	pacer        passPacer
	passArranged bool // a timer will run the next pass
	closed       bool
}

// skippedLogInterval is the least time between two log lines about skipped jobs.
const skippedLogInterval = time.Second

func newTerm(s *Scheduler, epoch, token, fenceVersion uint64, cancel context.CancelCauseFunc) *term {
	log := s.log.With().Uint64("epoch", epoch).Uint64("token", token).Logger()
	return &term{
		epoch:        epoch,
		token:        token,
		fenceVersion: fenceVersion,
		startedAt:    s.clock(),
		clock:        s.clock,
		owner:        s.owner,
		store:        s.store,
		policies:     s.policies,
		registry:     s.registry,
		log:          log,
		skipped:      kernel.NewLogLimiter(skippedLogInterval),
		lag:          lagMonitor{clock: s.clock, registry: s.registry, log: log},
		cancel:       cancel,
		limits:       s.limits,
		core:         plan.New(s.coreConfig(token)),
		reportTurn:   make(chan struct{}, 1),
		queryTurn:    make(chan struct{}, 1),
		progressRows: map[graph.JobID]*progressRows{},
		endsVersions: map[graph.JobID]*rowVersion{},
		sessions:     map[string]*session{},
		epochs:       newWorkerEpochs(token),
		unflushed:    map[*session]bool{},
	}
}

func (s *Scheduler) coreConfig(token uint64) plan.Config {
	return plan.Config{
		FencingToken:    token,
		TermStart:       s.now(),
		LeaseBound:      s.limits.leaseBound(),
		LateLeaseBound:  s.limits.lateLeaseBound(),
		StopTime:        s.limits.StopTime,
		TakeoverOverlap: s.owner.Overlap(),
		Features:        s.features,
	}
}

// ownsScheduling reports whether this process still owns scheduling under the epoch.
func (t *term) ownsScheduling() bool {
	a := t.owner.Current()
	return a.Owner && a.Epoch == t.epoch
}

// loadJobs passes jobs from the table to the core, which ignores jobs that it
// knows already. It leaves out those with rows that could not be decoded: without its
// progress, a job that is done would run again.
func (t *term) loadJobs(jobs []*storedJob) {
	t.withCore(func() {
		var events []plan.Event
		for _, j := range jobs {
			if j.endsVersion > 0 && t.endsVersions[j.id] == nil {
				known := t.endsVersionOf(j.id)
				known.odd = j.oddEnds
				known.Store(j.endsVersion)
			}
			// The feed brings the head of a progress without its parts.
			onlyHead := errors.Is(j.err, errPartMissing) && t.knowsJob(j.id)
			if j.err != nil && !onlyHead {
				metrics.GetOrRegisterCounter("plan.unreadable_jobs", t.registry).Inc(1)
				if suppressed, ok := t.skipped.Allow(time.Now()); ok {
					t.log.Error().Err(j.err).Str("job", string(j.id)).Int("suppressed", suppressed).Msg("job skipped: a row of it cannot be decoded")
				}
				if validJobID(j.id) {
					events = append(events, plan.JobUnreadable{Job: j.id, Ends: j.ends})
				}
				continue
			}
			if j.job != nil && !onlyHead {
				if j.progress != nil && t.progressRows[j.id] == nil {
					t.progressRows[j.id] = &j.rows
				}
				events = append(events, plan.JobSubmitted{Job: j.job, Progress: j.progress, Ends: j.ends})
			}
			if j.cancelled {
				events = append(events, plan.JobCancelled{Job: j.id})
			}
		}
		t.handle(events...)
	})
}

func (t *term) knowsJob(id graph.JobID) bool {
	_, known := t.core.JobStatus(id)
	return known
}

// progressRowsOf returns what is known of the rows of a job's progress.
func (t *term) progressRowsOf(id graph.JobID) *progressRows {
	if t.progressRows[id] == nil {
		t.progressRows[id] = &progressRows{}
	}
	t.progressRows[id].ends = t.endsVersions[id]
	return t.progressRows[id]
}

// step passes one event to the core and applies the resulting actions.
func (t *term) step(ev plan.Event) { t.withCore(func() { t.handle(ev) }) }

// withCore applies the newest configuration and calls do, both with the term's lock held,
// unless the term is over.
func (t *term) withCore(do func()) { t.withCoreSince(t.lag.arrive(), do) }

// withCoreSince is withCore for an event that has waited since arrivedAt.
func (t *term) withCoreSince(arrivedAt time.Duration, do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.admit(arrivedAt)
	defer t.endAfterPanic()
	if !t.closed {
		t.applyNewestPolicy()
		do()
	}
}

// applyNewestPolicy passes the newest configuration to the core if that does not know it.
// The term takes it from the watcher, which never goes back to an earlier one and never
// waits for the term. The caller holds the lock.
func (t *term) applyNewestPolicy() {
	if p := t.policies.LatestSnapshot(); p != t.policy {
		t.policy = p
		t.handle(plan.PolicyChanged{Policy: p})
	}
}

// query passes the core to read, which must not change it. It returns false if ctx ends
// before the query's turn.
func (t *term) query(ctx context.Context, read func(*plan.Core)) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case t.queryTurn <- struct{}{}:
	}
	defer func() { <-t.queryTurn }()
	t.mu.Lock()
	defer t.mu.Unlock()
	read(t.core)
	return true
}

// handle passes events to the core and applies the resulting actions. A scheduling pass
// that they call for follows at once or when the pacer allows it. The caller holds the
// lock.
func (t *term) handle(events ...plan.Event) {
	urgent := false
	for _, ev := range events {
		t.applyActions(t.core.Handle(t.now(), ev))
		urgent = urgent || isUrgent(ev)
	}
	t.schedule(urgent)
}

// isUrgent reports whether an event is a new job of the first priority.
func isUrgent(ev plan.Event) bool {
	submitted, ok := ev.(plan.JobSubmitted)
	return ok && submitted.Job.Priority == 0
}

// schedule runs the scheduling pass that the core needs, or arranges for it. The
// caller holds the lock.
func (t *term) schedule(urgent bool) {
	if !t.core.NeedsScheduling() {
		return
	}
	wait := t.pacer.wait(t.now(), urgent)
	switch {
	case wait <= 0:
		t.runPass()
	case !t.passArranged:
		t.passArranged = true
		time.AfterFunc(wait, t.runArrangedPass)
	}
}

func (t *term) runPass() {
	startedAt := t.now()
	t.applyActions(t.core.Schedule(startedAt))
	endedAt := t.now()
	t.pacer.record(startedAt, endedAt)
	t.lag.recordPass(endedAt - startedAt)
}

func (t *term) runArrangedPass() {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.endAfterPanic()
	t.passArranged = false
	if !t.closed {
		t.applyNewestPolicy()
		t.schedule(false)
	}
}

// endAfterPanic, if deferred, ends the term after a panic of the core, whose state is
// not reliable any more. The next term rebuilds it from the table and the reports.
func (t *term) endAfterPanic() {
	v := recover()
	if v == nil {
		return
	}
	metrics.GetOrRegisterCounter("plan.panics", t.registry).Inc(1)
	t.log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("scheduling core panicked")
	t.closed = true
	t.cancel(errors.Errorf("scheduling core panicked: %v", v))
}

// now returns the time on the core's clock.
func (t *term) now() time.Duration { return t.clock() - t.startedAt }

// applyActions applies the core's actions. If the ownership has ended, the
// remaining orders are dropped along with the term: the next owner decides.
func (t *term) applyActions(actions []plan.Action) {
	ownershipChecked := false
	for _, a := range actions {
		switch a := a.(type) {
		case plan.Notice:
			t.recordNotice(a)
			continue
		case plan.RunTimeObserved:
			t.recordRunTime(a)
			continue
		case plan.SaveProgress:
			go t.saveProgress(a, t.progressRowsOf(a.Job))
			continue
		case plan.SaveEnds:
			go t.saveEnds(a, t.endsVersionOf(a.Job))
			continue
		}
		if !ownershipChecked && !t.ownsScheduling() {
			t.cancel(errors.New("ownership is over"))
			return
		}
		ownershipChecked = true
		t.queueOrder(a)
	}
	t.flushSessions()
}

func (t *term) queueOrder(a plan.Action) {
	switch a := a.(type) {
	case plan.StartRun:
		t.recordQueueTime(a)
		t.addOrder(a.Worker, a.Incarnation, func(o *rpc.WorkerOrders) {
			o.Starts = append(o.Starts, rpc.StartTaskOf(a))
		})
		e := t.logDecision(a.Task.Job, "start ordered").Str("task", a.Task.String()).Uint64("run", a.Run).Str("worker", a.Worker)
		addNonempty(e, "checkpoint", a.Checkpoint).Msg("decision")
	case plan.StopRun:
		t.addOrder(a.Worker, a.Incarnation, func(o *rpc.WorkerOrders) {
			o.Stops = append(o.Stops, rpc.TaskRefOf(a.Task, a.Run))
		})
		e := t.logDecision(a.Task.Job, "stop ordered").Str("task", a.Task.String()).Uint64("run", a.Run).Str("worker", a.Worker)
		addNonempty(e, "reason", a.Reason).Msg("decision")
	case plan.GrantLease:
		t.addOrder(a.Worker, a.Incarnation, func(o *rpc.WorkerOrders) {
			o.GrantedBeat, o.LeaseMs = a.ReportNumber, t.limits.leaseDuration().Milliseconds()
		})
	case plan.AcknowledgeEnds:
		t.addOrder(a.Worker, a.Incarnation, func(o *rpc.WorkerOrders) { o.Acknowledged = max(o.Acknowledged, a.Number) })
	}
}

// recordQueueTime records how long a job has waited for its first start. Jobs
// within a guarantee are recorded in a second histogram as well.
func (t *term) recordQueueTime(a plan.StartRun) {
	if !a.FirstOfJob {
		return
	}
	metrics.GetOrRegisterTimer("plan.first_start", t.registry).Update(a.QueueTime)
	if a.Guaranteed {
		metrics.GetOrRegisterTimer("plan.first_start_guaranteed", t.registry).Update(a.QueueTime)
	}
}

func (t *term) logDecision(job graph.JobID, what string) *zerolog.Event {
	return t.log.Info().Str("job", string(job)).Str("what", what)
}

// addOrder applies add to the pending orders of a worker incarnation. Orders to a
// worker without a session are dropped.
func (t *term) addOrder(worker string, incarnation string, add func(*rpc.WorkerOrders)) {
	s := t.sessions[worker]
	if s == nil {
		return
	}
	s.addOrder(s.epoch, incarnation, add)
	t.unflushed[s] = true
}

func (t *term) flushSessions() {
	for s := range t.unflushed {
		s.flush()
	}
	clear(t.unflushed)
}

const (
	// The histograms hold about the last thousand values and favour those of the last
	// five minutes.
	histogramSize  = 1028
	histogramDecay = 0.015
)

// recordRunTime records by how many percent the caller's estimate and the expectation
// were off a run time, in either direction.
func (t *term) recordRunTime(a plan.RunTimeObserved) {
	newSample := func() metrics.Sample { return metrics.NewExpDecaySample(histogramSize, histogramDecay) }
	if a.Estimate > 0 {
		metrics.GetOrRegisterHistogram("plan.run_time_error_estimate", t.registry, newSample()).Update(percentOff(a.Estimate, a.Actual))
	}
	if a.Expected > 0 {
		metrics.GetOrRegisterHistogram("plan.run_time_error_expected", t.registry, newSample()).Update(percentOff(a.Expected, a.Actual))
	}
}

// percentOff returns by how many percent the longer of two times, which are above 0,
// exceeds the shorter.
func percentOff(a, b time.Duration) int64 {
	return int64(100*float64(max(a, b))/float64(max(1, min(a, b)))) - 100
}

// recordNotice counts and logs a decision.
func (t *term) recordNotice(n plan.Notice) {
	metrics.GetOrRegisterCounter("plan."+string(n.Reason), t.registry).Inc(1)
	e := t.logDecision(n.Job, string(n.Reason))
	if n.Task != "" {
		e = e.Str("task", n.Task).Uint64("run", n.Run)
	}
	e = addNonempty(e, "worker", n.Worker)
	e = addNonempty(e, "detail", n.Detail)
	e = addNonempty(e, "reason", n.Cause)
	if n.Size != nil {
		e = e.Int("tasks", n.Size.Tasks).Int("accelerators", n.Size.Needs.Accelerators).Int("milli_cpu", n.Size.Needs.MilliCPU)
	}
	e.Msg("decision")
}

// addNonempty adds a field to a log line unless its value is empty.
func addNonempty(e *zerolog.Event, key, value string) *zerolog.Event {
	if value == "" {
		return e
	}
	return e.Str(key, value)
}

// saveProgress writes a job's progress, retrying until it succeeds, the table rejects its
// content or the term ends.
func (t *term) saveProgress(a plan.SaveProgress, rows *progressRows) {
	start := time.Now()
	err := t.retrySave(string(a.Job), func() (uint64, error) {
		return t.store.SaveProgress(t.ctx, t.fenceVersion, a, rows)
	})
	switch {
	case err == nil:
		metrics.GetOrRegisterTimer("plan.save", t.registry).UpdateSince(start)
		t.recordSaved(a, rows)
	case errors.Is(err, ledger.ErrRejected):
		t.log.Error().Err(err).Str("job", string(a.Job)).Int("tasks", len(a.Progress.Tasks)).Msg("job progress cannot be stored")
		t.step(plan.SaveRejected{Job: a.Job, Number: a.Number})
	}
}

func (t *term) recordSaved(a plan.SaveProgress, rows *progressRows) {
	rows.release(a.Progress)
	t.withCore(func() {
		t.handle(plan.ProgressSaved{Job: a.Job, Number: a.Number})
	})
}

// close ends all sessions, so that their agents look for the next owner.
func (t *term) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, s := range t.sessions {
		s.close()
	}
}
