package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// A job whose progress was rejected is not placed again before a pause, which doubles
// with each rejection. If nothing else of it changes, its progress is saved again then.
const (
	minRejectionPause = time.Second
	maxRejectionPause = time.Minute
	// maxHoldBack is the time for which a job that the table rejects may keep the ends of
	// other jobs unacknowledged that are stored.
	maxHoldBack = 30 * time.Second
)

// handleSaveRejected handles a save that the table will never take. The runs that waited
// for it are abandoned, so that they keep no room, and the job is placed again after a
// pause. What else waited for the save, such as the acknowledgement of ends, waits for the
// next one.
func (c *Core) handleSaveRejected(e SaveRejected) {
	j := c.jobs[e.Job]
	if j == nil || !j.saveInProgress || j.saveNumber != e.Number {
		return
	}
	j.saveInProgress = false
	j.rejectedSaves++
	waiting := j.afterCurrentSave
	j.afterCurrentSave = nil
	var kept []afterSave
	for _, a := range waiting {
		if a.rejected == nil {
			kept = append(kept, a)
			continue
		}
		a.rejected()
	}
	j.afterNextSave = append(kept, j.afterNextSave...)
	pause := rejectionPause(j.rejectedSaves)
	for _, u := range j.units {
		if u.phase == unitWaiting {
			u.notBefore = c.now + pause
			c.dropClaim(u)
		}
	}
	if !j.rejected {
		j.rejected, j.rejectedSince = true, c.now
	}
	j.saveAgainAt = c.now + pause
	if !slices.Contains(c.rejectedJobs, j) {
		c.rejectedJobs = append(c.rejectedJobs, j)
	}
	c.emit(Notice{Reason: ReasonSaveRejected, Job: j.ID, Detail: fmt.Sprintf("%d abandoned runs, next placement after %v", len(waiting)-len(kept), pause)})
}

// saveRejectedAgain requests the saves of the jobs whose pause is over.
func (c *Core) saveRejectedAgain() {
	jobs := c.rejectedJobs
	c.rejectedJobs = nil
	for _, j := range jobs {
		switch {
		case !j.rejected:
		case j.saveInProgress:
			c.rejectedJobs = append(c.rejectedJobs, j)
		case c.now-j.rejectedSince >= maxHoldBack && c.holdsBackOthers(j):
			c.endRejectedJob(j)
		case c.now < j.saveAgainAt:
			c.keepEndsOfCutLists(j)
			c.rejectedJobs = append(c.rejectedJobs, j)
		default:
			c.requestSave(j, nil)
		}
	}
}

// keepEndsOfCutLists keeps the ends of a rejected job where a list of ends is cut. Unless a
// save succeeds meanwhile, nothing shows whether they hold back others or the table rejects
// everything: a fleet whose ends are all behind such lists saves nothing.
func (c *Core) keepEndsOfCutLists(j *job) {
	if c.now-j.rejectedSince < maxHoldBack {
		return
	}
	for _, w := range c.sortedWorkers {
		if w.moreEnds {
			c.keepPendingEnds(w, j)
		}
	}
}

// keepPendingEnds keeps the ends of a job that a worker waits to have acknowledged.
func (c *Core) keepPendingEnds(w *worker, j *job) {
	for _, ack := range w.pendingAcks {
		if ack.job == j && !ack.saved {
			ack.saved = c.keepEnd(ack.end)
		}
	}
	c.acknowledgeEnds(w, false)
}

// holdsBackOthers reports whether ends of a job that the table rejects keep stored ends of
// other jobs unacknowledged. A table that rejects every job stores no such end.
func (c *Core) holdsBackOthers(j *job) bool {
	for _, w := range c.sortedWorkers {
		waits := false
		for _, a := range w.pendingAcks {
			switch {
			case a.job == j:
				waits = waits || !a.saved
			case waits && a.saved && a.job != nil:
				return true
			}
		}
		if waits && w.moreEnds && c.lastSavedAt > j.rejectedSince {
			return true
		}
	}
	return false
}

// endRejectedJob fails a job that holds back the ends of others, so that its state alone is
// stored: no task of a final job starts again. If the table rejects that too, its ends are
// stored beside it, and those of which the loss starts no done task again are acknowledged
// without a save.
func (c *Core) endRejectedJob(j *job) {
	j.rejectedSince = c.now
	switch {
	case j.stateOnly:
		for _, w := range c.sortedWorkers {
			c.keepPendingEnds(w, j)
		}
		var kept []afterSave
		for _, a := range j.afterNextSave {
			if a.unstored == nil {
				kept = append(kept, a)
				continue
			}
			a.unstored()
		}
		j.afterNextSave = kept
		c.rejectedJobs = append(c.rejectedJobs, j)
	case j.state.Final():
		j.stateOnly = true
		c.requestSave(j, nil)
	default:
		j.stateOnly = true
		c.finishJob(j, graph.Failed, Notice{Reason: ReasonJobFailed, Detail: "; the table rejects its progress"})
	}
}

// rejectionPause returns the pause after the given number of rejections, at least 1.
func rejectionPause(rejections int) time.Duration {
	pause := minRejectionPause
	for range rejections - 1 {
		pause = min(2*pause, maxRejectionPause)
	}
	return pause
}
