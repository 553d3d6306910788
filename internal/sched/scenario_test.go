package sched

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// TestScenarios runs the scripts in testdata/scenarios. The output of each command
// is what the core decided since the previous one, with the virtual time.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{rig: newRig(), answered: map[string]bool{}}
		s.fail = t.Fatalf
		s.config = &api.Config{Version: 1, Profiles: map[string]api.Profile{}, Zones: map[string]api.AvailabilityZone{}}
		s.onEvent = func(at time.Duration, ev Event, acts []Action) { s.record(acts) }
		s.takeOwnership(0)
		datadriven.RunTest(t, path, s.command)
	})
}

type scenario struct {
	*rig
	core *Core
	log  []string
	// answered holds the jobs whose answer is in the log.
	answered map[string]bool
}

func (s *scenario) takeOwnership(startAfter time.Duration) {
	s.core = New(Config{TermStart: time.Unix(0, 0).Add(s.now)})
	s.takeOver(s.core, startAfter)
	s.startTicks()
}

func (s *scenario) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%9v  ", s.now.Truncate(10*time.Millisecond))+fmt.Sprintf(format, args...))
}

// record logs one line per job for the actions of a step.
func (s *scenario) record(acts []Action) {
	for i := 0; i < len(acts); i++ {
		switch a := acts[i].(type) {
		case Start:
			s.logf("start %s on %s%s", a.JobID, s.places(a.JobID), formatResume(a.Checkpoint))
			for i+1 < len(acts) && isStartOf(acts[i+1], a.JobID) {
				i++
			}
		case Stop:
			if a.Reason != "answered" {
				s.logf("stop %s on %s, grace %v: %s", a.JobID, a.Worker, a.Grace, a.Reason)
			}
		case Save:
			if a.Record.State == api.JobFinal && !s.answered[a.Record.Job.ID] {
				s.answered[a.Record.Job.ID] = true
				s.logf("answer %s: %s %s", a.Record.Job.ID, a.Record.Outcome, a.Record.Detail)
			}
		case Notice:
			s.logf("%s", strings.Join(strings.Fields(fmt.Sprintf("%s: %s %s %s", a.Reason, a.JobID, a.Worker, a.Detail)), " "))
		}
	}
}

func isStartOf(a Action, id string) bool {
	s, ok := a.(Start)
	return ok && s.JobID == id
}

func formatResume(checkpoint string) string {
	if checkpoint == "" {
		return ""
	}
	return " from " + checkpointProgress(checkpoint).Truncate(time.Second).String()
}

func (s *scenario) places(id string) string {
	var out []string
	for _, p := range s.rows[id].Placements {
		out = append(out, fmt.Sprintf("%s:%d", p.Worker, p.Tasks))
	}
	return strings.Join(out, " ")
}

func (s *scenario) command(t *testing.T, d *datadriven.TestData) string {
	s.log = nil
	switch d.Cmd {
	case "fleet":
		s.fleetCommand(t, d)
	case "profile":
		return s.profileCommand(t, d)
	case "submit":
		s.submitCommand(t, d)
	case "cancel":
		var id string
		d.ScanArgs(t, "id", &id)
		s.step(Cancel{id})
	case "zone":
		s.setZone(d.CmdArgs[0].Key, api.ZoneState(d.CmdArgs[1].Key))
	case "worker":
		s.workerCommand(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
	case "store":
		s.storeDown = d.CmdArgs[0].Key != "up"
		s.step(OwnerStatus{Owner: true, Epoch: uint64(s.term), StoreDown: d.CmdArgs[0].Key == "down"})
	case "drain":
		s.step(Drain{})
	case "takeover":
		s.takeOwnership(HoldLease + DefaultLeaseMargin)
	case "advance":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.runUntil(s.now + by)
	case "jobs":
		return s.jobs()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return strings.Join(s.log, "\n")
}

func scanInt(t *testing.T, d *datadriven.TestData, key string, other int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &other)
	}
	return other
}

func scanString(t *testing.T, d *datadriven.TestData, key, other string) string {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &other)
	}
	return other
}

