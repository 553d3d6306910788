package plan

import (
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Bounds of the ends that are kept for a job, so that they fit into one row.
const (
	maxKeptBytes = 40_000
	// keptEndBytes bounds the JSON encoding of an end without its checkpoint.
	keptEndBytes = 64
)

// keptEnds are the ends of a job whose progress cannot be stored, as its rows cannot be read
// or the table rejects it. They are stored in a row of their own, and applied to the progress
// when the job is loaded.
type keptEnds struct {
	ends       []graph.RunEnd // without their numbers
	bytes      int
	saveNumber uint64
	inSave     int // how many of ends the save in progress holds; 0 if there is none
	stored     int // how many of ends the row holds
}

// find returns the position of the end of a run, or -1.
func (k *keptEnds) find(e graph.RunEnd) int {
	return slices.IndexFunc(k.ends, func(o graph.RunEnd) bool { return o.Task == e.Task && o.Run == e.Run })
}

// add adds an end that is not known yet, as long as there is room.
func (k *keptEnds) add(e graph.RunEnd) {
	e.Number = 0
	if !graph.FitsJSON(e.Checkpoint, graph.MaxCheckpointBytes) {
		e.Checkpoint = ""
	}
	size := keptEndBytes + graph.MaxCheckpointBytes
	if e.Checkpoint == "" {
		size = keptEndBytes
	}
	if k.bytes+size > maxKeptBytes || k.find(e) >= 0 {
		return
	}
	k.bytes += size
	k.ends = append(k.ends, e)
}

// restoreKeptEnds takes over the ends of a job that are stored beside its progress. If others are
// kept already, the row has been repaired since and is not written in this term.
func (c *Core) restoreKeptEnds(id graph.JobID, stored []graph.RunEnd) {
	if len(stored) == 0 {
		return
	}
	if k := c.keptEnds[id]; k != nil {
		k.addRepaired(stored)
		return
	}
	k := &keptEnds{}
	for _, e := range stored {
		k.add(e)
	}
	k.stored = len(k.ends)
	c.keptEnds[id] = k
}

// addRepaired adds the ends of a row that could not be read before, whether or not there is room:
// they are not saved again.
func (k *keptEnds) addRepaired(ends []graph.RunEnd) {
	for _, e := range ends {
		if k.find(e) < 0 {
			k.ends = append(k.ends, e)
		}
	}
}

// keepEnd keeps an end of a job whose progress cannot be stored, and saves it. It reports
// whether the end is stored already.
func (c *Core) keepEnd(e graph.RunEnd) (stored bool) {
	id := e.Task.Job
	k := c.keptEnds[id]
	if k == nil {
		k = &keptEnds{}
		c.keptEnds[id] = k
	}
	known := len(k.ends)
	k.add(e)
	if len(k.ends) > known {
		c.saveKeptEnds(id, k)
	}
	i := k.find(e)
	return i >= 0 && i < k.stored
}

// saveKeptEnds emits a save of the kept ends of a job unless one is in progress.
func (c *Core) saveKeptEnds(id graph.JobID, k *keptEnds) {
	if k.inSave > 0 {
		return
	}
	c.endsSaves++ // a late answer may be of a save from before the ends of the job were dropped
	k.saveNumber = c.endsSaves
	k.inSave = len(k.ends)
	c.emit(SaveEnds{Job: id, Number: k.saveNumber, Ends: slices.Clone(k.ends)})
}

// handleEndsSaved acknowledges the ends that are stored beside the progress of their job.
// Ends that have come meanwhile are saved next.
func (c *Core) handleEndsSaved(e EndsSaved) {
	k := c.keptEnds[e.Job]
	if k == nil || k.inSave == 0 || k.saveNumber != e.Number {
		return
	}
	saved := k.inSave
	k.inSave = 0
	if !e.Rejected {
		k.stored = saved
		c.lastSavedAt = c.now
		c.acknowledgeKeptEnds(e.Job, k)
	}
	if len(k.ends) > saved {
		c.saveKeptEnds(e.Job, k)
	}
}

func (c *Core) acknowledgeKeptEnds(id graph.JobID, k *keptEnds) {
	for _, w := range c.sortedWorkers {
		for _, ack := range w.pendingAcks {
			if ack.saved || ack.end.Task.Job != id {
				continue
			}
			if i := k.find(ack.end); i >= 0 && i < k.stored {
				ack.saved, ack.held = true, false
			}
		}
		c.acknowledgeEnds(w, false)
	}
}

// applyKeptEnds applies the kept ends of a job that has just been added. They stay stored
// until its progress is.
func (c *Core) applyKeptEnds(j *job) {
	k := c.keptEnds[j.ID]
	if k == nil {
		return
	}
	for _, e := range k.ends {
		if m := j.memberOfRun(e); m != nil {
			c.endMember(m, e.Kind, e.Checkpoint)
		}
	}
	c.requestSave(j, nil)
}

// memberOfRun returns the member whose run has ended, on any worker, or nil.
func (j *job) memberOfRun(e graph.RunEnd) *member {
	u := j.unitOf(e.Task.Step, e.Task.Index)
	if u == nil {
		return nil
	}
	for _, m := range u.members {
		if m.task == e.Task && m.run == e.Run && !m.ended {
			return m
		}
	}
	return nil
}
