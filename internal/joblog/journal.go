package joblog

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Limits of what is kept. Lines beyond them are counted only.
const (
	// maxLineBytes is the length up to which a line is read; a longer one is skipped.
	maxLineBytes = 1 << 20
	maxJobs      = 100_000
	maxRuns      = 500_000 // of tasks
	// maxWaits limits the explanations of a wait that are kept of one job, maxClaims the
	// stops of others for it, and maxPauses its rejected saves.
	maxWaits  = 20
	maxClaims = 1000
	maxPauses = 100
	// maxWorkerEvents limits the restarts and lost leases of workers.
	maxWorkerEvents = 100_000
	maxProcesses    = 10_000
	maxTerms        = 10_000
)

// Journal collects the lines of any number of processes, in any order.
type Journal struct {
	jobs       map[string]*job
	zones      map[string]string         // by process
	terms      map[uint64]*term          // by token
	epochsOver map[uint64]bool           // of terms that have ended
	begins     []termBegin               // of terms, once settled
	workers    map[string][]workerLoss   // by worker
	announced  map[string][]announcement // by worker
	losses     int                       // in workers and announced
	runs       int                       // of tasks
	dates      dates
	limits     limits
	until      time.Time // lines after it are left out, unless it is zero
	last       time.Time
	unsettled  bool // lines were added since the causes were settled

	// Lines is the number of lines read, and Skipped tells which were left out.
	Lines   int
	Skipped Skipped
}

// limits are the bounds of a journal that tests lower.
type limits struct{ jobs, runs int }

// Skipped counts the lines that were left out, by the reason.
type Skipped struct {
	// Malformed lines have no JSON object with a time and a message; TooLong ones exceed
	// 1 MiB.
	Malformed int `json:"malformed"`
	TooLong   int `json:"too_long"`
	// Repeated lines tell again of a placement or an end that is known.
	Repeated int `json:"repeated"`
	// Later lines are behind the end that was set.
	Later int `json:"later"`
	// Misdated lines are the only ones within an hour or two of their time.
	Misdated int `json:"misdated"`
	// OfJobs, OfRuns and OfOthers are lines of jobs, runs, workers and terms beyond the
	// bounds on memory.
	OfJobs   int `json:"of_jobs_beyond_bound"`
	OfRuns   int `json:"of_runs_beyond_bound"`
	OfOthers int `json:"of_others_beyond_bound"`
	// LateEnds are ends of runs that their owner no longer tracked, and Unplaced those of
	// runs whose placement and start are in no line. Neither have a duration.
	LateEnds int `json:"late_ends"`
	Unplaced int `json:"ends_without_placement"`
}

// New returns an empty journal.
func New() *Journal {
	return &Journal{jobs: map[string]*job{}, zones: map[string]string{}, terms: map[uint64]*term{}, epochsOver: map[uint64]bool{}, workers: map[string][]workerLoss{}, announced: map[string][]announcement{},
		dates: newDates(), limits: limits{maxJobs, maxRuns}}
}

// EndAt makes Read leave out lines after a time, so that the journal is as it was then.
func (j *Journal) EndAt(at time.Time) { j.until = at }

// term is what the lines tell of an owner's term.
type term struct {
	began, lastDecision time.Time
	epoch               uint64
}

// workerLoss is the end of a worker's incarnation or of its lease.
type workerLoss struct {
	at    time.Time
	cause Cause
}

// announcement is the first heartbeat of an incarnation of a worker.
type announcement struct {
	at       time.Time
	instance string
}

// job is what the lines tell of one job.
type job struct {
	id, queue, account, process string
	submitted, accepted, ended  time.Time
	outcome, detail             string
	tasks, steps                int                 // 0 if not known
	units                       map[uint64]*unitRun // by run number
	claims                      []time.Time         // when others were stopped for the job
	pauses                      []span              // after rejected saves
	saveFailed                  time.Time           // the last save that did not succeed at once
	unreadable                  string              // why its rows cannot be decoded
	waits                       []Wait
	held                        []Wait    // units that held room without doing work
	firstRun                    time.Time // once settled
}

// Wait is a decision that a job gets no room, with its inputs.
type Wait struct {
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
}

