package joblog

import (
	"cmp"
	"slices"
	"time"
)

// JobTime is where the time of one job went.
type JobTime struct {
	Job     string    `json:"job"`
	Queue   string    `json:"queue"`
	Account string    `json:"account"`
	Zone    string    `json:"zone"` // of the entry that accepted it
	Began   time.Time `json:"began"`
	// Outcome is "completed", "failed", "cancelled" or "crashes-workers", or empty for a
	// job that has not ended. Detail is that of its last decision.
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	TookMS  int64  `json:"took_ms"`
	// LostMS is the time that was not spent running.
	LostMS  int64           `json:"lost_ms"`
	PhaseMS map[Phase]int64 `json:"phase_ms"`
	Spent
	Waits []Wait    `json:"waits,omitempty"`
	Held  []Wait    `json:"held,omitempty"` // when units held room without doing work
	Runs  []RunTime `json:"runs,omitempty"`
}

// RunTime is one run of a task.
type RunTime struct {
	Task    string    `json:"task"`
	Run     uint64    `json:"run"`
	Worker  string    `json:"worker"`
	Placed  time.Time `json:"placed"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	End     string    `json:"end"`
	State   State     `json:"state"`
	// Cause tells more of a lost run: on which worker, for which job, what a refusal said. Direct is false if
	// it came on another member of the gang.
	Cause  string `json:"cause,omitempty"`
	Direct bool   `json:"direct"`
	// Checkpoint is the one from which the run began.
	Checkpoint string `json:"checkpoint,omitempty"`
	TaskMS     int64  `json:"task_ms"`
	CoreMS     int64  `json:"core_ms"`
}

// GroupTime adds up the jobs that share a key.
type GroupTime struct {
	Key     string          `json:"key"`
	Jobs    int             `json:"jobs"`
	LostMS  int64           `json:"lost_ms"`
	PhaseMS map[Phase]int64 `json:"phase_ms"`
	Spent
}

// Grouping is what jobs are added up by.
type Grouping string

// The groupings.
const (
	ByQueue   Grouping = "queue"
	ByAccount Grouping = "account"
	ByZone    Grouping = "zone"
	ByWindow  Grouping = "window"
	ByAll     Grouping = "all" // one group
)

// Groupings lists all groupings.
var Groupings = []Grouping{ByQueue, ByAccount, ByZone, ByWindow, ByAll}

// Jobs returns where the time of each job went, the one that lost most first. With runs
// set, each has its runs.
func (j *Journal) Jobs(runs bool) []JobTime {
	j.settle()
	takeovers := j.takeovers()
	out := make([]JobTime, 0, len(j.jobs))
	costs := map[string]Usage{} // by the job for which others were stopped
	for _, o := range j.jobs {
		if !o.began().IsZero() {
			out = append(out, j.timeOf(o, takeovers, runs, costs))
		}
	}
	for i := range out {
		out[i].CostOthers = costs[out[i].Job]
	}
	slices.SortFunc(out, func(a, b JobTime) int {
		return cmp.Or(cmp.Compare(b.LostMS, a.LostMS), cmp.Compare(a.Job, b.Job))
	})
	return out
}

func (j *Journal) timeOf(o *job, takeovers []span, runs bool, costs map[string]Usage) JobTime {
	t := JobTime{Job: o.id, Queue: o.queue, Account: o.account, Zone: j.zones[o.process], Began: o.began(),
		Outcome: o.outcome, Detail: o.detail, PhaseMS: map[Phase]int64{}, Waits: sortWaits(o.waits), Held: sortWaits(o.held)}
	for phase, d := range o.split(j.last, takeovers) {
		t.PhaseMS[phase] = d.Milliseconds()
		t.TookMS += d.Milliseconds()
		if phase != Running {
			t.LostMS += d.Milliseconds()
		}
	}
	j.walk(o, takeovers, func(s stretch) {
		t.Spent.addStretch(s)
		if id := s.claimant(); id != "" {
			costs[id] = costs[id].plus(usageOf(s))
		}
		if runs && s.run != nil {
			t.Runs = append(t.Runs, newRunTime(s))
		}
	})
	slices.SortFunc(t.Runs, func(a, b RunTime) int {
		return cmp.Or(cmp.Compare(a.Run, b.Run), compareTasks(a.Task, b.Task))
	})
	return t
}

func newRunTime(s stretch) RunTime {
	r := s.run
	u := usageOf(s)
	out := RunTime{Task: r.task, Run: s.unit.number, Worker: r.worker, Placed: r.placed, Started: r.started, Ended: r.ended, End: r.end, State: s.state,
		Checkpoint: r.checkpoint, TaskMS: u.TaskMS, CoreMS: u.CoreMS}
	if s.state == LostBy(s.unit.cause.cause) {
		out.Cause, out.Direct = s.unit.cause.describe(), s.unit.cause.hits(r)
	}
	return out
}

func sortWaits(waits []Wait) []Wait {
	out := slices.Clone(waits)
	slices.SortStableFunc(out, func(a, b Wait) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Reason, b.Reason)) })
	return slices.Compact(out)
}

// Group adds up jobs, the group that lost most first. Windows of the given length begin
// at full multiples of it.
func Group(jobs []JobTime, by Grouping, window time.Duration) []GroupTime {
	index := map[string]int{}
	var out []GroupTime
	for _, t := range jobs {
		key := t.key(by, window)
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, GroupTime{Key: key, PhaseMS: map[Phase]int64{}})
		}
		g := &out[i]
		g.Jobs++
		g.LostMS += t.LostMS
		for phase, ms := range t.PhaseMS {
			g.PhaseMS[phase] += ms
		}
		g.Spent.add(t.Spent)
	}
	slices.SortFunc(out, func(a, b GroupTime) int {
		return cmp.Or(cmp.Compare(b.LostMS, a.LostMS), cmp.Compare(a.Key, b.Key))
	})
	return out
}

func (t *JobTime) key(by Grouping, window time.Duration) string {
	switch by {
	case ByAccount:
		return t.Account
	case ByZone:
		return t.Zone
	case ByAll:
		return "all"
	case ByWindow:
		return t.Began.Truncate(window).Format(time.RFC3339)
	default:
		return t.Queue
	}
}
