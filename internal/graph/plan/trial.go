package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/explain"
)

// savedState is what a trial pass changes, to be restored after it.
type savedState struct {
	core        *Core
	now         time.Duration
	actions     []Action
	activeJobs  []*job
	sched       schedulingState
	fitsOutside map[unitKind]bool
	workers     []savedWorker
	jobs        []savedJob
	units       []savedUnit
}

// savedWorker holds the reservations of the last pass and the cached speed of a worker.
type savedWorker struct {
	worker   *worker
	reserved []reservedRoom
	speed    workerSpeed
}

// savedJob holds which notices about a job have been emitted.
type savedJob struct {
	job     *job
	reports delayReports
}

// savedUnit holds the cached end of a unit.
type savedUnit struct {
	unit                         *unit
	estimatedEnd, endEstimatedAt time.Duration
}

// saveForTrial saves everything that the functions of a trial pass change.
func (c *Core) saveForTrial() *savedState {
	s := &savedState{core: c, now: c.now, actions: c.actions, activeJobs: c.activeJobs, sched: c.sched, fitsOutside: c.headroom.fitsOutside,
		workers: make([]savedWorker, 0, len(c.sortedWorkers)), jobs: make([]savedJob, 0, len(c.activeJobs))}
	for _, w := range c.sortedWorkers {
		s.workers = append(s.workers, savedWorker{w, w.reserved, w.speedState})
		w.reserved = nil
		for _, m := range w.members { // units of jobs that are final may still have runs
			s.units = append(s.units, savedUnit{m.unit, m.unit.estimatedEnd, m.unit.endEstimatedAt})
		}
	}
	for _, j := range c.activeJobs {
		s.jobs = append(s.jobs, savedJob{j, j.delayReports})
	}
	return s
}

// restore makes the core's next decisions those that it would make without the trial.
func (s *savedState) restore() {
	c := s.core
	c.now, c.actions, c.activeJobs, c.sched, c.headroom.fitsOutside = s.now, s.actions, s.activeJobs, s.sched, s.fitsOutside
	for _, w := range s.workers {
		w.worker.reserved, w.worker.speedState = w.reserved, w.speed
	}
	for _, j := range s.jobs {
		j.job.delayReports = j.reports
	}
	for _, u := range s.units {
		u.unit.estimatedEnd, u.unit.endEstimatedAt = u.estimatedEnd, u.endEstimatedAt
	}
}

// unitTrial is what placeUnit would do with a unit.
type unitTrial struct {
	unit    *unit
	plan    explain.Plan
	allocs  []allocation
	victims []*unit
	start   time.Duration
	noPlace string
}

// tryUnit is placeUnit without effect on the unit: it finds what would be done, with the
// same functions, and holds the room that this takes, for the units that follow in the
// pass.
func (c *Core) tryUnit(u *unit) unitTrial {
	if u.claim != nil {
		ready := max(c.now, u.claim.madeAt+c.cfg.StopTime+endReportDelay)
		return unitTrial{unit: u, plan: explain.Claim, allocs: u.claim.allocs, start: ready, victims: stoppingOn(u.claim)}
	}
	if allocs := c.findPlacement(u); allocs != nil {
		if c.waitForFaster(u, allocs) {
			return reservationTrial(c.sched.reservations[len(c.sched.reservations)-1], explain.WaitForFaster)
		}
		return c.holdRoom(unitTrial{unit: u, plan: explain.Place, allocs: allocs, start: c.now})
	}
	if c.sched.withinGuarantee[u.job] {
		if p := c.fastEviction(u, ReasonReclaimed); p != nil {
			return c.holdRoom(c.evictionTrialOf(u, p))
		}
	}
	r := c.reserve(u)
	if p := c.recallPlan(u); p != nil {
		return c.holdRoom(c.evictionTrialOf(u, p))
	}
	if r == nil {
		return unitTrial{unit: u, plan: explain.Wait, noPlace: c.whyNoReservation(u)}
	}
	if p := c.preemptionFor(u, r.expectedStart); p != nil {
		return c.holdRoom(c.evictionTrialOf(u, p))
	}
	return reservationTrial(r, explain.Reserve)
}

func (c *Core) evictionTrialOf(u *unit, p *evictionPlan) unitTrial {
	return unitTrial{unit: u, plan: explain.Claim, allocs: p.allocs, victims: p.victims, start: c.now + c.cfg.StopTime + endReportDelay}
}

// holdRoom makes the room of a trial unavailable to other units, like a claim or a run.
func (c *Core) holdRoom(t unitTrial) unitTrial {
	for w, needs := range needsByWorker(t.allocs, t.unit.step) {
		w.reserved = append(w.reserved, reservedRoom{unit: t.unit, needs: needs, from: c.now, taken: true})
	}
	return t
}

// reservationTrial describes a reservation. Its workers are sorted by ID.
func reservationTrial(r *reservation, p explain.Plan) unitTrial {
	t := unitTrial{unit: r.unit, plan: p, start: r.expectedStart}
	for w, needs := range r.needs {
		t.allocs = append(t.allocs, allocation{w, tasksThatFit(needs, r.unit.step)})
	}
	slices.SortFunc(t.allocs, func(a, b allocation) int { return strings.Compare(a.worker.info.ID, b.worker.info.ID) })
	return t
}

// stoppingOn returns the units that are being stopped on the workers of a claim.
func stoppingOn(cl *claim) []*unit {
	var out []*unit
	for _, a := range cl.allocs {
		for _, m := range a.worker.members {
			if m.unit.stopping && !slices.Contains(out, m.unit) {
				out = append(out, m.unit)
			}
		}
	}
	return out
}

// whyNoReservation returns the reason why reserve made none.
func (c *Core) whyNoReservation(u *unit) string {
	switch {
	case c.withholdsReservation(u.job):
		return "the job is worthless and others wait"
	case len(c.sched.reservations) >= maxReservations:
		return "units that are ahead have all reservations"
	default:
		return "it does not fit beside the reservations ahead even when all current runs have ended"
	}
}

// describe adds the trial to the description of the unit. Times are relative to now.
func (t unitTrial) describe(c *Core, s *explain.Step) {
	s.Plan, s.NoPlace = t.plan, t.noPlace
	for _, a := range t.allocs {
		s.Placement = append(s.Placement, explain.Allocation{Worker: a.worker.info.ID, Tasks: a.tasks})
	}
	for _, v := range t.victims {
		s.Victims = append(s.Victims, explain.Victim{Job: v.job.ID, Task: v.taskID(0).String()})
	}
	if len(t.allocs) == 0 {
		return
	}
	start := (t.start - c.now).Milliseconds()
	end := (t.start + scale(t.unit.runTime(), c.slowestOf(t.allocs)) - c.now).Milliseconds()
	s.StartMS, s.EndMS = &start, &end
}
