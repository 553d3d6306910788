package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	// formerWork is the work of the task that keeps the worker of the former service busy, movedWork that of the jobs that move.
	formerWork = 5 * time.Second
	movedWork  = time.Second
	// silence is the time for which the store is silent, or entries are down, around a move.
	silence = 3 * time.Second
)

// submitTo submits a job whose tasks fill workers to the queue that moves.
func (l *load) submitTo(t *testing.T, tasks int, work time.Duration) Job {
	t.Helper()
	steps := []hosted.TaskStep{{Count: tasks, Gang: tasks > 1, MilliCPU: 1000, Accelerators: workerAccelerators, WorkMS: int(work.Milliseconds())}}
	j := l.addJob(accountOther, drawnPriority, steps)
	if r := l.rig.send(0, KindSubmit, j, l.rig.operator.key(accountOther)); !r.OK() {
		t.Fatalf("job %s: %+v", j.ID, r)
	}
	return j
}

// holdStore makes the store silent for all entries, or ends that.
func (g *rig) holdStore(hold bool) {
	for _, n := range g.entries {
		n.relays["store"].Hold(standin.Directions{ToTarget: hold, ToClient: hold})
	}
}

// killEntries kills entries and starts them again after a time.
func (g *rig) killEntries(entries []*node, down time.Duration) {
	for _, n := range entries {
		n.process().Kill()
	}
	time.Sleep(down)
	for _, n := range entries {
		g.restart(n)
	}
}

// besideMove are what happens beside a move of the queue, which move makes.
var besideMove = map[string]func(g *rig, move func()){
	"nothing":            func(_ *rig, move func()) { move() },
	"owner killed":       func(g *rig, move func()) { move(); g.killEntries([]*node{g.owner()}, 0) },
	"owner killed first": func(g *rig, move func()) { owner := g.owner(); owner.process().Kill(); move(); g.restart(owner) },
	"all entries killed": func(g *rig, move func()) { move(); g.killEntries(g.entries, silence) },
	"store silent":       func(g *rig, move func()) { g.holdStore(true); move(); time.Sleep(silence); g.holdStore(false) },
	"store slow": func(g *rig, move func()) {
		_, end := storeFault(hosted.StoreFaults{Delay: slowStoreDelay}, everyHost)(g, 0)
		move()
		time.Sleep(silence)
		end()
	},
	"store silent, owner killed": func(g *rig, move func()) {
		g.holdStore(true)
		move()
		g.killEntries([]*node{g.owner()}, silence)
		g.holdStore(false)
	},
}

// TestWaitingJobsFollowTheirQueueBesideFaults guards against accepted jobs that wait for a service that their queue does not name any more, and
// whose last worker leaves.
func TestWaitingJobsFollowTheirQueueBesideFaults(t *testing.T) {
	bin := buildBinaries(t)
	for name, beside := range besideMove {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playMove(t, bin, name, beside)
		})
	}
}

func playMove(t *testing.T, bin, name string, beside func(*rig, func())) {
	var running Job
	var waiting []Job
	l := layout{hosts: 8, otherWorkers: 5}
	play := func(g *rig, _ string) {
		load, former := &load{rig: g}, g.agents[0]
		running = load.submitTo(t, 1, formerWork)
		time.Sleep(time.Second)
		waiting = []Job{load.submitTo(t, 1, movedWork), load.submitTo(t, 2, movedWork), load.submitTo(t, 1, movedWork)}
		if name != "nothing" {
			g.recorder.Add(Event{Kind: KindStep, Fault: name})
		}
		beside(g, func() { g.operator.moveQueue(queues[drawnPriority].Name, otherPool) })
		former.worker.Drain(2 * formerWork)
		time.Sleep(formerWork)
		g.recorder.Add(Event{Kind: KindStep, Fault: "removed", Worker: former.name})
		former.worker.CrashSilently()
		former.process().Kill()
		for _, q := range queues {
			g.operator.moveQueue(q.Name, otherPool)
		}
	}
	checkPlayAnd(t, bin, 0, l, "go test ./test/soak -run '^TestWaitingJobsFollowTheirQueueBesideFaults$' -count=1", play, func(r *Record) {
		moved := slices.IndexFunc(r.Events, func(e Event) bool { return e.Kind == KindMove && e.Service == otherPool })
		for _, j := range waiting {
			start, on := r.firstStart(j.ID)
			if r.Services[on] != otherPool || name == "nothing" && start-r.Events[moved].At > hosted.ApplyBound {
				t.Errorf("job %s first started at %v on %q, its queue moved at %v", j.ID, start, on, r.Events[moved].At)
			}
			mustComplete(t, r, j)
		}
		if n := r.starts(running.ID); n != 1 && name == "nothing" {
			t.Errorf("the job at work when its queue moved was started %d times", n)
		}
	})
}

