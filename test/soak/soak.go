package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/platform/standin"
)

// Options fixes a run.
type Options struct {
	Seed     int64
	Duration time.Duration // of the load and the faults
	Hosts    int
	Features string // comma-separated names of internal/feature
}

const commandFormat = "make soak SEED=%d MINUTES=%f HOSTS=%d FEATURES=%s"

// Command returns the command that plays the run again.
func (o Options) Command() string {
	return fmt.Sprintf(commandFormat, o.Seed, o.Duration.Minutes(), o.Hosts, o.Features)
}

// ParseCommand returns the options of a command as Command returns it.
func ParseCommand(command string) (o Options, err error) {
	var minutes float64
	command, o.Features, _ = strings.Cut(strings.TrimSpace(command), " FEATURES=")
	withoutFeatures, _, _ := strings.Cut(commandFormat, " FEATURES=")
	_, err = fmt.Sscanf(command, withoutFeatures, &o.Seed, &minutes, &o.Hosts)
	o.Duration = time.Duration(minutes * float64(time.Minute)).Round(time.Millisecond)
	return o, errors.Annotatef(err, "command %q", command)
}

// Result is what a run gave.
type Result struct {
	Dir        string
	Record     *Record
	Violations []Violation
}

// Run plays a run with the binaries in bin, checks its record and writes it to
// the folder of the result, which also has the schedule and the logs.
func Run(bin string, o Options) (*Result, error) {
	dir, err := makeFolder(o.Seed)
	if err != nil {
		return nil, err
	}
	recorder := NewRecorder()
	result := &Result{Dir: dir}
	stop := make(chan struct{})
	defer close(stop)
	go recorder.WatchStalls(stop)
	g, err := startRig(dir, bin, o.Features, layout{hosts: o.Hosts}, recorder)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return result, err
	}
	plan := planFaults(o.Seed, o.Duration)
	if err := writeSchedule(dir, plan); err != nil {
		return result, err
	}
	l := startLoad(g, o.Seed)
	end := time.Now().Add(o.Duration)
	g.playFaults(plan)
	time.Sleep(time.Until(end))
	recorder.Add(Event{Kind: KindHealed})
	g.awaitServed()
	l.stop()
	g.settle()
	result.Record = recorder.Record()
	result.Violations = Check(result.Record)
	return result, errors.Trace(result.write(o))
}

func writeSchedule(dir string, plan []fault) error {
	var b strings.Builder
	for _, f := range plan {
		fmt.Fprintln(&b, f)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, "schedule.txt"), []byte(b.String()), 0o600))
}

// awaitServed records when each entry serves callers again after the last fault.
func (g *rig) awaitServed() {
	var waiting sync.WaitGroup
	for i, n := range g.entries {
		waiting.Go(func() {
			caller := g.caller(i)
			served := func() bool {
				j := Job{ID: fmt.Sprintf("%016x", probeIDs+i), Account: accountOther, Priority: 2, Steps: []standin.TaskStep{{Count: 1, MilliCPU: 1000, Accelerators: 1, WorkMS: 50}}}
				g.recorder.AddJob(j)
				sent := g.recorder.Now()
				r := caller.Submit(queues[j.Priority].Prefix+j.ID, g.operator.key(j.Account), j.Steps, callerWait)
				g.recorder.Add(Event{Sent: sent, Kind: KindSubmit, Job: j.ID, Entry: n.name, Key: g.operator.key(j.Account), Status: r.Status, State: r.State})
				return r.OK()
			}
			if pollUntil(2*standin.RecoveryBound, served) {
				g.recorder.Add(Event{Kind: KindServed, Entry: n.name})
			}
		})
	}
	waiting.Wait()
}

// probeIDs is the first ID of the jobs that are submitted after the last fault.
const probeIDs = 1 << 40

// settle waits until all jobs have ended at all entries, for as long as the
// platform allows, and records each entry's last answer about each job.
func (g *rig) settle() {
	deadline := time.Now().Add(standin.RecoveryBound + standin.FinishBound + g.longTask)
	jobs := g.recorder.Record().Jobs
	for entry := range g.entries {
		for _, j := range jobs {
			g.finalAnswer(entry, j, deadline)
		}
	}
}

func (g *rig) finalAnswer(entry int, j Job, deadline time.Time) {
	caller, path := g.caller(entry), queues[j.Priority].Prefix+j.ID
	for {
		r := caller.Poll(path, g.operator.key(j.Account), callerWait)
		if isFinal(r.State) || r.Status == statusNoJob || time.Now().After(deadline) {
			g.recorder.Add(Event{Kind: KindFinal, Job: j.ID, Entry: g.entries[entry].name, Status: r.Status, State: r.State})
			return
		}
		time.Sleep(pollInterval)
	}
}

// statusNoJob is the answer about a job that does not exist.
const statusNoJob = 410

// write writes the record, the violations and the command.
func (r *Result) write(o Options) error {
	if err := r.Record.Write(filepath.Join(r.Dir, "record.jsonl")); err != nil {
		return err
	}
	lines := []string{o.Command(), r.Record.Summary()}
	for _, v := range r.Violations {
		lines = append(lines, v.String())
	}
	return os.WriteFile(filepath.Join(r.Dir, "result.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}
