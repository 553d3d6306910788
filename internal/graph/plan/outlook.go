package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/outlook"
)

const (
	// minRunsObserved is the number of runs of a queue from which the shortest and the
	// longest one say something about the next one.
	minRunsObserved = 8
	// shortestRunMargin times the shortest run of a queue is assumed to be shorter than
	// any other. Run times of one queue vary with a sigma of 0.3 to 0.5.
	shortestRunMargin = 0.5
	// minRateProgress is the progress in percent from which the end of a run is
	// predicted from it. Workers report whole percents.
	minRateProgress = 5
	// startOrderSlack is the time that the start of a run may take after its order. A
	// run that began later than its order progresses faster than it seems.
	startOrderSlack = 300 * time.Millisecond
	// maxKinds limits the kinds of tasks for which bounds are computed.
	maxKinds = 48
	// firstRunTimeLevel and runTimeLevelRatio give the expected run times for which
	// bounds are computed. Fewer levels make outlooks smaller, and bounds weaker.
	firstRunTimeLevel = 500 * time.Millisecond
	runTimeLevelRatio = 1.5
)

// observedRuns holds the run times of a queue's tasks in this term, on the workers of one service.
type observedRuns struct {
	pool              string
	runs              int
	shortest, longest time.Duration
}

// observeRun records the run time of a member that is done. A run that resumed from a
// checkpoint only counts as a long one. After the queue has moved to another service, the run times
// on the former one bound nothing.
func (c *Core) observeRun(m *member) {
	j := m.unit.job
	if !c.cfg.Features.Has(feature.Admission) || m.startedAt == 0 || m.worker.info.Pool != j.Pool {
		return
	}
	took := c.now - m.startedAt
	o := c.observed[j.Queue]
	if o.pool != j.Pool {
		o = observedRuns{pool: j.Pool}
	}
	if m.startedAfresh {
		if o.runs == 0 || took < o.shortest {
			o.shortest = took
		}
		o.runs++
	}
	o.longest = max(o.longest, took)
	c.observed[j.Queue] = o
}

// leastRunTime returns a lower bound of the run time of a queue's tasks on the workers of a service.
func (c *Core) leastRunTime(queue, pool string) time.Duration {
	o := c.observed[queue]
	if o.pool != pool || o.runs < minRunsObserved {
		return 0
	}
	return time.Duration(shortestRunMargin * float64(o.shortest))
}

// OutlookInput returns what the outlook is built from; ok is false while too little is
// known: workers that have not reported in this term may have room. Their leases have
// expired LeaseBound after the first report.
func (c *Core) OutlookInput(now time.Duration) (in *outlook.Input, ok bool) {
	c.now = max(c.now, now)
	if c.policy == nil || !c.firstReportOlderThan(c.cfg.LeaseBound) {
		return nil, false
	}
	within := c.jobsWithinGuarantee()
	in = &outlook.Input{Token: c.cfg.FencingToken, Guarantees: c.guaranteeUse(within), RunTimes: c.longestRuns()}
	for _, w := range c.sortedWorkers {
		if w.lost || c.policy.ZonesOut[w.info.Zone] {
			continue
		}
		if !w.reported {
			return nil, false
		}
		in.Pools = addToPool(in.Pools, w.info)
		in.Forecast.Workers = append(in.Forecast.Workers, c.workerForecast(w))
	}
	for _, j := range c.activeJobs {
		c.addWaiting(&in.Forecast, j, within[j])
	}
	return in, true
}

func addToPool(pools []outlook.Pool, w WorkerInfo) []outlook.Pool {
	i := slices.IndexFunc(pools, func(p outlook.Pool) bool { return p.Name == w.Pool })
	if i < 0 {
		i = len(pools)
		pools = append(pools, outlook.Pool{Name: w.Pool})
	}
	pools[i].Accelerators += w.Capacity.Accelerators
	return pools
}

// guaranteeUse returns the use of each account's guarantee, in the order of the
// configuration.
func (c *Core) guaranteeUse(within map[*job]bool) []outlook.Guarantee {
	var out []outlook.Guarantee
	for _, a := range c.policy.Accounts {
		if a.GuaranteedAccelerators == 0 {
			continue
		}
		use := outlook.Guarantee{Account: a.Name, Guaranteed: a.GuaranteedAccelerators}
		for _, j := range c.activeJobs {
			if j.Account == a.Name && within[j] {
				use.Used += j.maxAccelerators()
			}
		}
		out = append(out, use)
	}
	return out
}

// longestRuns returns the longest run of each queue with enough runs, by queue. Runs in
// progress count with their time until now.
func (c *Core) longestRuns() []outlook.RunTime {
	inProgress := map[string]time.Duration{}
	for _, w := range c.sortedWorkers {
		for _, m := range w.members {
			if queue := m.unit.job.Queue; m.running && w.info.Pool == c.observed[queue].pool {
				inProgress[queue] = max(inProgress[queue], c.now-m.runningSince)
			}
		}
	}
	var out []outlook.RunTime
	for queue, o := range c.observed {
		if q := c.policy.QueueByName(queue); q != nil && q.Pool != o.pool {
			continue
		}
		if o.runs >= minRunsObserved {
			out = append(out, outlook.RunTime{Queue: queue, Longest: max(o.longest, inProgress[queue])})
		}
	}
	slices.SortFunc(out, func(a, b outlook.RunTime) int { return strings.Compare(a.Queue, b.Queue) })
	return out
}

