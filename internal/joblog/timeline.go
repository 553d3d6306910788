package joblog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

// MaxSteps limits the steps of a timeline.
const MaxSteps = 20_000

// ErrTimelineTooLong means that the lines span more than MaxSteps steps.
const ErrTimelineTooLong = errors.ConstError("too many steps")

// Unit is what a timeline counts.
type Unit string

// The units: tasks, or cores of tasks whose needs are known, an accelerator counting as
// eight.
const (
	InTasks Unit = "tasks"
	InCores Unit = "cores"
)

// Units lists all units.
var Units = []Unit{InTasks, InCores}

// Timeline is what tasks spent their time on, step by step. States[s][i] is the mean number
// of tasks or cores in state s in step i, which begins at Begin + i*StepMS.
type Timeline struct {
	Begin  time.Time           `json:"begin"`
	StepMS int64               `json:"step_ms"`
	Unit   Unit                `json:"unit"`
	States map[State][]float64 `json:"states"`
	Marks  []Mark              `json:"marks"`
}

// Mark is something that befell many jobs at once: the begin of a term, or workers of which
// an incarnation or a lease has ended.
type Mark struct {
	At      time.Time `json:"at"`
	Token   uint64    `json:"token,omitempty"`   // of the term
	Workers int       `json:"workers,omitempty"` // lost in the step
}

// Selection says which part of a journal a timeline shows. Zero values select all.
type Selection struct {
	Job, Queue string
	From       time.Time
	Step       time.Duration
	Unit       Unit
}

// Timeline returns what tasks spent their time on, step by step. It fails with
// ErrTimelineTooLong, and if nothing is selected with a NotFound error.
func (j *Journal) Timeline(s Selection) (Timeline, error) {
	j.settle()
	jobs := j.selected(s)
	if len(jobs) == 0 {
		return Timeline{}, errors.NotFoundf("selected job in the log lines")
	}
	t := Timeline{Begin: s.From, StepMS: s.Step.Milliseconds(), Unit: s.Unit, States: map[State][]float64{}}
	if t.Begin.IsZero() {
		t.Begin = slices.MinFunc(jobs, func(a, b *job) int { return a.began().Compare(b.began()) }).began().Truncate(s.Step)
	}
	span := max(0, j.last.Sub(t.Begin))
	if span/s.Step >= MaxSteps {
		return Timeline{}, errors.Annotatef(ErrTimelineTooLong, "%v in steps of %v", span, s.Step)
	}
	steps := int(span/s.Step) + 1
	takeovers := j.takeovers()
	for _, o := range jobs {
		j.walk(o, takeovers, func(s stretch) { t.add(s, steps) })
	}
	t.Marks = j.marks(t.Begin, s.Step)
	return t, nil
}

func (j *Journal) selected(s Selection) []*job {
	var out []*job
	for _, o := range j.jobs {
		if !o.began().IsZero() && (s.Job == "" || o.id == s.Job) && (s.Queue == "" || o.queue == s.Queue) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// add adds a stretch to the steps that it covers.
func (t *Timeline) add(s stretch, steps int) {
	weight := float64(s.tasks)
	if t.Unit == InCores {
		weight *= s.needs.Cores()
	}
	step := time.Duration(t.StepMS) * time.Millisecond
	from, to := max(0, s.from.Sub(t.Begin)), min(s.to.Sub(t.Begin), time.Duration(steps)*step)
	if from >= to || weight == 0 {
		return
	}
	values := t.States[s.state]
	if values == nil {
		values = make([]float64, steps)
		t.States[s.state] = values
	}
	for i := from / step; i*step < to; i++ {
		covered := min(to, (i+1)*step) - max(from, i*step)
		values[i] += weight * covered.Seconds() / step.Seconds()
	}
}

// marks returns the terms and the losses of workers, these added up by step.
func (j *Journal) marks(begin time.Time, step time.Duration) []Mark {
	var out []Mark
	for token, t := range j.terms {
		if !t.began.IsZero() && !t.began.Before(begin) {
			out = append(out, Mark{At: t.began, Token: token})
		}
	}
	lost := map[time.Duration]int{}
	for _, at := range j.lossTimes() {
		if !at.Before(begin) {
			lost[at.Sub(begin)/step]++
		}
	}
	for _, i := range slices.Sorted(maps.Keys(lost)) {
		out = append(out, Mark{At: begin.Add(i * step), Workers: lost[i]})
	}
	slices.SortFunc(out, func(a, b Mark) int { return a.At.Compare(b.At) })
	return out
}

// lossMerge is the time within which two lines tell of one loss of a worker: its agent sees
// a new incarnation before the owner does.
const lossMerge = 2 * time.Second

// lossTimes returns when workers have lost an incarnation or a lease, by what owners tell
// and by the incarnations that agents announce: a new owner does not know of the one before.
func (j *Journal) lossTimes() []time.Time {
	byWorker := map[string][]time.Time{}
	for worker, losses := range j.workers {
		for _, l := range losses {
			byWorker[worker] = append(byWorker[worker], l.at)
		}
	}
	for worker, all := range j.announced {
		slices.SortFunc(all, func(a, b announcement) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.instance, b.instance)) })
		for i := 1; i < len(all); i++ {
			if all[i].instance != all[i-1].instance {
				byWorker[worker] = append(byWorker[worker], all[i].at)
			}
		}
	}
	var out []time.Time
	for _, times := range byWorker {
		slices.SortFunc(times, time.Time.Compare)
		var last time.Time
		for _, at := range times {
			if last.IsZero() || at.Sub(last) > lossMerge {
				out = append(out, at)
			}
			last = at
		}
	}
	return out
}
