package plan

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// maxUnreadableHold is the time for which the ends of a job with unreadable rows may keep
// stored ends of other jobs unacknowledged. Rows that are repaired later have lost them.
const maxUnreadableHold = 10 * time.Minute

// markUnreadable records that a job exists whose rows cannot be read. Its ends wait until
// they can, as their effect cannot be stored.
func (c *Core) markUnreadable(id graph.JobID) {
	if c.jobs[id] == nil {
		c.unreadable[id] = true
	}
}

// Unreadable reports whether a job exists whose rows cannot be read.
func (c *Core) Unreadable(id graph.JobID) bool { return c.unreadable[id] }

// removeUnreadable records that such a job does not exist any more.
func (c *Core) removeUnreadable(id graph.JobID) {
	delete(c.unreadable, id)
	c.processHeldEnds(id)
}

// holdEnd keeps the end of an unreadable job.
func (c *Core) holdEnd(e graph.RunEnd, ack *pendingAck) {
	c.emit(Notice{Reason: ReasonEndHeld, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Detail: string(e.Kind)})
	ack.held, ack.heldSince = &e, c.now
}

// processHeldEnds processes the ends of a job that can be read now, or does not exist.
func (c *Core) processHeldEnds(id graph.JobID) {
	for _, w := range c.sortedWorkers {
		for _, ack := range w.pendingAcks {
			if ack.held != nil && ack.held.Task.Job == id {
				c.processHeldEnd(w, ack)
			}
		}
		c.acknowledgeEnds(w, false)
	}
}

func (c *Core) processHeldEnd(w *worker, ack *pendingAck) {
	e := *ack.held
	ack.held = nil
	c.processEnd(w, e, ack)
}

// watchHeldEnds gives up the held ends of a worker that hold back others for too long.
func (c *Core) watchHeldEnds(w *worker) {
	var waiting []*pendingAck
	othersWait := w.moreEnds
	for _, ack := range w.pendingAcks {
		switch {
		case ack.held != nil && c.now-ack.heldSince >= maxUnreadableHold:
			waiting = append(waiting, ack)
		case ack.saved && ack.job != nil:
			othersWait = othersWait || len(waiting) > 0
		}
	}
	if !othersWait {
		return
	}
	for _, ack := range waiting {
		c.recordLateEnd(w, *ack.held, ack)
		ack.held = nil
	}
	c.acknowledgeEnds(w, false)
}
