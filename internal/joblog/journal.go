package joblog

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// maxLineBytes is the length up to which a line is read; a longer one is skipped.
	maxLineBytes = 1 << 20
	// maxJobs limits the jobs that are kept. Lines of further jobs are counted only.
	maxJobs = 100_000
	// maxWaits limits the explanations of a wait that are kept of one job.
	maxWaits = 20
)

// Journal collects the lines of any number of processes, in any order.
type Journal struct {
	jobs  map[string]*job
	zones map[string]string // by process
	terms map[uint64]*term  // by token
	last  time.Time

	// Lines is the number of lines read, Malformed that of lines that were skipped as
	// they could not be decoded, and Dropped that of lines of jobs beyond maxJobs.
	Lines, Malformed, Dropped int
}

// New returns an empty journal.
func New() *Journal {
	return &Journal{jobs: map[string]*job{}, zones: map[string]string{}, terms: map[uint64]*term{}}
}

// term is what the lines tell of an owner's term.
type term struct{ began, lastDecision time.Time }

// job is what the lines tell of one job.
type job struct {
	id, queue, account, process string
	submitted, accepted, ended  time.Time
	outcome, detail             string
	runs                        map[uint64]*run
	claims                      []time.Time // when others were stopped for the job
	waits                       []Wait
}

// run is one run of a task.
type run struct {
	task, worker           string
	placed, started, ended time.Time
	end                    string
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
			j.Malformed++
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
		j.Malformed++
		return
	}
	if l.Time.After(j.last) {
		j.last = l.Time
	}
	switch l.Message {
	case messageStarted:
		if l.Zone != "" {
			j.zones[l.Process] = l.Zone
		}
	case messageTerm:
		j.term(l.Token).began = l.Time
	case messageRequest:
		j.addRequest(l)
	case messageDecision:
		if t := j.term(l.Token); l.Time.After(t.lastDecision) {
			t.lastDecision = l.Time
		}
		j.addDecision(l)
	}
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

func (j *Journal) addDecision(l line) {
	o := j.job(l.Job)
	if o == nil {
		return
	}
	switch l.What {
	case "accepted":
		if o.accepted.IsZero() || l.Time.Before(o.accepted) {
			o.accepted = l.Time
		}
	case "placed":
		r := o.run(l.Run)
		r.task, r.worker, r.placed = l.Task, l.Worker, l.Time
	case "start ordered":
		r := o.run(l.Run)
		r.task, r.worker = l.Task, l.Worker
		if r.started.IsZero() || l.Time.Before(r.started) {
			r.started = l.Time
		}
	case "run-ended":
		r := o.run(l.Run)
		r.end, r.ended = l.Detail, l.Time
	case "preempted", "reclaimed-for-guarantee", "recalled-for-reservation":
		if claimant := j.job(strings.TrimPrefix(l.Detail, "for ")); claimant != nil {
			claimant.claims = append(claimant.claims, l.Time)
		}
	case "waits-for-room":
		if len(o.waits) < maxWaits {
			o.waits = append(o.waits, Wait{l.Time, l.Detail})
		}
	case "job-completed", "job-failed", "job-cancelled", "job-crashes-workers":
		o.ended, o.outcome, o.detail = l.Time, strings.TrimPrefix(l.What, "job-"), l.Detail
	}
}

// job returns the job of an ID, or nil if the line names none or there are too many.
func (j *Journal) job(id string) *job {
	if id == "" {
		return nil
	}
	o := j.jobs[id]
	if o == nil {
		if len(j.jobs) >= maxJobs {
			j.Dropped++
			return nil
		}
		o = &job{id: id, runs: map[uint64]*run{}}
		j.jobs[id] = o
	}
	return o
}

func (o *job) run(number uint64) *run {
	r := o.runs[number]
	if r == nil {
		r = &run{}
		o.runs[number] = r
	}
	return r
}

// began returns when the job was submitted, or accepted if the lines of the entry that
// took it are missing.
func (o *job) began() time.Time {
	if o.submitted.IsZero() {
		return o.accepted
	}
	return o.submitted
}

// sortedRuns returns the runs of a job by number.
func (o *job) sortedRuns() []*run {
	out := make([]*run, 0, len(o.runs))
	for _, n := range slices.Sorted(maps.Keys(o.runs)) {
		out = append(out, o.runs[n])
	}
	return out
}

func (j *Journal) term(token uint64) *term {
	t := j.terms[token]
	if t == nil {
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
