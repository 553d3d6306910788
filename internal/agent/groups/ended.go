package groups

import "time"

// endedGroups remembers the groups that must not start again: recent ones with
// their final reports, older ones as tombstones (the ref alone). Both are
// bounded. A forgotten ref could start again only if the owner held and started
// it anew with a fresh permission, which the attempt's row in the table prevents.
type endedGroups struct {
	cfg              Config
	finalReports     map[Ref]*finalReport
	finalReportOrder []Ref // oldest first
	tombstones       map[Ref]State
	tombstoneOrder   []Ref // oldest first
}

// finalReport is the last report on a group, with the time it was last requested.
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

// find returns the report on an ended or refused ref. It counts as a request of
// a final report.
func (e *endedGroups) find(ref Ref, now time.Duration) (Report, bool) {
	if f := e.finalReports[ref]; f != nil {
		f.lastRequested = now
		return f.report, true
	}
	state, found := e.tombstones[ref]
	return Report{Ref: ref, State: state}, found
}

// addReport stores a final report. Beyond MaxFinalReports the oldest one is
// replaced by a tombstone.
func (e *endedGroups) addReport(r Report, now time.Duration) {
	e.finalReports[r.Ref] = &finalReport{r, now}
	e.finalReportOrder = append(e.finalReportOrder, r.Ref)
	if len(e.finalReportOrder) > e.cfg.MaxFinalReports {
		e.forgetReport(e.finalReportOrder[0])
		e.finalReportOrder = e.finalReportOrder[1:]
	}
}

// forgetReport replaces a final report by a tombstone.
func (e *endedGroups) forgetReport(ref Ref) {
	delete(e.finalReports, ref)
	e.addTombstone(ref, Absent)
}

// addTombstone marks a ref as one that must never start. The state is Refused
// if no task of it can have started before, otherwise Absent. Beyond
// MaxTombstones the oldest tombstone is dropped.
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

// expireReports replaces final reports not requested for FinalReportTTL by
// tombstones.
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
