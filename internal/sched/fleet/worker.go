package fleet

import "github.com/coltsfootlug/coltsfootlug/internal/api"

// CapacityView selects the part of a worker's capacity that a request may use.
type CapacityView int

// The views.
const (
	// Free is unused capacity, including capacity inside reservations.
	Free CapacityView = iota
	// Unreserved is free capacity outside of reservations.
	Unreserved
	// Preemptible is capacity outside of reservations that is free or used by
	// preemptible work.
	Preemptible
	// Restartable is capacity outside of reservations that is free or used by
	// work that may be stopped and run again elsewhere.
	Restartable
	// FullCapacity is the capacity of the worker when empty, whether or not it is
	// in service.
	FullCapacity
	capacityViewCount
)

// Worker is the capacity and condition of one worker. Its fields are changed
// through Fleet.Update.
type Worker struct {
	Name     string
	Zone     string
	Rack     *Rack
	Capacity api.Resources
	// Used is allocated to groups that are held, running or not yet confirmed as
	// ended.
	Used api.Resources
	// NonPreemptible is the part of Used and Claimed that belongs to work outside
	// of reservations that must not be preempted, except to place a guarantee.
	NonPreemptible api.Resources
	// NonRestartable is the part of NonPreemptible that must not be stopped at all.
	NonRestartable api.Resources
	// Reserved belongs to guarantees and to reservations of waiting gangs.
	Reserved api.Resources
	// Claimed is free, or becoming free, and allocated to gangs that wait for it.
	Claimed api.Resources

	Linked      bool
	Healthy     bool
	Leaving     bool
	Quarantined bool
	// Probation limits the worker to one group of idempotent work, as a probe.
	Probation bool
	// Paused keeps a worker that refused a hold, or did not answer one, from
	// being used again at once.
	Paused bool
	// ZoneOut is set while operators have taken the worker's zone out.
	ZoneOut bool
	// AwaitingReopen is set while the worker's zone reopens in steps and the
	// worker is not yet open to work outside of guarantees.
	AwaitingReopen bool

	available [capacityViewCount]api.Resources
	indexed   bool
}

// InService reports whether the worker may run any work.
func (w *Worker) InService() bool {
	return w.Linked && w.Healthy && !w.Leaving && !w.Quarantined && !w.ZoneOut
}

// Schedulable reports whether the worker may be given work outside of guarantees.
func (w *Worker) Schedulable() bool {
	if !w.InService() || w.AwaitingReopen || w.Paused {
		return false
	}
	return !w.Probation || w.Used == (api.Resources{})
}

// Available returns what a view offers on the worker.
func (w *Worker) Available(v CapacityView) api.Resources { return w.available[v] }

// Unused returns the capacity that no group uses.
func (w *Worker) Unused() api.Resources { return w.Capacity.Sub(w.Used) }

func (w *Worker) computeAvailable(v CapacityView) api.Resources {
	switch v {
	case FullCapacity:
		return w.Capacity
	case Preemptible, Restartable:
		return w.computeReclaimable(v)
	}
	if !w.Schedulable() {
		return api.Resources{}
	}
	free := clampNegative(w.Unused().Sub(w.Claimed))
	if v == Free {
		return free
	}
	return MinResources(free, clampNegative(w.Capacity.Sub(w.Reserved).Sub(w.NonPreemptible)))
}

func (w *Worker) computeReclaimable(v CapacityView) api.Resources {
	if !w.InService() || w.Probation {
		return api.Resources{}
	}
	kept := w.NonPreemptible
	if v == Restartable {
		kept = w.NonRestartable
	}
	return clampNegative(w.Capacity.Sub(w.Reserved).Sub(kept))
}

func clampNegative(r api.Resources) api.Resources {
	return api.Resources{
		Accelerators: max(r.Accelerators, 0),
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMB:     max(r.MemoryMB, 0),
	}
}

func maxResources(a, b api.Resources) api.Resources {
	return api.Resources{
		Accelerators: max(a.Accelerators, b.Accelerators),
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
	}
}

// MinResources returns the smaller of two amounts in each dimension.
func MinResources(a, b api.Resources) api.Resources {
	return api.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}
