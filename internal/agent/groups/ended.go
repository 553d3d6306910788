package groups

import "time"

// endedGroups remembers the groups that must not start again: the last ones
// with their final reports, those before them by their refs alone. Both are
// bounded. A ref that has been forgotten cannot start either unless the owner
// holds and starts it anew with a fresh permission, which the attempt's row in
// the table prevents.
type endedGroups struct {
	cfg        Config
	finals     map[Ref]*final
	finalOrder []Ref // oldest first
	tombstones map[Ref]State
	tombOrder  []Ref // oldest first
}

// final is a final report and when it was last asked for.
type final struct {
	report Report
	asked  time.Duration
}

func newEndedGroups(cfg Config) endedGroups {
	return endedGroups{
		cfg:        cfg,
		finals:     map[Ref]*final{},
		tombstones: map[Ref]State{},
	}
}

// find returns what is reported for a ref that has ended.
func (e *endedGroups) find(ref Ref, now time.Duration) (Report, bool) {
	if f := e.finals[ref]; f != nil {
		f.asked = now
		return f.report, true
	}
	state, buried := e.tombstones[ref]
	return Report{Ref: ref, State: state}, buried
}

// keep remembers a final report. Beyond the bound the oldest one goes.
func (e *endedGroups) keep(r Report, now time.Duration) {
	e.finals[r.Ref] = &final{r, now}
	e.finalOrder = append(e.finalOrder, r.Ref)
	if len(e.finalOrder) > e.cfg.MaxFinalReports {
		e.forget(e.finalOrder[0])
		e.finalOrder = e.finalOrder[1:]
	}
}

// forget keeps only the ref of a final report.
func (e *endedGroups) forget(ref Ref) {
	delete(e.finals, ref)
	e.bury(ref, Absent)
}

// bury remembers a ref that never starts from now on: as Refused when it has
// certainly not started before either, as Absent otherwise. Beyond the bound
// the oldest one goes.
func (e *endedGroups) bury(ref Ref, state State) {
	if _, known := e.tombstones[ref]; known {
		return
	}
	e.tombstones[ref] = state
	e.tombOrder = append(e.tombOrder, ref)
	if len(e.tombOrder) > e.cfg.MaxTombstones {
		delete(e.tombstones, e.tombOrder[0])
		e.tombOrder = e.tombOrder[1:]
	}
}

// expire forgets the final reports that nobody has asked for in a while.
func (e *endedGroups) expire(now time.Duration) {
	kept := e.finalOrder[:0]
	for _, ref := range e.finalOrder {
		if now-e.finals[ref].asked >= e.cfg.FinalReportTTL {
			e.forget(ref)
			continue
		}
		kept = append(kept, ref)
	}
	e.finalOrder = kept
}

func (e *endedGroups) reports() []Report {
	list := make([]Report, 0, len(e.finalOrder))
	for _, ref := range e.finalOrder {
		list = append(list, e.finals[ref].report)
	}
	return list
}
