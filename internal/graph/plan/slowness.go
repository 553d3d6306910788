package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

// The functions in this file relate the core to the model of worker speeds. They do
// nothing, and every worker has slowness 1, unless the feature worker-speeds is on and
// the fleet is uneven.

// dataRackVariance is the variance of the logarithm of a rate that comes from tasks
// running faster in their data rack.
const dataRackVariance = 0.3 * 0.3

// speedModel is what the core has learned about the speeds of workers.
type speedModel struct {
	on     bool
	uneven bool // see updateUnevenness
	queues map[string]*workerhealth.Queue
	// restored holds saved estimates, by worker ID, until the workers report.
	restored map[string]workerhealth.WorkerState
}

// workerSpeed is the part of the model for one worker.
type workerSpeed struct {
	estimate workerhealth.Estimate
	// slowness is cached until something is learned, for slownessCacheTime at most.
	slowness      float64
	class         int // of slowness
	cachedAt      time.Duration
	reportedSlow  bool
	estimateReady bool // the saved estimate, if any, has been restored
}

func newSpeedModel(features feature.Set) speedModel {
	return speedModel{on: features.Has(feature.WorkerSpeeds), queues: map[string]*workerhealth.Queue{}}
}

const (
	// unevenSlowness is the slowness from which on a worker makes a fleet uneven. The
	// tightest objective of the known queues is 1.5 times the path and a tenth more:
	// work that starts at once meets it on all workers that are less slow.
	unevenSlowness = 1.6
	// unevenShare and evenShare are the shares of such workers, as divisors, from which
	// on speeds decide and below which they no longer do.
	unevenShare, evenShare = 10, 20
)

// decidesBySpeed reports whether decisions follow the learned speeds of workers. On an
// even fleet they would cost processor time and gain nothing.
func (c *Core) decidesBySpeed() bool { return c.speeds.on && c.speeds.uneven }

// updateUnevenness finds out whether the fleet is uneven.
func (c *Core) updateUnevenness() {
	if !c.speeds.on {
		return
	}
	slow, connected := 0, 0
	for _, w := range c.sortedWorkers {
		if !w.connected() {
			continue
		}
		connected++
		if e := &w.speedState.estimate; e.Slow(c.now) && e.Slowness(c.now) >= unevenSlowness {
			slow++
		}
	}
	share := unevenShare
	if c.speeds.uneven {
		share = evenShare
	}
	uneven := slow > 0 && slow*share >= connected
	if uneven == c.speeds.uneven {
		return
	}
	c.speeds.uneven = uneven
	reason := ReasonWorkersUneven
	if !uneven {
		reason = ReasonWorkersEven
	}
	c.emit(Notice{Reason: reason, Detail: fmt.Sprintf("%d of %d workers are at least %.1f times as slow as fast ones", slow, connected, unevenSlowness)})
}

func (c *Core) queueErrors(name string) *workerhealth.Queue {
	q := c.speeds.queues[name]
	if q == nil {
		q = &workerhealth.Queue{}
		c.speeds.queues[name] = q
	}
	return q
}

// comparisonOf returns the comparison of the runs that do the same work as a unit's
// run: its members if it is a gang, else the tasks of its step.
func (c *Core) comparisonOf(u *unit) *workerhealth.Comparison {
	slot, spread := &u.job.comparisons[u.stepIndex], workerhealth.TaskSpread
	if u.step.Gang {
		spread = workerhealth.GangSpread
		if u.comparedRun != u.run {
			u.comparedRun, *slot = u.run, nil
		}
	}
	if *slot == nil {
		comparison := workerhealth.NewComparison(spread, u.runTime(), c.queueErrors(u.job.Queue))
		*slot = &comparison
	}
	return *slot
}

// learnRate learns from the progress that a worker has reported for a member.
func (c *Core) learnRate(m *member) {
	if !c.speeds.on {
		return
	}
	var reading workerhealth.Reading
	var ok bool
	if m.startedAfresh {
		reading, ok = workerhealth.ReadFresh(m.percent, m.listedAt-m.startedAt)
	} else {
		reading, ok = workerhealth.ReadGain(m.firstPercent, m.percent, m.listedAt-m.firstListedAt)
	}
	if ok {
		c.addReading(m, reading)
	}
}

// learnFinalRate learns from the run time of a member that is done. Members of a gang
// end together, so the end shows only how long the slowest of them took.
func (c *Core) learnFinalRate(m *member) {
	if !c.speeds.on {
		return
	}
	if reading, ok := workerhealth.ReadDone(c.now - m.startedAt); ok && m.startedAfresh && m.unit.taskCount == 1 {
		c.addReading(m, reading)
	}
	c.comparisonOf(m.unit).Record(c.queueErrors(m.unit.job.Queue))
}

func (c *Core) addReading(m *member, reading workerhealth.Reading) {
	w := m.worker
	if m.unit.step.DataRack != "" {
		reading.Variance += dataRackVariance
	}
	if !c.comparisonOf(m.unit).Add(c.now, &w.speedState.estimate, &m.compared, reading) {
		return
	}
	w.speedState.slowness = 0
	if slow := w.speedState.estimate.Slow(c.now); slow != w.speedState.reportedSlow {
		c.reportSpeed(w, slow)
	}
}

