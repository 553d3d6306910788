package joblog

import (
	"maps"
	"slices"
)

// Usage is the use of a state: runs and the time of their tasks, in task-milliseconds and,
// where a line tells the needs of a task, in core-milliseconds (an accelerator counts as
// eight cores) and accelerator-milliseconds. Unsized is the number of runs without needs.
type Usage struct {
	Runs          int   `json:"runs"`
	Direct        int   `json:"direct"` // of lost runs, those on which the cause itself came
	TaskMS        int64 `json:"task_ms"`
	CoreMS        int64 `json:"core_ms"`
	AcceleratorMS int64 `json:"accelerator_ms"`
	Unsized       int   `json:"unsized,omitempty"`
	// CheckpointedMS is the part of CoreMS in lost runs that have taken a checkpoint from
	// which the next run began, so that not all of it was lost.
	CheckpointedMS int64 `json:"checkpointed_core_ms,omitempty"`
}

// Spent is what the tasks of a job or of several spent their time on.
type Spent struct {
	States map[State]Usage `json:"states"`
	// Starts is the number of starts ordered, and Resumed that of those from a checkpoint.
	Starts  int `json:"starts"`
	Resumed int `json:"resumed"`
	// CostOthers is what runs of other jobs lost that were stopped for these.
	CostOthers Usage `json:"cost_others"`
}

// Lost adds up the runs that were lost, by any cause.
func (s Spent) Lost() Usage {
	var sum Usage
	for _, c := range Causes {
		sum = sum.plus(s.States[LostBy(c)])
	}
	return sum
}

// LostCauses returns the causes by which runs were lost, the one that cost most cores first.
func (s Spent) LostCauses() []Cause {
	out := slices.DeleteFunc(slices.Clone(Causes), func(c Cause) bool { return s.States[LostBy(c)].Runs == 0 })
	slices.SortStableFunc(out, func(a, b Cause) int {
		x, y := s.States[LostBy(a)], s.States[LostBy(b)]
		if x.CoreMS != y.CoreMS {
			return int(min(1, max(-1, y.CoreMS-x.CoreMS)))
		}
		return int(min(1, max(-1, y.TaskMS-x.TaskMS)))
	})
	return out
}

func (u Usage) plus(o Usage) Usage {
	return Usage{u.Runs + o.Runs, u.Direct + o.Direct, u.TaskMS + o.TaskMS, u.CoreMS + o.CoreMS, u.AcceleratorMS + o.AcceleratorMS,
		u.Unsized + o.Unsized, u.CheckpointedMS + o.CheckpointedMS}
}

func (s *Spent) add(o Spent) {
	for state, u := range o.States {
		s.addUsage(state, u)
	}
	s.Starts += o.Starts
	s.Resumed += o.Resumed
	s.CostOthers = s.CostOthers.plus(o.CostOthers)
}

func (s *Spent) addUsage(state State, u Usage) {
	if s.States == nil {
		s.States = map[State]Usage{}
	}
	s.States[state] = s.States[state].plus(u)
}

func (s *Spent) addStretch(t stretch) {
	s.addUsage(t.state, usageOf(t))
	if t.run != nil && !t.run.started.IsZero() {
		s.Starts++
		if t.run.checkpoint != "" {
			s.Resumed++
		}
	}
}

// usageOf returns the use of a stretch.
func usageOf(s stretch) Usage {
	ms := s.to.Sub(s.from).Milliseconds() * int64(s.tasks)
	u := Usage{TaskMS: ms}
	if s.sized {
		u.CoreMS, u.AcceleratorMS = int64(float64(ms)*s.needs.Cores()), ms*int64(s.needs.Accelerators)
	}
	if s.run == nil {
		return u
	}
	u.Runs = 1
	if s.checkpointed {
		u.CheckpointedMS = u.CoreMS
	}
	if !s.sized {
		u.Unsized = 1
	}
	if s.state == LostBy(s.unit.cause.cause) && s.unit.cause.hits(s.run) {
		u.Direct = 1
	}
	return u
}

// StatesInUse returns the states of which there is any use, in the order of States.
func (s Spent) StatesInUse() []State {
	used := maps.Clone(s.States)
	return slices.DeleteFunc(slices.Clone(States), func(state State) bool { return used[state] == Usage{} })
}