// workerForecast returns when a worker's resources become available at the earliest.
// Workers that don't answer or are quarantined count as available.
func (c *Core) workerForecast(w *worker) outlook.Worker {
	out := outlook.Worker{Pool: w.info.Pool, Capacity: w.info.Capacity}
	if w.info.Draining {
		out.AvailableFrom = max(0, w.drainReportedAt+w.info.DrainRemaining-c.now)
	}
	for _, m := range w.members {
		if left := c.leastRemaining(m.unit); left > 0 {
			out.Runs = append(out.Runs, outlook.Run{Needs: m.unit.step.Needs, Priority: m.unit.job.Priority, EarliestEnd: left})
		}
	}
	return out
}

// leastRemaining returns a lower bound of the time until a unit's run ends. A gang ends
// when its last member is done. A gang that may be stopped for a job of priority 0 can end
// at any time, and leave more room than that job takes.
func (c *Core) leastRemaining(u *unit) time.Duration {
	if u.stopping || u.runFailed || u.taskCount > 1 && u.job.Priority > 0 {
		return 0
	}
	var most time.Duration
	for _, m := range u.members {
		if m.ended || m.stopping {
			return 0
		}
		most = max(most, c.leastMemberRemaining(m))
	}
	return most
}

func (c *Core) leastMemberRemaining(m *member) time.Duration {
	least := time.Duration(0)
	if m.startedAfresh || !m.startSent && !m.recovered && m.unit.resumeCheckpoint() == "" {
		since := m.startedAt
		if since == 0 {
			since = c.now // the placement is being saved
		}
		least = c.leastRunTime(m.unit.job.Queue, m.worker.info.Pool) - (c.now - since)
	}
	return max(0, least, m.leastRemainingByProgress(c.now))
}

// leastRemainingByProgress returns a lower bound of the remaining time of a run that
// progresses evenly, 0 if its progress is not known well enough. The percents that a
// worker reports are rounded down.
func (m *member) leastRemainingByProgress(now time.Duration) time.Duration {
	since, gained := m.startedAt+startOrderSlack, m.percent
	if !m.startedAfresh {
		since, gained = m.firstListedAt, m.percent-m.firstPercent
	}
	if !m.running || gained < minRateProgress || m.listedAt <= since {
		return 0
	}
	left := time.Duration(float64(m.listedAt-since) * float64(99-m.percent) / float64(gained+1))
	return m.listedAt + left - now
}

// addWaiting adds the ready tasks of a job, and their kinds.
func (c *Core) addWaiting(f *outlook.Forecast, j *job, guaranteed bool) {
	for _, units := range j.unitsByStep {
		waiting, ahead := 0, 0
		for _, u := range units {
			if u.phase != unitWaiting || !u.dependenciesDone() {
				continue
			}
			waiting++
			if c.fitsLikeOthers(u) {
				ahead++
			}
		}
		if waiting > 0 {
			f.Kinds = addKinds(f.Kinds, units[0])
		}
		if ahead > 0 {
			f.Waiting = append(f.Waiting, c.waitingTasks(units[0], ahead, guaranteed))
		}
	}
}

// fitsLikeOthers reports whether a unit fits wherever another task with at least the
// same needs fits. A gang does not, as it starts as a whole.
func (c *Core) fitsLikeOthers(u *unit) bool {
	s := u.step
	return u.taskCount == 1 && s.RequiredLabel == "" && s.MaxPerWorker == 0 &&
		u.failures == 0 && !u.avoidsWorkers() && u.notBefore <= c.now
}

func (c *Core) waitingTasks(u *unit, count int, guaranteed bool) outlook.Waiting {
	w := outlook.Waiting{Pool: u.job.Pool, Priority: u.job.Priority, Needs: u.step.Needs, Count: count, RunTime: u.runTime(),
		Due: costOf(u.job).DueAt() - c.now, Guaranteed: guaranteed,
		AheadUntil: u.job.staysOnTimeUntil() - c.now, AheadOfLowerUntil: c.aheadOfLowerUntil(u.job) - c.now}
	if u.resumeCheckpoint() == "" {
		w.LeastRunTime = c.leastRunTime(u.job.Queue, u.job.Pool)
	}
	return w
}

// staysOnTimeUntil returns the time until which a job can still meet its objective. It
// keeps its place among the jobs of its priority until then, and may yield to others
// afterwards.
func (j *job) staysOnTimeUntil() time.Duration { return costOf(j).DueAt() - j.remainingPath() }

// aheadOfLowerUntil returns the time until which a job comes before lower priorities:
// until it is worthless. With CostOrder, only jobs of priority 0 do for so long.
func (c *Core) aheadOfLowerUntil(j *job) time.Duration {
	if j.Priority > 0 && c.cfg.Features.Has(feature.CostOrder) {
		return j.staysOnTimeUntil()
	}
	return costOf(j).WorthlessAt()
}

// addKinds adds the kinds that the tasks of a unit belong to: one for each level of the
// expected run time up to its own. Its job's queue gives the least objective.
func addKinds(kinds []outlook.Kind, u *unit) []outlook.Kind {
	for level := time.Duration(0); level <= u.runTime(); level = nextLevel(level) {
		k := kindOf(u.job, u.step.Needs, level)
		if len(kinds) >= maxKinds {
			return kinds
		}
		if !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

func nextLevel(level time.Duration) time.Duration {
	if level == 0 {
		return firstRunTimeLevel
	}
	return time.Duration(runTimeLevelRatio * float64(level)).Truncate(time.Millisecond)
}

func kindOf(j *job, needs graph.Resources, runTime time.Duration) outlook.Kind {
	return outlook.Kind{Pool: j.Pool, Priority: j.Priority, Needs: needs, RunTime: runTime,
		Objective: (time.Duration(j.Stretch*float64(runTime)) + j.Allowance).Truncate(time.Millisecond)}
}
