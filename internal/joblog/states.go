package joblog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// State is what a task is in at a time: it waits, starts, or is in a run that is kept, goes
// on, or is lost by a cause.
type State string

// The states but for those of lost runs.
const (
	WaitingRoom  State = "waiting-room"
	WaitingRack  State = "waiting-rack"
	WaitingClaim State = "waiting-claim"
	// WaitingSteps is the time before a task's earlier steps were done, as far as the lines
	// tell.
	WaitingSteps State = "waiting-steps"
	WaitingPause State = "waiting-pause"
	// WaitingOwner is the time before the owner took a job, or without an owner.
	WaitingOwner State = "waiting-owner"
	Placed       State = "starting"
	Kept         State = "kept"
	// Open is the time in runs that had not ended.
	Open State = "open"
)

const lostPrefix = "lost-"

// LostBy returns the state of runs that were lost by a cause.
func LostBy(c Cause) State { return lostPrefix + State(c) }

// States lists all states in the order in which they are shown.
var States = allStates()

func allStates() []State {
	out := []State{Kept, Open, Placed, WaitingRoom, WaitingRack, WaitingClaim, WaitingPause, WaitingOwner, WaitingSteps}
	for _, c := range Causes {
		out = append(out, LostBy(c))
	}
	return out
}

// waitStates are the states of waiting tasks by the phase of their job.
var waitStates = map[Phase]State{Room: WaitingRoom, Rack: WaitingRack, Claim: WaitingClaim, Pause: WaitingPause, Takeover: WaitingOwner}

// stretch is a part of the time of some tasks of a job in one state.
type stretch struct {
	state    State
	from, to time.Time
	tasks    int
	// The needs of each task, if they are known, and of runs the run, once.
	needs graph.Resources
	sized bool
	unit  *unitRun
	run   *run
	// checkpointed is set if the next run of the task began from a checkpoint that this one
	// has taken.
	checkpointed bool
}

// termBegin is the begin of a term.
type termBegin struct {
	token uint64
	at    time.Time
}

// termBegins returns the terms whose begin is known, by token.
func (j *Journal) termBegins() []termBegin {
	var out []termBegin
	for _, token := range slices.Sorted(maps.Keys(j.terms)) {
		if at := j.terms[token].began; !at.IsZero() {
			out = append(out, termBegin{token, at})
		}
	}
	return out
}

// claimant returns the job for which a lost run was stopped, or "".
func (s stretch) claimant() string {
	if s.run == nil || s.state != LostBy(s.unit.cause.cause) {
		return ""
	}
	return s.unit.cause.claimant()
}

// walker passes the stretches of one job.
type walker struct {
	job      *job
	end      time.Time // of the job or the lines
	segments []span    // what the job waited for, in order of time
	needs    map[int]graph.Resources
	doneEnds map[int][]time.Time
	terms    []termBegin
	task     stretch // the needs of the present task
	emit     func(stretch)
}

// walk passes the stretches of a job, task by task, so that sums of them are repeatable.
func (j *Journal) walk(o *job, takeovers []span, emit func(stretch)) {
	w := &walker{job: o, end: firstTime(o.ended, j.last), needs: o.needsByStep(), doneEnds: o.doneEnds(), terms: j.begins, emit: emit}
	w.segments = o.waitSegments(w.end, takeovers)
	runs := o.byTask()
	for _, task := range slices.Sorted(maps.Keys(runs)) {
		w.walkTask(runs[task])
	}
	w.walkUnseen(max(0, o.tasks-len(runs)))
}

// needsByStep returns the needs of a task of each step of which a line tells them.
func (o *job) needsByStep() map[int]graph.Resources {
	out := map[int]graph.Resources{}
	for _, u := range o.units {
		for task := range u.members {
			if u.sized {
				out[stepOf(task)] = u.needs
			}
			break
		}
	}
	return out
}

// walkTask passes the runs of a task and the waits before, between and after them.
func (w *walker) walkTask(runs []taskRun) {
	ready := w.readyAt(runs[0])
	w.task.needs, w.task.sized = w.needs[stepOf(runs[0].run.task)]
	w.pass(stretch{state: WaitingSteps, from: w.job.began(), to: ready, tasks: 1})
	cursor := ready
	for i, r := range runs {
		if w.notStored(r) {
			cursor = w.passNotStored(r, cursor)
			continue
		}
		w.wait(cursor, r.run.begins(), 1)
		var next *run
		if i+1 < len(runs) {
			next = runs[i+1].run
		}
		state, end := w.outcome(r, next)
		w.passRun(r, state, end, next != nil && next.checkpoint != "" && next.checkpoint != r.run.checkpoint)
		if cursor = latest(cursor, end); state == Kept || state == Open {
			cursor = latest(cursor, w.end)
		}
	}
	w.wait(cursor, w.end, 1)
}

// notStored reports whether a run is a placement that a later owner did not know of.
func (w *walker) notStored(r taskRun) bool {
	return r.run.started.IsZero() && r.run.end == "" && !w.nextTerm(r.unit.number).IsZero()
}

// nextTerm returns when the first term began after the one that gave a run its number, zero
// if there is none.
func (w *walker) nextTerm(number uint64) time.Time {
	i, _ := slices.BinarySearchFunc(w.terms, termOf(number)+1, func(t termBegin, token uint64) int { return cmp.Compare(t.token, token) })
	if termOf(number) == 0 || i == len(w.terms) {
		return time.Time{}
	}
	return w.terms[i].at
}