// fleetCommand adds workers: zones=2 racks=1 workers=3 accelerators=8.
func (s *scenario) fleetCommand(t *testing.T, d *datadriven.TestData) {
	capacity := api.Resources{Accelerators: scanInt(t, d, "accelerators", 8), MilliCPU: 64000, MemoryMB: 256000}
	for z := range scanInt(t, d, "zones", 1) {
		for r := range scanInt(t, d, "racks", 1) {
			for w := range scanInt(t, d, "workers", 1) {
				name := fmt.Sprintf("z%d-r%d-w%d", z+1, r+1, w+1)
				s.addAgent(name, fmt.Sprintf("z%d", z+1), fmt.Sprintf("r%d", r+1), capacity).connect()
			}
		}
	}
}

// profileCommand edits a profile unless its guarantee is not feasible.
func (s *scenario) profileCommand(t *testing.T, d *datadriven.TestData) string {
	p := api.Profile{
		Name: scanString(t, d, "name", ""), ClientAccount: scanString(t, d, "account", "any"),
		Preemptible: d.HasArg("preemptible"), Urgent: d.HasArg("urgent"),
		Weight: scanInt(t, d, "weight", 1), QuotaAccelerators: scanInt(t, d, "quota", 0),
	}
	if gangs := scanInt(t, d, "gangs", 0); gangs > 0 {
		p.Guarantee = &api.Guarantee{Gangs: gangs, Shape: scanShape(t, d)}
	}
	next := s.config.Clone()
	next.Profiles[p.Name] = p
	refused := false
	for _, f := range s.core.CheckFeasibility(next) {
		s.log = append(s.log, string(f.Severity)+": "+f.Detail)
		refused = refused || f.Severity == "error"
	}
	if !refused {
		s.configure(func(c *api.Config) { c.Profiles[p.Name] = p })
	}
	return strings.Join(s.log, "\n")
}

func scanShape(t *testing.T, d *datadriven.TestData) api.Shape {
	return api.Shape{
		Tasks:     scanInt(t, d, "tasks", 1),
		PerTask:   api.Resources{Accelerators: scanInt(t, d, "accelerators", 1), MilliCPU: 1000, MemoryMB: scanInt(t, d, "memory", 1000)},
		Adjacency: api.Adjacency(scanString(t, d, "adjacency", "worker")),
	}
}

// submitCommand submits count jobs. run is the true run time, declared the declared
// one.
func (s *scenario) submitCommand(t *testing.T, d *datadriven.TestData) {
	id, run := scanString(t, d, "id", ""), scanString(t, d, "run", "1h")
	length, err := time.ParseDuration(run)
	if err != nil {
		t.Fatal(err)
	}
	declared, _ := time.ParseDuration(scanString(t, d, "declared", run))
	count := scanInt(t, d, "count", 1)
	for i := range count {
		job := api.Job{
			ID: id, Profile: scanString(t, d, "profile", ""), Gang: scanShape(t, d), Idempotent: !d.HasArg("non-idempotent"),
			Checkpointable: d.HasArg("checkpointable"), DeclaredRun: api.Duration(declared), Submitted: time.Unix(0, 0).Add(s.now),
		}
		if count > 1 {
			job.ID = fmt.Sprintf("%s-%d", id, i+1)
		}
		if deadline, err := time.ParseDuration(scanString(t, d, "deadline", "")); err == nil {
			job.Deadline = job.Submitted.Add(deadline)
		}
		s.runTimes[job.ID] = length
		s.failingJobs[job.ID] = d.HasArg("bad")
		s.memoryPerTask[job.ID] = scanInt(t, d, "uses", 0)
		if why, never := s.core.NeverFits(job); never {
			s.logf("refused %s: %s", job.ID, why)
			continue
		}
		s.submit(job)
	}
}

func (s *scenario) workerCommand(name, what string) {
	g := s.agents[name]
	switch what {
	case "down":
		g.disconnect()
	case "up":
		g.connect()
	case "crash":
		g.crash()
	case "faulty", "good":
		g.faulty = what == "faulty"
	case "deaf", "hearing":
		g.dropsMessages = what == "deaf"
	case "leaving":
		s.step(WorkerStatus{Worker: name, Healthy: true, Leaving: true})
	case "old-lease":
		s.step(GroupReport{Worker: name, JobID: "gone", Attempt: 1, State: GroupRunning, Result: json.RawMessage(nil)})
	}
}

// jobs prints the jobs that have not been answered yet.
func (s *scenario) jobs() string {
	var out []string
	for _, id := range sortedKeys(s.core.jobs) {
		j := s.core.jobs[id]
		line := fmt.Sprintf("%s %s", id, j.phase)
		for _, p := range placements(j) {
			line += fmt.Sprintf(" %s:%d", p.Worker, p.Tasks)
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}
