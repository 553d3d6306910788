package plan

import "slices"

// victim is a unit that may be stopped. rate is its loss for each core that it
// frees.
type victim struct {
	unit              *unit
	loss, lossPerCore float64
}

// evictableUnits returns the units with work on a group that may be stopped for a
// unit: those outside of every guarantee, and for a unit that has none itself
// only those of a lower priority.
func (c *Core) evictableUnits(u *unit, g workerGroup, why Reason, trial *evictionTrial) []victim {
	seen := map[*unit]bool{}
	var out []victim
	for _, s := range g.candidates {
		for _, m := range s.members {
			v := m.unit
			if seen[v] || c.sched.withinGuarantee[v.job] || v.phase != unitPlaced || v.stopping {
				continue
			}
			seen[v] = true
			if why == ReasonPreempted && v.job.Priority <= u.job.Priority {
				continue
			}
			loss := c.evictionLoss(v)
			out = append(out, victim{v, loss, loss / trial.freedCores(v)})
		}
	}
	return out
}

// evictionTrial is a group's room as if some units had ended.
type evictionTrial struct {
	unit           *unit
	candidates     []candidate
	candidateIndex map[*worker]int
	perWorker      map[*worker]int
}

// newEvictionTrial returns the room without all that is ending already.
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

// evict adds a unit's needs to the room, and keep takes them out again.
func (cl *evictionTrial) evict(v *unit) {
	cl.forEachCandidate(v, func(s *candidate) { s.available = s.available.Add(v.step.Needs) })
}

func (cl *evictionTrial) restore(v *unit) {
	cl.forEachCandidate(v, func(s *candidate) { s.available = s.available.Sub(v.step.Needs) })
}

// forEachCandidate calls fn with the site of each member of a unit that lies here.
func (cl *evictionTrial) forEachCandidate(v *unit, fn func(*candidate)) {
	for _, m := range v.members {
		if i, ok := cl.candidateIndex[m.worker]; ok && !m.ended {
			fn(&cl.candidates[i])
		}
	}
}

// freedCores is the size in cores of what stopping a unit frees here.
func (cl *evictionTrial) freedCores(v *unit) float64 {
	total := 0.1 // keeps units without need from dividing by zero
	cl.forEachCandidate(v, func(*candidate) { total += v.step.Needs.Cores() })
	return total
}

// allocate returns where the unit fits, nil if it does not.
func (cl *evictionTrial) allocate() []allocation {
	return packTasks(cl.candidates, cl.unit.step, cl.unit.taskCount, cl.perWorker)
}
