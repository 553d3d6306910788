package plan

import "slices"

// victim is a unit that may be stopped, with the loss that stopping it causes and
// that loss per core freed.
type victim struct {
	unit              *unit
	loss, lossPerCore float64
	cost, costPerCore float64 // with feature.ClaimHeadroom; see headroom.Victim
}

// evictableUnits returns the units with runs in a group that may be stopped for a
// unit: those outside of every guarantee and, when preempting, only those of a
// lower priority that were never stopped, so that none is stopped again and again.
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
			if reason == ReasonPreempted && (v.job.Priority <= u.job.Priority || v.stops > 0) {
				continue
			}
			if reason == ReasonRecalled && !slices.Contains(v.lenders, u) {
				continue
			}
			loss := c.evictionLoss(v)
			cost, freed := c.victimCost(v, loss), trial.freedCores(v)
			out = append(out, victim{v, loss, loss / freed, cost, cost / freed})
		}
	}
	return out
}

// evictionTrial is the room in a group for a unit under the assumption that some
// other units have ended.
type evictionTrial struct {
	unit           *unit
	room           *taskRoom
	candidateIndex map[*worker]int
}

// stopOrderSlack is the time beyond StopTime after which a list shows that the stop of a run
// has not reached its worker.
const stopOrderSlack = claimSlack / 2

// endsSoon reports whether a member is being stopped, and no list that was made long enough after
// the stop shows it to be without effect. The time of the list counts, as an owner may be late.
func (c *Core) endsSoon(m *member) bool {
	return m.unit.stopping && m.worker.listedAt-m.unit.history.stoppingAt <= c.cfg.StopTime+stopOrderSlack
}

// newEvictionTrial returns a trial in which the units that are being stopped already have
// ended, if they end soon.
func (c *Core) newEvictionTrial(u *unit, g workerGroup) *evictionTrial {
	candidates := slices.Clone(g.candidates)
	for i, s := range candidates {
		for _, m := range s.members {
			if c.endsSoon(m) {
				candidates[i].available = candidates[i].available.Add(m.unit.step.Needs)
			}
		}
	}
	return &evictionTrial{unit: u, room: newTaskRoom(u.step, candidates, u.tasksPerWorker()), candidateIndex: indexByWorker(candidates)}
}

// evict adds the unit's resources to the room. restore undoes it.
func (trial *evictionTrial) evict(v *unit) {
	trial.forEachCandidate(v, func(i int) { trial.room.add(i, v.step.Needs) })
}

func (trial *evictionTrial) restore(v *unit) {
	trial.forEachCandidate(v, func(i int) { trial.room.remove(i, v.step.Needs) })
}

// forEachCandidate calls fn with the candidate's index for each active member of a
// unit that is in the group.
func (trial *evictionTrial) forEachCandidate(v *unit, fn func(index int)) {
	for _, m := range v.members {
		if i, ok := trial.candidateIndex[m.worker]; ok && !m.ended {
			fn(i)
		}
	}
}

// freedCores returns the size in cores of the resources that stopping a unit frees
// in the group.
func (trial *evictionTrial) freedCores(v *unit) float64 {
	total := 0.1 // avoids a division by zero for units without resource needs
	trial.forEachCandidate(v, func(int) { total += v.step.Needs.Cores() })
	return total
}

// fits reports whether the unit fits in the trial.
func (trial *evictionTrial) fits() bool { return trial.room.holds(trial.unit.taskCount) }

// allocate returns the placement of the unit in the trial, or nil if it does not
// fit.
func (trial *evictionTrial) allocate() []allocation { return trial.room.pack(trial.unit.taskCount) }