// starts returns how often tasks of a job were started.
func (r *Record) starts(job string) (n int) {
	for _, e := range r.Events {
		if e.Kind == KindStart && e.Job == job {
			n++
		}
	}
	return n
}

// firstStart returns when and on which worker a job was first started, "" if it was not.
func (r *Record) firstStart(job string) (time.Duration, string) {
	i := slices.IndexFunc(r.Events, func(e Event) bool { return e.Kind == KindStart && e.Job == job })
	if i < 0 {
		return 0, ""
	}
	return r.Events[i].At, r.Events[i].Worker
}

func mustComplete(t *testing.T, r *Record, j Job) {
	t.Helper()
	for _, e := range r.Events {
		if e.Kind == KindFinal && e.Job == j.ID && e.State != stateCompleted {
			t.Errorf("job %s is %q (%d) at %s", j.ID, e.State, e.Status, e.Entry)
		}
	}
}

// TestJobsOfRemovedQueuesKeepTheirLastService guards against accepted jobs that fall back to the service of their submission when their queue has moved to one
// without workers, is removed and the owner changes.
func TestJobsOfRemovedQueuesKeepTheirLastService(t *testing.T) {
	var waiting []Job
	var back time.Duration
	play := func(g *rig, _ string) {
		others := slices.DeleteFunc(slices.Clone(g.agents), func(n *node) bool { return g.serviceOf(n.number) != otherPool })
		for _, n := range others {
			n.worker.CrashSilently()
		}
		load, queue := &load{rig: g}, queues[drawnPriority].Name
		load.submitTo(t, 1, formerWork)
		time.Sleep(time.Second)
		waiting = []Job{load.submitTo(t, 1, movedWork), load.submitTo(t, 2, movedWork)}
		g.operator.moveQueue(queue, otherPool)
		time.Sleep(hosted.ApplyBound)
		g.operator.moveQueue(queue, removedQueue)
		g.recorder.Add(Event{Kind: KindStep, Fault: "kill", Worker: g.owner().name})
		g.killEntries([]*node{g.owner()}, 0)
		time.Sleep(formerWork)
		for _, n := range others {
			n.worker.Return()
		}
		time.Sleep(hosted.RecoveryBound)
		back = g.recorder.Now()
		g.operator.moveQueue(queue, otherPool) // so that callers can ask for their jobs
	}
	command := "go test ./test/soak -run '^TestJobsOfRemovedQueuesKeepTheirLastService$' -count=1"
	checkPlayAnd(t, buildBinaries(t), 0, layout{hosts: 8, otherWorkers: 5}, command, play, func(r *Record) {
		for _, j := range waiting {
			if start, on := r.firstStart(j.ID); r.Services[on] != otherPool || start > back {
				t.Errorf("job %s first started at %v on %q, its queue was removed until %v", j.ID, start, on, back)
			}
			mustComplete(t, r, j)
		}
	})
}

// TestMovesAreChecked guards against a check that passes over starts on a service that the queue does not name any more.
func TestMovesAreChecked(t *testing.T) {
	r := goodRun()
	queue := queues[r.Jobs[testJob].Priority].Name
	r.Services = map[string]string{"w0": pool, "w1": pool}
	for service, want := range map[string]string{pool: "", removedQueue: "", otherPool: "moves"} {
		r.with(Event{Kind: KindMove, At: -2 * second, Queue: queue, Service: pool}, Event{Kind: KindMove, At: -second, Queue: queue, Service: service})
		r.sort()
		var found []string
		for _, v := range Check(r) {
			found = append(found, v.Check)
		}
		if got := strings.Join(slices.Compact(found), " "); got != want {
			t.Errorf("moved to %s: violations %q, want %q", service, got, want)
		}
		r.drop(func(e Event) bool { return e.Kind == KindMove })
	}
}