// Read adds the lines of a process. It fails only if the reader does.
func (j *Journal) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			j.Lines++
			j.Skipped.TooLong++
			err = skipLine(reader)
		} else if text = bytes.TrimSpace(text); len(text) > 0 {
			j.add(text)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Trace(err)
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(r *bufio.Reader) error {
	for {
		if _, err := r.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (j *Journal) add(text []byte) {
	j.Lines++
	l, err := parseLine(text)
	if err != nil {
		j.Skipped.Malformed++
		return
	}
	if !j.until.IsZero() && l.Time.After(j.until) {
		j.Skipped.Later++
		return
	}
	j.unsettled = true
	for _, l := range j.dates.admit(l) {
		j.addLine(l)
	}
}

func (j *Journal) addLine(l line) {
	j.last = latest(j.last, l.Time)
	switch l.Message {
	case messageStarted:
		j.addProcess(l)
	case messageTerm:
		if t := j.term(l.Token); t != nil {
			setFirst(&t.began, l.Time)
			t.epoch = l.Epoch
		}
	case messageTermOver:
		if len(j.epochsOver) < maxTerms {
			j.epochsOver[l.Epoch] = true
		}
	case messageRequest:
		j.addRequest(l)
	case messageDecision:
		if t := j.term(l.Token); t != nil && l.Time.After(t.lastDecision) {
			t.lastDecision = l.Time
		}
		j.addDecision(l)
	case messageStartFailed:
		if u := j.unitRun(l); u != nil {
			cause, detail := causeOfRefusal(l.Error)
			u.note(event{at: l.Time, cause: cause, task: l.Task, detail: detail})
		}
	case messageAnnounced:
		j.addAnnouncement(l)
	case messageUnsettled:
		if o := j.job(l.Job); o != nil {
			l.Detail = fmt.Sprintf("%s: run %d of %s is not settled: %s", l.Process, l.Run, l.Task, l.Error)
			o.held = appendWait(o.held, l)
		}
	case messageSaveRetried, messageSaveRejected, messageJobSkipped:
		j.addFailedSave(l)
	}
}

func (j *Journal) addProcess(l line) {
	if l.Zone == "" {
		return
	}
	if _, known := j.zones[l.Process]; !known && len(j.zones) >= maxProcesses {
		j.Skipped.OfOthers++
		return
	}
	j.zones[l.Process] = l.Zone
}

func (j *Journal) addAnnouncement(l line) {
	if j.losses >= maxWorkerEvents {
		j.Skipped.OfOthers++
		return
	}
	j.losses++
	j.announced[l.Worker] = append(j.announced[l.Worker], announcement{l.Time, l.Instance})
}

func (j *Journal) addRequest(l line) {
	if l.Verb != verbSubmit || l.Outcome != outcomeOK {
		return
	}
	o := j.job(l.Job)
	if o == nil {
		return
	}
	o.queue, o.account = l.Queue, l.Account
	if o.submitted.IsZero() || l.Time.Before(o.submitted) {
		o.submitted, o.process = l.Time, l.Process
	}
}

func (j *Journal) addFailedSave(l line) {
	o := j.job(l.Job)
	switch {
	case o == nil:
	case l.Message == messageJobSkipped:
		o.unreadable = l.Error
	case l.Time.After(o.saveFailed):
		o.saveFailed = l.Time
	}
}

// job returns the job of an ID, or nil if the line names none or there are too many.
func (j *Journal) job(id string) *job {
	if id == "" {
		return nil
	}
	o := j.jobs[id]
	if o == nil {
		if len(j.jobs) >= j.limits.jobs {
			j.Skipped.OfJobs++
			return nil
		}
		o = &job{id: id, units: map[uint64]*unitRun{}}
		j.jobs[id] = o
	}
	return o
}

// unitRun returns the run of the unit that a line names, or nil if it names none or there
// are too many.
func (j *Journal) unitRun(l line) *unitRun {
	o := j.job(l.Job)
	if o == nil || l.Run == 0 {
		return nil
	}
	u := o.units[l.Run]
	if u == nil {
		if j.runs >= j.limits.runs {
			j.Skipped.OfRuns++
			return nil
		}
		j.runs++
		u = &unitRun{number: l.Run, members: map[string]*run{}}
		o.units[l.Run] = u
	}
	return u
}

// run returns the run of the task that a line names and that of its unit, or nil.
func (j *Journal) run(l line) (*run, *unitRun) {
	u := j.unitRun(l)
	if u == nil {
		return nil, nil
	}
	r := u.members[l.Task]
	if r == nil {
		if j.runs >= j.limits.runs {
			j.Skipped.OfRuns++
			return nil, nil
		}
		j.runs++
		r = &run{task: l.Task}
		u.members[l.Task] = r
	}
	return r, u
}

// began returns when the job was submitted, accepted if the lines of the entry that took it
// are missing, or first placed if those of its owner are cut.
func (o *job) began() time.Time { return firstTime(o.submitted, o.accepted, o.firstRun) }

func (j *Journal) term(token uint64) *term {
	t := j.terms[token]
	if t == nil {
		if len(j.terms) >= maxTerms {
			j.Skipped.OfOthers++
			return nil
		}
		t = &term{}
		j.terms[token] = t
	}
	return t
}

// takeovers returns the time between each two terms: from the last decision of the
// earlier one until the later one began.
func (j *Journal) takeovers() []span {
	var out []span
	var last time.Time
	for _, token := range slices.Sorted(maps.Keys(j.terms)) {
		t := j.terms[token]
		if !last.IsZero() && t.began.After(last) {
			out = append(out, span{last, t.began, Takeover})
		}
		last = latest(last, latest(t.began, t.lastDecision))
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