func (c *Core) reportSpeed(w *worker, slow bool) {
	w.speedState.reportedSlow = slow
	if !c.decidesBySpeed() {
		return
	}
	reason := ReasonWorkerFast
	if slow {
		reason = ReasonWorkerSlow
	}
	c.emit(Notice{Reason: reason, Worker: w.info.ID, Detail: fmt.Sprintf("slowness %.2f, error %.0f %%", c.slowness(w), 100*w.speedState.estimate.Error(c.now))})
}

// slownessCacheTime is the time for which a slowness is used if nothing is learned.
const slownessCacheTime = time.Second

// slowness returns the expected run time of a task on a worker relative to that on a
// fast one.
func (c *Core) slowness(w *worker) float64 {
	if !c.decidesBySpeed() {
		return 1
	}
	s := &w.speedState
	if s.slowness == 0 || c.now > s.cachedAt+slownessCacheTime {
		s.slowness, s.cachedAt = s.estimate.Slowness(c.now), c.now
		s.class = slownessClass(s.slowness)
	}
	return s.slowness
}

// slownessClass returns the class of a worker's slowness.
func (c *Core) slownessClass(w *worker) int {
	c.slowness(w) // renews the cached class
	return w.speedState.class
}

// knownSlowness returns the slowness of a worker, and whether observations have shown
// it.
func (c *Core) knownSlowness(w *worker) (slowness float64, known bool) {
	if !c.decidesBySpeed() {
		return w.speed.Slowness(c.now), w.speed.Known(c.now)
	}
	return c.slowness(w), w.speedState.estimate.Known(c.now)
}

// countsAsSlow reports whether a worker is known to be slow.
func (c *Core) countsAsSlow(w *worker) bool {
	if !c.decidesBySpeed() {
		return w.slow(c.now)
	}
	return w.speedState.estimate.Slow(c.now)
}

// runTimeOn returns the expected run time of one of the unit's tasks on a worker.
func (c *Core) runTimeOn(u *unit, w *worker) time.Duration {
	if !c.decidesBySpeed() {
		return u.runTime()
	}
	return scale(u.runTime(), c.slowness(w))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// slowestOf returns the slowness of the slowest worker of a placement. A gang is as
// slow as that.
func (c *Core) slowestOf(allocs []allocation) float64 {
	slowest := 1.0
	for _, a := range allocs {
		slowest = max(slowest, c.slowness(a.worker))
	}
	return slowest
}

// kind identifies what the speed of a host may depend on.
func (w WorkerInfo) kind() string {
	return fmt.Sprint(w.Pool, w.Zone, w.Rack, w.Labels, w.Capacity)
}

// restoreSpeed restores the saved estimate of a worker that reports for the first time.
func (c *Core) restoreSpeed(w *worker) {
	if w.speedState.estimateReady {
		return
	}
	w.speedState.estimateReady = true
	if saved, ok := c.speeds.restored[w.info.ID]; ok {
		saved.Age += c.now // the snapshot was restored at time 0
		w.speedState.estimate = saved.Restore(c.now, w.info.Incarnation(), w.info.kind())
		delete(c.speeds.restored, w.info.ID)
	}
}

// restartSpeed adjusts what is known of a worker's speed to a new incarnation.
func (c *Core) restartSpeed(w *worker, next WorkerInfo) {
	w.speed = workerhealth.Record{}
	if c.speeds.on && w.speedState.estimateReady {
		w.speedState.estimate.Restart(c.now, w.info.kind() == next.kind())
		w.speedState.slowness = 0
	}
}

// SaveSpeeds returns what the core has learned about the speeds of workers, and what it
// has restored of workers that have not reported yet.
func (c *Core) SaveSpeeds() workerhealth.Snapshot {
	var s workerhealth.Snapshot
	for _, w := range c.sortedWorkers {
		if !w.speedState.estimate.Known(c.now) {
			continue
		}
		if saved := w.speedState.estimate.Save(c.now, w.info.ID, w.info.Incarnation(), w.info.kind()); saved.Valid() {
			s.Workers = append(s.Workers, saved)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.speeds.restored)) {
		w := c.speeds.restored[id]
		w.Age += c.now
		if w.Age <= maxUnconfirmedSpeedAge {
			s.Workers = append(s.Workers, w)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.speeds.queues)) {
		if saved := c.speeds.queues[name].Save(name); saved.Valid() {
			s.Queues = append(s.Queues, saved)
		}
	}
	return s
}

// maxUnconfirmedSpeedAge is the age up to which the saved speed of a worker that has not
// reported is passed on to the next owner. It covers two takeovers in quick succession;
// a worker that stays away for longer has probably been replaced.
const maxUnconfirmedSpeedAge = time.Minute

// RestoreSpeeds restores what an earlier core saved age ago. It is called before the
// first report of a worker, and does nothing if the feature worker-speeds is off. It
// returns a NotValid error, and restores nothing, if the snapshot is malformed.
func (c *Core) RestoreSpeeds(s workerhealth.Snapshot, age time.Duration) error {
	if !c.speeds.on {
		return nil
	}
	if err := s.Validate(); err != nil {
		return err
	}
	c.speeds.restored = make(map[string]workerhealth.WorkerState, len(s.Workers))
	for _, w := range s.Workers {
		w.Age += age
		c.speeds.restored[w.Worker] = w
	}
	for _, q := range s.Queues {
		restored := q.Restore()
		c.speeds.queues[q.Queue] = &restored
	}
	return nil
}
