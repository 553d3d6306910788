package joblog

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// addDecision adds a decision of the owner on a worker, a job or a run.
func (j *Journal) addDecision(l line) {
	switch l.What {
	case "worker-incarnation-changed":
		j.addLoss(l, CauseCrashed)
	case "worker-lost":
		j.addLoss(l, CauseLease)
	}
	o := j.job(l.Job)
	if o == nil {
		return
	}
	switch l.What {
	case "accepted":
		setFirst(&o.accepted, l.Time)
		o.tasks, o.steps = max(o.tasks, numberBefore(l.Detail, tasksPattern)), max(o.steps, numberBefore(l.Detail, stepsPattern))
	case "waits-for-room":
		o.waits = appendWait(o.waits, l)
	case "unit-held":
		o.held = appendWait(o.held, l)
	case "save-rejected":
		if len(o.pauses) < maxPauses {
			o.pauses = append(o.pauses, span{l.Time, l.Time.Add(pauseOf(l.Detail)), Pause})
		}
	case "job-completed", "job-failed", "job-cancelled", "job-crashes-workers":
		if o.ended.IsZero() || l.Time.Before(o.ended) {
			o.ended, o.outcome, o.detail = l.Time, strings.TrimPrefix(l.What, "job-"), l.Detail
		}
	default:
		j.addRunDecision(o, l)
	}
}

// addRunDecision adds a decision on a run.
func (j *Journal) addRunDecision(o *job, l line) {
	if cause, ok := decisionCauses[l.What]; ok {
		if u := j.unitRun(l); u != nil {
			u.note(event{at: l.Time, cause: cause, task: l.Task, worker: l.Worker, detail: l.Detail})
		}
		j.addClaim(l)
		return
	}
	switch l.What {
	case "placed":
		if r, u := j.run(l); r != nil {
			j.addPlacement(u, r, l)
		}
	case "start ordered":
		if r, _ := j.run(l); r != nil {
			r.worker = l.Worker
			r.checkpoint = l.Checkpoint
			setFirst(&r.started, l.Time)
		}
	case "stop ordered":
		if r, u := j.run(l); r != nil {
			setFirst(&r.stopOrdered, l.Time)
			if cause, detail := causeOfStop(l); cause != "" {
				u.note(event{at: l.Time, cause: cause, task: l.Task, detail: detail, follows: true})
			}
		}
	case "run-ended":
		j.addEnd(l)
	}
}

func (j *Journal) addPlacement(u *unitRun, r *run, l line) {
	if !r.placed.IsZero() {
		j.Skipped.Repeated++
		return
	}
	r.worker, r.placed, r.token = l.Worker, l.Time, l.Token
	if l.Tasks > 0 {
		u.sized, u.needs = true, graph.Resources{Accelerators: max(0, l.Accelerators), MilliCPU: max(0, l.MilliCPU)}
	}
}

// addEnd adds the end of a run. A refusal is followed by the end that it leads to.
func (j *Journal) addEnd(l line) {
	if strings.HasPrefix(l.Detail, lateEnd) {
		j.Skipped.LateEnds++
		return
	}
	r, u := j.run(l)
	if r == nil {
		return
	}
	if reason, refused := strings.CutPrefix(l.Detail, refusedEnd); refused {
		if cause, detail := causeOfRefusal(reason); cause != "" {
			u.note(event{at: l.Time, cause: cause, task: l.Task, worker: l.Worker, detail: detail})
		}
		return
	}
	if r.end != "" {
		j.Skipped.Repeated++
		if !l.Time.Before(r.ended) {
			return
		}
	}
	r.end, r.ended, r.reason, r.endToken = l.Detail, l.Time, l.Reason, l.Token
	if r.worker == "" {
		r.worker = l.Worker
	}
}

// addClaim records that a unit was stopped for another job.
func (j *Journal) addClaim(l line) {
	id, ok := strings.CutPrefix(l.Detail, claimantPrefix)
	if !ok {
		return
	}
	if claimant := j.job(id); claimant != nil && len(claimant.claims) < maxClaims {
		claimant.claims = append(claimant.claims, l.Time)
	}
}

func (j *Journal) addLoss(l line, cause Cause) {
	if j.losses >= maxWorkerEvents {
		j.Skipped.OfOthers++
		return
	}
	j.losses++
	j.workers[l.Worker] = append(j.workers[l.Worker], workerLoss{l.Time, cause})
}

func appendWait(waits []Wait, l line) []Wait {
	if len(waits) >= maxWaits {
		return waits
	}
	return append(waits, Wait{l.Time, l.Detail})
}

// The numbers in the descriptions of jobs and pauses.
var (
	tasksPattern = regexp.MustCompile(`(\d+) tasks`)
	stepsPattern = regexp.MustCompile(`(\d+) steps`)
	pausePattern = regexp.MustCompile(`next placement after (\S+)`)
)

// numberBefore returns the number that a pattern finds in a text, or 0.
func numberBefore(text string, pattern *regexp.Regexp) int {
	found := pattern.FindStringSubmatch(text)
	if found == nil {
		return 0
	}
	n, _ := strconv.Atoi(found[1])
	return min(n, maxRuns)
}

// pauseOf returns the pause that the description of a rejected save names, or 0.
func pauseOf(text string) time.Duration {
	found := pausePattern.FindStringSubmatch(text)
	if found == nil {
		return 0
	}
	d, _ := time.ParseDuration(found[1])
	return max(0, d)
}
