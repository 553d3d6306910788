package plan

import (
	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

// Dump is the state of a core as written to the state dump.
type Dump struct {
	Jobs    []JobDump    `json:"jobs"`
	Workers []WorkerDump `json:"workers"`
}

// JobDump describes a job that is not final. Waiting, Placed and Done count its
// units.
type JobDump struct {
	ID      graph.JobID `json:"id"`
	Queue   string      `json:"queue"`
	Pool    string      `json:"pool"` // the service whose workers run it from now on
	State   graph.State `json:"state"`
	Waiting int         `json:"waiting"` // units without a placement
	Placed  int         `json:"placed"`
	Done    int         `json:"done"`
}

// WorkerDump describes a worker.
type WorkerDump struct {
	ID          string          `json:"id"`
	Rack        string          `json:"rack"`
	Zone        string          `json:"zone"`
	Linked      bool            `json:"linked"`
	Lost        bool            `json:"lost"`
	Draining    bool            `json:"draining"`
	Capacity    graph.Resources `json:"capacity"`
	Used        graph.Resources `json:"used"`
	Runs        int             `json:"runs"`
	Quarantined bool            `json:"quarantined"`
	Slow        bool            `json:"slow"`
	Slowness    float64         `json:"slowness"` // expected; 1 while worker-speeds is off
	Headroom    bool            `json:"headroom"` // kept open for claims
}

func (c *Core) Dump() Dump {
	var d Dump
	for _, j := range c.activeJobs {
		jd := JobDump{ID: j.ID, Queue: j.Queue, Pool: j.Pool, State: j.visibleState()}
		for _, u := range j.units {
			switch u.phase {
			case unitWaiting:
				jd.Waiting++
			case unitPlaced:
				jd.Placed++
			case unitDone:
				jd.Done++
			}
		}
		d.Jobs = append(d.Jobs, jd)
	}
	for _, w := range c.sortedWorkers {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.info.ID, Rack: w.info.Rack, Zone: w.info.Zone, Linked: w.connected(), Lost: w.lost,
			Draining: w.info.Draining, Capacity: w.info.Capacity, Used: w.used, Runs: len(w.members),
			Quarantined: w.failures.Quarantined(c.now), Slowness: c.slowness(w), Slow: c.countsAsSlow(w),
			Headroom: c.headroom.marked[w],
		})
	}
	return d
}
