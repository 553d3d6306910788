package keeper

import "time"

// clockRate is by how much the worker's clock may be slow against ours.
const clockRate = 0.02

// lease computes deadlines on a worker's clock from the owner's grants. It is
// pure; times without a name are on the agent's clock. A grant counts from when
// its report was sent, so that the owner, which counts from the receipt, always
// takes the lease to last longer than it does.
type lease struct {
	known bool
	base  time.Duration // the worker's clock at the time at, or earlier
	at    time.Duration

	beats []sentBeat
	// deadline is the granted one, on the worker's clock; grantedAt is when the
	// report was sent that it rests on.
	deadline  time.Duration
	grantedAt time.Duration
	// orderedAt is grantedAt of the last deadline that the worker may have got.
	orderedAt time.Duration
}

type sentBeat struct {
	number uint64
	at     time.Duration
	clock  time.Duration // lower bound of the worker's clock
}

// maxBeats bounds the reports that wait for a grant.
const maxBeats = 32

// observe takes an answer that arrived at now and carried the worker's clock.
func (l *lease) observe(now, clock time.Duration) {
	if l.known && l.clock(now) > clock {
		return
	}
	l.known, l.base, l.at = true, clock, now
}

// clock is a lower bound of the worker's clock.
func (l *lease) clock(now time.Duration) time.Duration {
	return l.base + time.Duration(float64(now-l.at)*(1-clockRate))
}

// sent notes that a report is sent now.
func (l *lease) sent(number uint64, now time.Duration) {
	if !l.known {
		return
	}
	l.beats = append(l.beats, sentBeat{number, now, l.clock(now)})
	if len(l.beats) > maxBeats {
		l.beats = l.beats[1:]
	}
}

// granted takes the owner's grant for a report.
func (l *lease) granted(number uint64, length time.Duration) {
	for i, b := range l.beats {
		if b.number != number {
			continue
		}
		if d := b.clock + length; d > l.deadline {
			l.deadline, l.grantedAt = d, b.at
		}
		l.beats = l.beats[i+1:]
		return
	}
}

// order returns the deadline to send to the worker now.
func (l *lease) order() time.Duration {
	l.orderedAt = max(l.orderedAt, l.grantedAt)
	return l.deadline
}

// age is how long ago the report was sent on which the worker's lease may rest.
func (l *lease) age(now time.Duration) time.Duration { return now - l.orderedAt }

// forgetBeats drops what belongs to an earlier connection.
func (l *lease) forgetBeats() { l.beats = nil }

// restart begins anew for another incarnation of the worker, or for one whose
// lease is not known.
func (l *lease) restart(now time.Duration) { *l = lease{orderedAt: now, grantedAt: now} }
