package keeper

import "time"

// maxClockDrift is the maximum relative rate by which the worker's clock may be
// slow against the agent's.
const maxClockDrift = 0.02

// lease computes deadlines on a worker's clock from the owner's grants. It does no
// I/O; times are on the agent's clock unless stated otherwise. A grant counts from
// the time its report was sent. The owner counts from the receipt of the report, so
// it always assumes a later end of the lease than the actual one.
type lease struct {
	clockKnown  bool
	workerClock time.Duration // lower bound of the worker's clock at observedAt
	observedAt  time.Duration

	reports []sentReport
	// deadline is the granted deadline on the worker's clock; grantReportAt is
	// the send time of the report that the grant refers to.
	deadline      time.Duration
	grantReportAt time.Duration
	// usedReportAt is grantReportAt of the last deadline that may have reached
	// the worker.
	usedReportAt time.Duration
	// length is that of the last granted lease, 0 before the first one.
	length time.Duration
}

type sentReport struct {
	number         uint64
	sentAt         time.Duration
	minWorkerClock time.Duration // lower bound of the worker's clock
}

// maxPendingReports is the maximum number of reports remembered for a grant.
const maxPendingReports = 32

// observeClock records the worker's clock from a reply that arrived at now.
func (l *lease) observeClock(now, workerClock time.Duration) {
	if l.clockKnown && l.minWorkerClock(now) > workerClock {
		return
	}
	l.clockKnown, l.workerClock, l.observedAt = true, workerClock, now
}

// minWorkerClock returns a lower bound of the worker's clock at now.
func (l *lease) minWorkerClock(now time.Duration) time.Duration {
	return l.workerClock + time.Duration(float64(now-l.observedAt)*(1-maxClockDrift))
}

// recordReport records that a report is sent at now.
func (l *lease) recordReport(number uint64, now time.Duration) {
	if !l.clockKnown {
		return
	}
	l.reports = append(l.reports, sentReport{number, now, l.minWorkerClock(now)})
	if len(l.reports) > maxPendingReports {
		l.reports = l.reports[1:]
	}
}

// applyGrant applies the owner's grant of a lease for a report.
func (l *lease) applyGrant(number uint64, length time.Duration) {
	for i, b := range l.reports {
		if b.number != number {
			continue
		}
		if d := b.minWorkerClock + length; d > l.deadline {
			l.deadline, l.grantReportAt, l.length = d, b.sentAt, length
		}
		l.reports = l.reports[i+1:]
		return
	}
}

// over reports whether the last granted lease had ended by now. The owner may have given up
// the worker's runs then.
func (l *lease) over(now time.Duration) bool { return l.length > 0 && now > l.grantReportAt+l.length }

// takeDeadline returns the deadline to send to the worker now and records it as
// possibly received.
func (l *lease) takeDeadline() time.Duration {
	l.usedReportAt = max(l.usedReportAt, l.grantReportAt)
	return l.deadline
}

// age returns the age of the report on which the worker's lease may be based.
func (l *lease) age(now time.Duration) time.Duration { return now - l.usedReportAt }

// forgetReports discards the reports of an earlier connection.
func (l *lease) forgetReports() { l.reports = nil }

// reset discards all state, for a new incarnation of the worker or one whose lease
// is unknown.
func (l *lease) reset(now time.Duration) { *l = lease{usedReportAt: now, grantReportAt: now} }
