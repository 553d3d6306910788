package plan

import "slices"

// victim is a unit that may be stopped, with the loss that stopping it causes and
// that loss per core freed.
type victim struct {
	unit              *unit
	loss, lossPerCore float64
}

// evictableUnits returns the units with runs in a group that may be stopped for a
// unit: those outside of every guarantee and, when preempting, only those of a
// lower priority.
func (c *Core) evictableUnits(u *unit, g workerGroup, reason Reason, trial *evictionTrial) []victim {
	seen := map[*unit]bool{}
	var out []victim
	for _, s := range g.candidates {
		for _, m := range s.members {
			v := m.unit
			if seen[v] || c.sched.withinGuarantee[v.job] || v.phase != unitPlaced || v.stopping {
				continue
			}
			seen[v] = true
			if reason == ReasonPreempted && v.job.Priority <= u.job.Priority {
				continue
			}
			loss := c.evictionLoss(v)
			out = append(out, victim{v, loss, loss / trial.freedCores(v)})
		}
	}
	return out
}

// evictionTrial is the availability of a group under the assumption that some units
// have ended.
type evictionTrial struct {
	unit           *unit
	candidates     []candidate
	candidateIndex map[*worker]int
	perWorker      map[*worker]int
}

// newEvictionTrial returns a trial in which the units that are being stopped
// already have ended.
func newEvictionTrial(u *unit, g workerGroup) *evictionTrial {
	trial := &evictionTrial{unit: u, candidates: slices.Clone(g.candidates), candidateIndex: map[*worker]int{}, perWorker: u.tasksPerWorker()}
	for i, s := range trial.candidates {
		trial.candidateIndex[s.worker] = i
		for _, m := range s.members {
			if m.unit.stopping {
				trial.candidates[i].available = trial.candidates[i].available.Add(m.unit.step.Needs)
			}
		}
	}
	return trial
}

// evict adds the unit's resources to the availability. restore undoes it.
func (cl *evictionTrial) evict(v *unit) {
	cl.forEachCandidate(v, func(s *candidate) { s.available = s.available.Add(v.step.Needs) })
}

func (cl *evictionTrial) restore(v *unit) {
	cl.forEachCandidate(v, func(s *candidate) { s.available = s.available.Sub(v.step.Needs) })
}

// forEachCandidate calls fn with the candidate of each active member of a unit that
// is in the group.
func (cl *evictionTrial) forEachCandidate(v *unit, fn func(*candidate)) {
	for _, m := range v.members {
		if i, ok := cl.candidateIndex[m.worker]; ok && !m.ended {
			fn(&cl.candidates[i])
		}
	}
}

// freedCores returns the size in cores of the resources that stopping a unit frees
// in the group.
func (cl *evictionTrial) freedCores(v *unit) float64 {
	total := 0.1 // avoids a division by zero for units without resource needs
	cl.forEachCandidate(v, func(*candidate) { total += v.step.Needs.Cores() })
	return total
}

// allocate returns the placement of the unit in the trial, or nil if it does not
// fit.
func (cl *evictionTrial) allocate() []allocation {
	return packTasks(cl.candidates, cl.unit.step, cl.unit.taskCount, cl.perWorker)
}
