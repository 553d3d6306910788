package keeper

import "time"

// maxClockDrift is by how much the worker's clock may be slow against ours.
const maxClockDrift = 0.02

// lease computes deadlines on a worker's clock from the owner's grants. It is
// pure; times without a name are on the agent's clock. A grant counts from when
// its report was sent, so that the owner, which counts from the receipt, always
// takes the lease to last longer than it does.
type lease struct {
	clockKnown  bool
	workerClock time.Duration // the worker's clock at the time at, or earlier
	observedAt  time.Duration

	reports []sentReport
	// deadline is the granted one, on the worker's clock; grantedAt is when the
	// report was sent that it rests on.
	deadline      time.Duration
	grantReportAt time.Duration
	// usedReportAt is grantedAt of the last deadline that the worker may have got.
	usedReportAt time.Duration
}

type sentReport struct {
	number         uint64
	sentAt         time.Duration
	minWorkerClock time.Duration // lower bound of the worker's clock
}

// maxPendingReports bounds the reports that wait for a grant.
const maxPendingReports = 32

// observeClock takes an answer that arrived at now and carried the worker's clock.
func (l *lease) observeClock(now, workerClock time.Duration) {
	if l.clockKnown && l.minWorkerClock(now) > workerClock {
		return
	}
	l.clockKnown, l.workerClock, l.observedAt = true, workerClock, now
}

// minWorkerClock is a lower bound of the worker's minWorkerClock.
func (l *lease) minWorkerClock(now time.Duration) time.Duration {
	return l.workerClock + time.Duration(float64(now-l.observedAt)*(1-maxClockDrift))
}

// recordReport notes that a report is recordReport now.
func (l *lease) recordReport(number uint64, now time.Duration) {
	if !l.clockKnown {
		return
	}
	l.reports = append(l.reports, sentReport{number, now, l.minWorkerClock(now)})
	if len(l.reports) > maxPendingReports {
		l.reports = l.reports[1:]
	}
}

// applyGrant takes the owner's grant for a report.
func (l *lease) applyGrant(number uint64, length time.Duration) {
	for i, b := range l.reports {
		if b.number != number {
			continue
		}
		if d := b.minWorkerClock + length; d > l.deadline {
			l.deadline, l.grantReportAt = d, b.sentAt
		}
		l.reports = l.reports[i+1:]
		return
	}
}

// takeDeadline returns the deadline to send to the worker now.
func (l *lease) takeDeadline() time.Duration {
	l.usedReportAt = max(l.usedReportAt, l.grantReportAt)
	return l.deadline
}

// age is how long ago the report was sent on which the worker's lease may rest.
func (l *lease) age(now time.Duration) time.Duration { return now - l.usedReportAt }

// forgetReports drops what belongs to an earlier connection.
func (l *lease) forgetReports() { l.reports = nil }

// reset begins anew for another incarnation of the worker, or for one whose
// lease is not known.
func (l *lease) reset(now time.Duration) { *l = lease{usedReportAt: now, grantReportAt: now} }
