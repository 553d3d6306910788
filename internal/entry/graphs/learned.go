package graphs

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/graph/plan"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/learned"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

const (
	// learnedInterval is the least time between two writes of the learned state.
	learnedInterval = 3 * time.Second
	// learnedWriteTimeout bounds one write. It is below learnedInterval, so that a slow
	// table holds at most one.
	learnedWriteTimeout = time.Second
	// learnedRefreshAge is the age at which an unchanged row is written again, because
	// the next owner ignores it after learned.MaxAge.
	learnedRefreshAge = learned.MaxAge / 2
)

// restoreLearned passes the row to the core, and logs once why it or a part of it is
// ignored. It is called before the jobs are added.
func (t *term) restoreLearned(s *Scheduler, row ledger.Row) {
	t.learned = &learnedWriter{term: t, now: s.now, rowVersion: row.Version}
	if row.Unreadable {
		t.ignoreLearned(errors.Annotate(learned.ErrMalformed, "no envelope"))
		return
	}
	state, age, findings, err := learned.Decode(row.Data, s.now())
	if err != nil {
		t.ignoreLearned(err)
		return
	}
	restored, ok := t.restoreCore(s, state, age)
	if !ok {
		return
	}
	for _, f := range append(findings, restored...) {
		metrics.GetOrRegisterCounter("learned.parts_ignored", t.registry).Inc(1)
		t.log.Warn().Err(f.Err).Str("part", string(f.Part)).Msg("part of the learned state ignored")
	}
	metrics.GetOrRegisterCounter("learned.restored", t.registry).Inc(1)
	t.log.Info().Dur("age_ms", age).Int("bytes", len(row.Data)).Msg("learned state restored")
}

func (t *term) ignoreLearned(err error) {
	metrics.GetOrRegisterCounter("learned.ignored", t.registry).Inc(1)
	t.log.Warn().Err(err).Msg("learned state ignored")
}

// restoreCore restores the state of the core. After a panic the term begins with a new
// core, as the row would otherwise end each term until it is too old.
func (t *term) restoreCore(s *Scheduler, state learned.State, age time.Duration) (findings []learned.Finding, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer func() {
		if v := recover(); v != nil {
			t.core = plan.New(s.coreConfig(t.token))
			t.log.Error().Bytes("stack", debug.Stack()).Msg("restoring the learned state panicked")
			t.ignoreLearned(errors.Errorf("panic: %v", v))
		}
	}()
	return t.core.Restore(state, age), true
}

// learnedWriter writes what the owner has learned, off the path of decisions. Only run
// uses it after the term has begun, so at most one write is in flight.
type learnedWriter struct {
	term       *term
	now        func() time.Time // time of day
	rowVersion uint64           // version of the row as far as it is known
	written    learned.State    // by this term
	writtenAt  time.Time        // zero if this term has not written the row
}

// run writes the state each learnedInterval until the term ends.
func (w *learnedWriter) run(ctx context.Context) {
	for {
		kernel.Sleep(ctx, learnedInterval)
		if ctx.Err() != nil {
			return
		}
		w.write(ctx)
	}
}

// write writes the state if it has changed. A write that fails is left to the next
// interval.
func (w *learnedWriter) write(ctx context.Context) {
	t := w.term
	defer func() {
		if v := recover(); v != nil {
			w.fail(errors.Errorf("panic: %v\n%s", v, debug.Stack()))
		}
	}()
	if !t.store.tableAnswers() {
		metrics.GetOrRegisterCounter("learned.writes_skipped", t.registry).Inc(1)
		return
	}
	state, takenAt, ok := w.snapshot()
	if !ok || !w.due(state, takenAt) {
		return
	}
	data, dropped, err := learned.Encode(state, takenAt)
	if err != nil {
		w.fail(err)
		return
	}
	metrics.GetOrRegisterCounter("learned.entries_dropped", t.registry).Inc(int64(dropped.Total()))
	w.commit(ctx, data, state, takenAt)
}

// snapshot copies the state under the term's lock; ok is false if the term is over.
func (w *learnedWriter) snapshot() (state learned.State, takenAt time.Time, ok bool) {
	t := w.term
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.endAfterPanic()
	if t.closed || !t.ownsScheduling() {
		return learned.State{}, time.Time{}, false
	}
	return t.core.Learned(), w.now(), true
}

// due reports whether a state is to be written: it has changed, or the row would soon be
// too old.
func (w *learnedWriter) due(state learned.State, now time.Time) bool {
	if state.Empty() {
		return false
	}
	return state.Changed(w.written) || now.Sub(w.writtenAt) >= learnedRefreshAge
}

func (w *learnedWriter) commit(ctx context.Context, data []byte, state learned.State, takenAt time.Time) {
	t := w.term
	ctx, cancel := context.WithTimeout(ctx, learnedWriteTimeout)
	defer cancel()
	start := t.clock()
	fenceVersion, rowVersion, err := t.store.SaveLearned(ctx, t.fenceVersion, w.rowVersion, data)
	switch {
	case err == nil:
		w.rowVersion, w.written, w.writtenAt = rowVersion, state, takenAt
		metrics.GetOrRegisterTimer("learned.write", t.registry).Update(t.clock() - start)
		metrics.GetOrRegisterHistogram("learned.bytes", t.registry, newSample()).Update(int64(len(data)))
	case errors.Is(err, ledger.ErrConflict) && fenceVersion != t.fenceVersion:
		t.cancel(errors.Annotate(err, "another owner has begun its term"))
	case errors.Is(err, ledger.ErrConflict):
		w.rowVersion = rowVersion // of an earlier write that was given up, or the row was removed
		w.fail(err)
	default:
		w.fail(err)
	}
}

func (w *learnedWriter) fail(err error) {
	metrics.GetOrRegisterCounter("learned.writes_failed", w.term.registry).Inc(1)
	w.term.log.Debug().Err(err).Msg("failed to write the learned state")
}
