package fleet

import "github.com/coltsfootlug/coltsfootlug/internal/api"

// View selects which part of a worker's capacity a request may use.
type View int

// The views.
const (
	// Free is capacity that nothing uses, also inside reservations.
	Free View = iota
	// Firm is free capacity outside of reservations.
	Firm
	// Evictable is capacity outside of reservations that is free or used by
	// preemptible work.
	Evictable
	// Movable is capacity outside of reservations that is free or used by work
	// that may be stopped and run again elsewhere.
	Movable
	// Whole is the capacity of the empty worker, whether it is in service or not.
	Whole
	viewCount
)

// Worker is the capacity of one worker. Its fields are changed through Fleet.Update.
type Worker struct {
	Name     string
	Zone     string
	Rack     *Rack
	Capacity api.Resources
	// Used is taken by groups, whether held, running or not yet confirmed as ended.
	Used api.Resources
	// Firm is the part of Used by work that must not be preempted and that
	// runs outside of reservations.
	Firm api.Resources
	// Fixed is the part of Firm that must not be stopped at all.
	Fixed api.Resources
	// Reserved belongs to guarantees and to reservations of waiting gangs.
	Reserved api.Resources
	// Earmarked is free, or about to be, and waits for a chosen gang.
	Earmarked api.Resources

	Linked      bool
	Healthy     bool
	Leaving     bool
	Quarantined bool
	// Probation admits one group of idempotent work, as a probe.
	Probation bool
	// Paused keeps a worker that refused a hold, or did not answer one, from
	// being chosen again at once.
	Paused bool
	// ZoneOut says that operators have taken the worker's zone out.
	ZoneOut bool
	// Stepping says that the worker's zone returns by steps and that the
	// worker is not yet open for work outside of guarantees.
	Stepping bool

	avail   [viewCount]api.Resources
	indexed bool
}

// InService reports whether the worker may run work at all.
func (w *Worker) InService() bool {
	return w.Linked && w.Healthy && !w.Leaving && !w.Quarantined && !w.ZoneOut
}

// Open reports whether the worker may be given work outside of guarantees.
func (w *Worker) Open() bool {
	if !w.InService() || w.Stepping || w.Paused {
		return false
	}
	return !w.Probation || w.Used == (api.Resources{})
}

// Avail returns what a view offers on the worker.
func (w *Worker) Avail(v View) api.Resources { return w.avail[v] }

// FreeNow is the capacity that no group uses.
func (w *Worker) FreeNow() api.Resources { return w.Capacity.Sub(w.Used) }

func (w *Worker) available(v View) api.Resources {
	switch v {
	case Whole:
		return w.Capacity
	case Evictable, Movable:
		return w.reclaimable(v)
	}
	if !w.Open() {
		return api.Resources{}
	}
	free := positive(w.FreeNow().Sub(w.Earmarked))
	if v == Free {
		return free
	}
	return Least(free, positive(w.Capacity.Sub(w.Reserved).Sub(w.Firm)))
}

func (w *Worker) reclaimable(v View) api.Resources {
	if !w.InService() || w.Probation {
		return api.Resources{}
	}
	kept := w.Firm
	if v == Movable {
		kept = w.Fixed
	}
	return positive(w.Capacity.Sub(w.Reserved).Sub(kept))
}

func positive(r api.Resources) api.Resources {
	return api.Resources{
		Accelerators: max(r.Accelerators, 0),
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMB:     max(r.MemoryMB, 0),
	}
}

func most(a, b api.Resources) api.Resources {
	return api.Resources{
		Accelerators: max(a.Accelerators, b.Accelerators),
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
	}
}

// Least is the smaller of two amounts in each dimension.
func Least(a, b api.Resources) api.Resources {
	return api.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}
