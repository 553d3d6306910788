package sched

import (
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// baseline is the scheduler that the core is compared with: first come first
// served, first fit, no borrowing, no migration. It starts nothing in a zone that
// is out.
type baseline struct {
	workers []*baseWorker
	byName  map[string]*baseWorker
	jobs    map[string]*baseJob
	queue   []*baseJob
	config  *api.Config
	out     []Action
	// headBlocked is true if the first job found no room and no capacity became
	// free since.
	headBlocked bool
}

type baseWorker struct {
	up   WorkerUp
	free api.Resources
	down bool
}

type baseJob struct {
	rec            api.JobRecord
	pendingReports int // reports still expected: held, then done
	running        bool
}

func newBaseline() *baseline {
	return &baseline{byName: map[string]*baseWorker{}, jobs: map[string]*baseJob{}, config: &api.Config{}}
}

func (b *baseline) Step(_ time.Duration, ev Event) []Action {
	b.out = nil
	switch e := ev.(type) {
	case ConfigUpdate:
		b.config = e.Config
		b.headBlocked = false
	case WorkerUp:
		b.workerUp(e)
	case WorkerDown:
		b.workerDown(e.Worker)
	case Submit:
		j := &baseJob{rec: e.Record}
		b.jobs[e.Record.Job.ID] = j
		b.queue = append(b.queue, j)
	case GroupReport:
		b.report(e)
	case SaveResult:
		b.saved(e)
	case Tick:
		return nil
	}
	for !b.headBlocked && len(b.queue) > 0 {
		if b.headBlocked = !b.tryStart(b.queue[0]); !b.headBlocked {
			b.queue = b.queue[1:]
		}
	}
	return b.out
}

func (b *baseline) workerUp(e WorkerUp) {
	b.headBlocked = false
	w := b.byName[e.Worker]
	if w == nil {
		w = &baseWorker{}
		b.byName[e.Worker] = w
		b.workers = append(b.workers, w)
	}
	*w = baseWorker{up: e, free: e.Capacity}
}

// workerDown queues the worker's jobs again in order of submission; they run from
// the start.
func (b *baseline) workerDown(name string) {
	b.byName[name].down = true
	b.headBlocked = false
	for _, id := range sortedKeys(b.jobs) {
		j := b.jobs[id]
		if !slices.ContainsFunc(j.rec.Placements, func(p api.Placement) bool { return p.Worker == name }) {
			continue
		}
		for _, p := range j.rec.Placements {
			b.releaseCapacity(p, j)
			b.out = append(b.out, Stop{Worker: p.Worker, JobID: id, Attempt: j.rec.Attempt})
		}
		j.rec.Placements = nil
		b.queue = append(b.queue, j)
	}
	slices.SortStableFunc(b.queue, func(x, y *baseJob) int {
		return x.rec.Job.Submitted.Compare(y.rec.Job.Submitted)
	})
}

func (b *baseline) releaseCapacity(p api.Placement, j *baseJob) {
	b.headBlocked = false
	w := b.byName[p.Worker]
	w.free = w.free.Add(j.rec.Job.Gang.PerTask.Times(p.Tasks))
}

// tryStart places a gang on the first worker, rack or zone that has room.
func (b *baseline) tryStart(j *baseJob) bool {
	gang := j.rec.Job.Gang
	domain := func(w *baseWorker) string {
		switch gang.Adjacency {
		case api.AdjacentWorker:
			return w.up.Worker
		case api.AdjacentRack:
			return w.up.Zone + w.up.Rack
		}
		return w.up.Zone
	}
	room := map[string]int{}
	for _, w := range b.workers {
		name := domain(w)
		room[name] += b.tasksThatFit(w, gang.PerTask)
		if room[name] < gang.Tasks {
			continue
		}
		b.place(j, func(o *baseWorker) bool { return domain(o) == name })
		return true
	}
	return false
}

func (b *baseline) tasksThatFit(w *baseWorker, perTask api.Resources) int {
	if w.down || b.config.ZoneOut(w.up.Zone) {
		return 0
	}
	n := 0
	for perTask.Times(n + 1).Fits(w.free) {
		n++
	}
	return n
}

func (b *baseline) place(j *baseJob, in func(*baseWorker) bool) {
	gang := j.rec.Job.Gang
	j.rec.Attempt++
	j.running = false
	first := 0
	for _, w := range b.workers {
		n := 0
		if in(w) {
			n = min(gang.Tasks-first, b.tasksThatFit(w, gang.PerTask))
		}
		if n == 0 {
			continue
		}
		w.free = w.free.Sub(gang.PerTask.Times(n))
		j.rec.Placements = append(j.rec.Placements, api.Placement{Worker: w.up.Worker, Zone: w.up.Zone, FirstTask: first, Tasks: n})
		b.out = append(b.out, Hold{Worker: w.up.Worker, JobID: j.rec.Job.ID, Attempt: j.rec.Attempt, Tasks: n, PerTask: gang.PerTask})
		first += n
	}
	j.pendingReports = len(j.rec.Placements)
}

func (b *baseline) report(r GroupReport) {
	j := b.jobs[r.JobID]
	if j == nil || r.Attempt != j.rec.Attempt || len(j.rec.Placements) == 0 {
		return
	}
	switch r.State {
	case GroupHeld:
		j.pendingReports--
		if j.pendingReports == 0 {
			j.rec.State = api.JobRunning
			b.out = append(b.out, Save{j.rec})
		}
	case GroupDone:
		j.pendingReports--
		if j.pendingReports == 0 && j.running {
			b.finish(j)
		}
	}
}

func (b *baseline) finish(j *baseJob) {
	for _, p := range j.rec.Placements {
		b.releaseCapacity(p, j)
	}
	delete(b.jobs, j.rec.Job.ID)
	j.rec.State = api.JobFinal
	j.rec.Outcome = api.OutcomeDone
	b.out = append(b.out, Save{j.rec})
}

func (b *baseline) saved(e SaveResult) {
	j := b.jobs[e.JobID]
	if j == nil || e.State != api.JobRunning || e.Attempt != j.rec.Attempt || len(j.rec.Placements) == 0 {
		return
	}
	j.running = true
	j.pendingReports = len(j.rec.Placements)
	for _, p := range j.rec.Placements {
		b.out = append(b.out, Start{Worker: p.Worker, JobID: e.JobID, Attempt: e.Attempt, FirstTask: p.FirstTask})
	}
}
