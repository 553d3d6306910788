package groups

import "time"

// endedGroups remembers the groups that must not start again: the last ones
// with their final reports, those before them by their refs alone. Both are
// bounded. A ref that has been forgotten cannot start either unless the owner
// holds and starts it anew with a fresh permission, which the attempt's row in
// the table prevents.
type endedGroups struct {
	cfg              Config
	finalReports     map[Ref]*finalReport
	finalReportOrder []Ref // oldest first
	tombstones       map[Ref]State
	tombstoneOrder   []Ref // oldest first
}

// finalReport is a finalReport report and when it was last asked for.
type finalReport struct {
	report        Report
	lastRequested time.Duration
}

func newEndedGroups(cfg Config) endedGroups {
	return endedGroups{
		cfg:          cfg,
		finalReports: map[Ref]*finalReport{},
		tombstones:   map[Ref]State{},
	}
}

// find returns what is reported for a ref that has ended.
func (e *endedGroups) find(ref Ref, now time.Duration) (Report, bool) {
	if f := e.finalReports[ref]; f != nil {
		f.lastRequested = now
		return f.report, true
	}
	state, found := e.tombstones[ref]
	return Report{Ref: ref, State: state}, found
}

// addReport remembers a final report. Beyond the bound the oldest one goes.
func (e *endedGroups) addReport(r Report, now time.Duration) {
	e.finalReports[r.Ref] = &finalReport{r, now}
	e.finalReportOrder = append(e.finalReportOrder, r.Ref)
	if len(e.finalReportOrder) > e.cfg.MaxFinalReports {
		e.forgetReport(e.finalReportOrder[0])
		e.finalReportOrder = e.finalReportOrder[1:]
	}
}

// forgetReport keeps only the ref of a final report.
func (e *endedGroups) forgetReport(ref Ref) {
	delete(e.finalReports, ref)
	e.addTombstone(ref, Absent)
}

// addTombstone remembers a ref that never starts from now on: as Refused when it has
// certainly not started before either, as Absent otherwise. Beyond the bound
// the oldest one goes.
func (e *endedGroups) addTombstone(ref Ref, state State) {
	if _, known := e.tombstones[ref]; known {
		return
	}
	e.tombstones[ref] = state
	e.tombstoneOrder = append(e.tombstoneOrder, ref)
	if len(e.tombstoneOrder) > e.cfg.MaxTombstones {
		delete(e.tombstones, e.tombstoneOrder[0])
		e.tombstoneOrder = e.tombstoneOrder[1:]
	}
}

// expireReports forgets the final reports that nobody has asked for in a while.
func (e *endedGroups) expireReports(now time.Duration) {
	kept := e.finalReportOrder[:0]
	for _, ref := range e.finalReportOrder {
		if now-e.finalReports[ref].lastRequested >= e.cfg.FinalReportTTL {
			e.forgetReport(ref)
			continue
		}
		kept = append(kept, ref)
	}
	e.finalReportOrder = kept
}

func (e *endedGroups) reports() []Report {
	list := make([]Report, 0, len(e.finalReportOrder))
	for _, ref := range e.finalReportOrder {
		list = append(list, e.finalReports[ref].report)
	}
	return list
}
