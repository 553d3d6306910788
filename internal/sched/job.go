package sched

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// phase is where a job stands on its way to the final answer.
type phase string

const (
	phaseQueued   phase = "queued"
	phaseBackoff  phase = "backoff"
	phaseClaiming phase = "claiming" // victims are being stopped
	phaseHolding  phase = "holding"
	phaseSaving   phase = "saving" // the attempt's row is being written
	phaseRunning  phase = "running"
	phaseEnding   phase = "ending"    // stops are sent, not all are confirmed
	phaseRequeue  phase = "requeuing" // the queued row is being written
	phaseFinal    phase = "final"     // the final row is being written
)

type job struct {
	rec     api.JobRecord
	phase   phase
	class   *class
	account *account
	// attempt is the highest attempt number seen.
	attempt uint32
	groups  []*group
	// unlinkedGroups counts live groups whose worker's link is down.
	unlinkedGroups int
	// adopting is true until all members of a taken over attempt have reported.
	adopting bool
	// started says that a start of the current attempt may have happened.
	started bool
	// everStarted says so of any attempt.
	everStarted bool
	// abortedWhileSaving says that the attempt ended while its row was being written.
	abortedWhileSaving bool
	// finalOutcome is the outcome after the attempt has ended; empty to try again.
	finalOutcome api.Outcome
	finalDetail  string

	perTask            api.Resources // declared or learned
	endReason          Reason        // why the current attempt is being ended for another one
	nonPreemptible     bool
	reservation        *reservation // the reservation that the attempt uses
	waitingReservation *reservation // the reservation made for the waiting gang
	queuedAt           time.Duration
	startedAt          time.Duration
	lastReview         time.Duration
	mayPreempt         bool // a large preemptible gang that has waited may try to evict once
	earlierRunTime     time.Duration
	holdFailures       int
	failures           int
	failedWorkers      []string
	avoidedWorkers     []string
	deadlineTimerSet   bool
	movePending        bool // waits to leave a zone that is out or a worker that leaves
}

type groupState string

const (
	groupClaimed  groupState = "claimed"
	groupHolding  groupState = "holding"
	groupHeld     groupState = "held"
	groupStarting groupState = "starting"
	groupRunning  groupState = "running"
	groupUnknown  groupState = "unknown" // taken over, not reported yet
	groupDone     groupState = "done"
	groupEnded    groupState = "gone"
)

// group is the tasks of one attempt on one worker.
type group struct {
	job       *job
	account   *account
	attempt   uint32
	worker    *worker
	firstTask int
	tasks     int
	resources api.Resources
	state     groupState
	// stopping is set once a Stop is sent; detached once the job has left the attempt.
	stopping bool
	detached bool
	// neverStarted is set when the agent says that it has started no task of the
	// group and never will.
	neverStarted   bool
	nonPreemptible bool
	nonRestartable bool
	reservedPart   *reservationPart

	leaseUntil      time.Duration
	progress        time.Duration
	checkpointed    time.Duration // progress at the last checkpoint
	oversizeReports int           // reports in a row above the declared size
	result          json.RawMessage
}

func (g *group) live() bool { return g.state != groupDone && g.state != groupEnded }

// neverStarted reports whether the agents of all members have said that they have
// started nothing of the attempt.
func (j *job) neverStarted() bool {
	return len(j.groups) > 0 && !slices.ContainsFunc(j.groups, func(g *group) bool { return !g.neverStarted })
}

func (j *job) id() string { return j.rec.Job.ID }

func (j *job) gang() api.Shape {
	shape := j.rec.Job.Gang
	shape.PerTask = j.perTask
	return shape
}

func (j *job) totalResources() api.Resources { return j.perTask.Times(j.rec.Job.Gang.Tasks) }

func (j *job) allGroupsIn(state groupState) bool {
	for _, g := range j.groups {
		if g.state != state {
			return false
		}
	}
	return len(j.groups) > 0
}

func (j *job) hasLiveGroup() bool {
	return slices.ContainsFunc(j.groups, (*group).live)
}

// restartable reports whether the job may be stopped and run again elsewhere.
func (j *job) restartable() bool { return j.rec.Job.Idempotent }

// preemptible reports whether the job runs on lent capacity.
func (j *job) preemptible() bool { return !j.nonPreemptible && j.reservation == nil && j.restartable() }

// lostWork is the work in accelerator time that stopping the job now would lose.
func (j *job) lostWork(now time.Duration) time.Duration {
	if !j.started {
		return 0
	}
	var sum time.Duration
	weight := time.Duration(max(1, j.perTask.Accelerators))
	for _, g := range j.groups {
		part := now - j.startedAt - g.checkpointed
		if j.rec.Job.Checkpointable {
			part = min(part, CheckpointGrace)
		}
		sum += max(part, 0) * weight * time.Duration(g.tasks)
	}
	return sum
}

// checkpointRange is the key of a group in JobRecord.Checkpoints: its first
// task and the number of tasks.
func checkpointRange(first, tasks int) string {
	return strconv.Itoa(first) + "+" + strconv.Itoa(tasks)
}

func parseCheckpointRange(key string) (first, tasks int, ok bool) {
	a, b, found := strings.Cut(key, "+")
	first, errA := strconv.Atoi(a)
	tasks, errB := strconv.Atoi(b)
	return first, tasks, found && errA == nil && errB == nil
}

// setCheckpoint keeps the newest checkpoint of each range of tasks.
func (j *job) setCheckpoint(first, tasks int, key string) {
	next := map[string]string{}
	for k, v := range j.rec.Checkpoints {
		f, n, ok := parseCheckpointRange(k)
		inside := ok && f >= first && f+n <= first+tasks
		if !inside {
			next[k] = v
		}
	}
	next[checkpointRange(first, tasks)] = key
	j.rec.Checkpoints = next
}

// checkpointFor returns the checkpoint of a range of tasks: its own key, or
// the keys of all ranges that overlap it, separated by spaces.
func (j *job) checkpointFor(first, tasks int) string {
	if own, ok := j.rec.Checkpoints[checkpointRange(first, tasks)]; ok {
		return own
	}
	var ranges []string
	for k := range j.rec.Checkpoints {
		f, n, ok := parseCheckpointRange(k)
		if ok && f < first+tasks && first < f+n {
			ranges = append(ranges, k)
		}
	}
	slices.Sort(ranges)
	keys := make([]string, 0, len(ranges))
	for _, k := range ranges {
		keys = append(keys, j.rec.Checkpoints[k])
	}
	return strings.Join(keys, " ")
}
