package plan

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// maxUnreadableHold is the time for which ends that cannot be stored may keep stored ends of
// other jobs unacknowledged. After that this owner alone knows of them.
const maxUnreadableHold = 10 * time.Minute

// markUnreadable records that a job exists whose rows cannot be read. Its ends wait until
// they can, as their effect cannot be stored.
func (c *Core) markUnreadable(e JobUnreadable) {
	if c.jobs[e.Job] == nil {
		c.unreadable[e.Job] = true
		c.restoreKeptEnds(e.Job, e.Ends)
	}
}

// Unreadable reports whether a job exists whose rows cannot be read.
func (c *Core) Unreadable(id graph.JobID) bool { return c.unreadable[id] }

// removeUnreadable records that such a job does not exist any more.
func (c *Core) removeUnreadable(id graph.JobID) {
	delete(c.unreadable, id)
	delete(c.keptEnds, id)
	c.processHeldEnds(id)
}

// holdEnd keeps the end of an unreadable job. It is acknowledged once it is stored beside the
// rows of the job.
func (c *Core) holdEnd(e graph.RunEnd, ack *pendingAck) {
	c.emit(Notice{Reason: ReasonEndHeld, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Detail: string(e.Kind)})
	ack.saved = c.keepEnd(e)
	ack.held = !ack.saved
}

// processHeldEnds processes the ends of a job that can be read now, or does not exist.
func (c *Core) processHeldEnds(id graph.JobID) {
	for _, w := range c.sortedWorkers {
		for _, ack := range w.pendingAcks {
			if ack.held && ack.end.Task.Job == id {
				c.processHeldEnd(w, ack)
			}
		}
		c.acknowledgeEnds(w, false)
	}
}

func (c *Core) processHeldEnd(w *worker, ack *pendingAck) {
	ack.held = false
	c.processEnd(w, ack.end, ack)
}

// watchHeldEnds gives up the ends of a worker that cannot be stored and hold back others for
// too long. This owner knows of them all the same, and applies those of an unreadable job if
// that is repaired.
func (c *Core) watchHeldEnds(w *worker) {
	var waiting []*pendingAck
	othersWait := w.moreEnds
	for _, ack := range w.pendingAcks {
		switch {
		case ack.unstorable() && c.now-ack.since >= maxUnreadableHold:
			waiting = append(waiting, ack)
		case ack.saved && ack.job != nil:
			othersWait = othersWait || slices.ContainsFunc(waiting, func(o *pendingAck) bool { return o.job != ack.job })
		}
	}
	if !othersWait {
		return
	}
	for _, ack := range waiting {
		c.giveUpEnd(w, ack)
	}
	c.acknowledgeEnds(w, false)
}

// unstorable reports whether the effect of an end cannot be stored: the rows of its job cannot
// be read, or the table rejects its final state.
func (a *pendingAck) unstorable() bool {
	return a.held || !a.saved && a.job != nil && a.job.rejected && a.job.stateOnly
}

// giveUpEnd lets an end be acknowledged whose effect is not stored.
func (c *Core) giveUpEnd(w *worker, ack *pendingAck) {
	if ack.held {
		ack.held = false
		c.recordLateEnd(w, ack.end, ack)
		return
	}
	ack.saved = true
	c.emit(Notice{Reason: ReasonEndGivenUp, Job: ack.job.ID, Task: ack.end.Task.String(), Run: ack.end.Run, Worker: w.info.ID, Detail: string(ack.end.Kind)})
}