// passNotStored passes a placement that was not stored, up to the begin of the next term, and
// the wait before it. An owner that did not know of that term may have made it later; then
// it has no duration.
func (w *walker) passNotStored(r taskRun, cursor time.Time) time.Time {
	placed := r.run.begins()
	end := latest(w.nextTerm(r.unit.number), placed)
	if placed.Before(end) {
		w.wait(cursor, placed, 1)
		cursor = latest(cursor, end)
	}
	w.passRun(r, LostBy(CauseNotStored), end, false)
	return cursor
}

// readyAt returns when the first run of a task could begin: after the last run of an
// earlier step, as far as that is known.
func (w *walker) readyAt(first taskRun) time.Time {
	ready, step := w.job.began(), stepOf(first.run.task)
	for earlier, ends := range w.doneEnds {
		i, found := slices.BinarySearchFunc(ends, first.run.begins(), time.Time.Compare)
		if found {
			i++
		}
		if earlier < step && i > 0 {
			ready = latest(ready, ends[i-1])
		}
	}
	return ready
}

// doneEnds returns the ends of the runs that were done, by step and in order.
func (o *job) doneEnds() map[int][]time.Time {
	out := map[int][]time.Time{}
	for _, u := range o.units {
		for _, r := range u.members {
			if r.end == endDone {
				out[stepOf(r.task)] = append(out[stepOf(r.task)], r.ended)
			}
		}
	}
	for _, ends := range out {
		slices.SortFunc(ends, time.Time.Compare)
	}
	return out
}

// outcome returns the state of a run and its end. following is the task's next run, nil if it has
// none.
func (w *walker) outcome(r taskRun, following *run) (State, time.Time) {
	ended := r.run.ended
	var next time.Time
	if following != nil {
		next = following.begins()
	}
	switch {
	case r.run.end == endDone || r.unit.done():
		return Kept, firstTime(ended, next, w.end)
	case r.run.end != "":
		return LostBy(r.unit.cause.cause), ended
	case !next.IsZero():
		return LostBy(CauseEndMissing), next
	case w.job.ended.IsZero() && r.unit.cause.cause != CauseUnexplained:
		return LostBy(r.unit.cause.cause), w.end // it is being stopped
	case w.job.ended.IsZero():
		return Open, w.end
	case w.job.outcome == "completed":
		return Kept, w.end
	default:
		return LostBy(CauseEndMissing), w.end
	}
}

func (w *walker) passRun(r taskRun, state State, end time.Time, checkpointed bool) {
	s := stretch{state: state, from: r.run.worked(), to: latest(end, r.run.worked()), tasks: 1, unit: r.unit, needs: r.unit.needs, sized: r.unit.sized}
	if !s.sized {
		s.needs, s.sized = w.task.needs, w.task.sized
	}
	if !r.run.placed.IsZero() && r.run.started.After(r.run.placed) {
		starting := s
		starting.state, starting.from, starting.to = Placed, r.run.placed, r.run.started
		w.pass(starting)
	}
	s.run, s.checkpointed = r.run, checkpointed
	w.emit(s)
}

// walkUnseen passes the tasks of which no line tells a run.
func (w *walker) walkUnseen(tasks int) {
	if tasks == 0 || w.job.began().IsZero() {
		return
	}
	w.task = stretch{}
	cursor := w.job.began()
	if w.job.steps > 1 {
		for _, s := range w.job.active(w.end) {
			w.wait(cursor, s.from, tasks)
			w.pass(stretch{state: WaitingSteps, from: latest(cursor, s.from), to: s.to, tasks: tasks})
			cursor = latest(cursor, s.to)
		}
	}
	w.wait(cursor, w.end, tasks)
}

// active returns when runs of the job went on, in order and without overlaps.
func (o *job) active(end time.Time) []span {
	var all []span
	for _, u := range o.units {
		for _, r := range u.members {
			if from := r.begins(); !from.IsZero() {
				all = append(all, span{from: from, to: firstTime(r.ended, end)})
			}
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
	var out []span
	for _, s := range all {
		if n := len(out); n > 0 && !s.from.After(out[n-1].to) {
			out[n-1].to = latest(out[n-1].to, s.to)
			continue
		}
		out = append(out, s)
	}
	return out
}

// wait passes a wait, divided by what the job waited for.
func (w *walker) wait(from, to time.Time, tasks int) {
	if !from.Before(to) {
		return
	}
	i, _ := slices.BinarySearchFunc(w.segments, from, func(s span, at time.Time) int {
		if s.to.After(at) {
			return 1
		}
		return -1
	})
	for _, s := range w.segments[i:] {
		if !s.from.Before(to) {
			return
		}
		w.pass(stretch{state: waitStates[s.phase], from: latest(from, s.from), to: earliest(to, s.to), tasks: tasks})
	}
}

func (w *walker) pass(s stretch) {
	if s.run == nil && !s.sized {
		s.needs, s.sized = w.task.needs, w.task.sized
	}
	if s.from.Before(s.to) && !s.from.IsZero() {
		w.emit(s)
	}
}

// waitSegments divides the time of a job by what it waits for while it waits.
func (o *job) waitSegments(end time.Time, takeovers []span) []span {
	begin := o.began()
	spans := append(o.waitSpans(end), takeovers...)
	if o.accepted.After(begin) {
		spans = append(spans, span{begin, o.accepted, Takeover})
	}
	return divide(begin, end, spans)
}
