// Package fleet holds the capacity of the workers of one cell, in racks and
// zones, with indexes by free capacity. It decides nothing.
package fleet

import (
	"container/list"
	"slices"

	"github.com/google/btree"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// btreeDegree is the node size of the indexes.
const btreeDegree = 16

// Rack is a set of adjacent workers in one zone.
type Rack struct {
	// Label is the name as announced; Name has the zone before it.
	Label   string
	Name    string
	Zone    string
	Workers []*Worker
	// Generation is the generation at which the rack last gained capacity.
	Generation uint64
	// Total sums the available capacity of the rack's workers, by view.
	Total [capacityViewCount]api.Resources

	lastGain *list.Element
	indexed  bool
	indexKey api.Resources
}

// Fleet is all workers of a cell.
type Fleet struct {
	workers     map[string]*Worker
	racks       map[string]*Rack
	zones       []string
	racksOf     map[string][]*Rack
	zoneTotals  map[string]*[capacityViewCount]api.Resources
	ordered     []*Worker
	generation  uint64
	byLastGain  *list.List
	freeWorkers *btree.BTreeG[*Worker]
	freeRacks   *btree.BTreeG[*Rack]
	inService   api.Resources
	largest     api.Resources
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		workers:     map[string]*Worker{},
		racks:       map[string]*Rack{},
		racksOf:     map[string][]*Rack{},
		zoneTotals:  map[string]*[capacityViewCount]api.Resources{},
		byLastGain:  list.New(),
		freeWorkers: btree.NewG(btreeDegree, lessWorker),
		freeRacks:   btree.NewG(btreeDegree, lessRack),
	}
}

func lessWorker(a, b *Worker) bool {
	x, y := a.available[Free], b.available[Free]
	if x.Accelerators != y.Accelerators {
		return x.Accelerators < y.Accelerators
	}
	if x.MilliCPU != y.MilliCPU {
		return x.MilliCPU < y.MilliCPU
	}
	return a.Name < b.Name
}

func lessRack(a, b *Rack) bool {
	if a.indexKey.Accelerators != b.indexKey.Accelerators {
		return a.indexKey.Accelerators < b.indexKey.Accelerators
	}
	if a.indexKey.MilliCPU != b.indexKey.MilliCPU {
		return a.indexKey.MilliCPU < b.indexKey.MilliCPU
	}
	return a.Name < b.Name
}

// Generation is the generation of the last gain of capacity anywhere.
func (f *Fleet) Generation() uint64 { return f.generation }

// InServiceCapacity is the capacity of all workers in service.
func (f *Fleet) InServiceCapacity() api.Resources { return f.inService }

// LargestCapacity is the largest capacity of any worker, by dimension.
func (f *Fleet) LargestCapacity() api.Resources { return f.largest }

// Workers returns all workers in order of their first announcement.
func (f *Fleet) Workers() []*Worker { return f.ordered }

// Zones returns the names of the zones, sorted.
func (f *Fleet) Zones() []string { return f.zones }

// Racks returns the racks of a zone in order of their first announcement.
func (f *Fleet) Racks(zone string) []*Rack { return f.racksOf[zone] }

// ZoneTotal is what a view offers in a zone.
func (f *Fleet) ZoneTotal(zone string, v CapacityView) api.Resources { return f.zoneTotals[zone][v] }

// Worker returns the named worker, or nil.
func (f *Fleet) Worker(name string) *Worker { return f.workers[name] }

// Add adds a worker without capacity; the caller sets the rest by Update. A
// worker that is known already moves to the given rack if it changed.
func (f *Fleet) Add(name, zone, rack string) *Worker {
	w := f.workers[name]
	if w == nil {
		w = &Worker{Name: name, Healthy: true}
		f.workers[name] = w
		f.ordered = append(f.ordered, w)
	}
	if w.Rack != nil && w.Rack.Name == rackName(zone, rack) {
		return w
	}
	f.removeFromRack(w)
	w.Zone = zone
	w.Rack = f.ensureRack(zone, rack)
	w.Rack.Workers = append(w.Rack.Workers, w)
	return w
}

func rackName(zone, rack string) string { return zone + "/" + rack }

func (f *Fleet) ensureRack(zone, rack string) *Rack {
	name := rackName(zone, rack)
	r := f.racks[name]
	if r != nil {
		return r
	}
	r = &Rack{Label: rack, Name: name, Zone: zone}
	r.lastGain = f.byLastGain.PushBack(r)
	f.racks[name] = r
	if f.racksOf[zone] == nil {
		f.zoneTotals[zone] = new([capacityViewCount]api.Resources)
		f.zones = insertSorted(f.zones, zone)
	}
	f.racksOf[zone] = append(f.racksOf[zone], r)
	return r
}

func insertSorted(names []string, name string) []string {
	i, _ := slices.BinarySearch(names, name)
	return slices.Insert(names, i, name)
}

func (f *Fleet) removeFromRack(w *Worker) {
	if w.Rack == nil {
		return
	}
	old := w.Rack
	f.removeFromIndex(w)
	f.reindexRack(old, func() {
		f.addTotal(old, w.available, [capacityViewCount]api.Resources{})
	})
	w.available = [capacityViewCount]api.Resources{}
	old.Workers = slices.DeleteFunc(old.Workers, func(o *Worker) bool { return o == w })
}

// Remove takes a worker out of the fleet.
func (f *Fleet) Remove(w *Worker) {
	f.removeFromRack(w)
	w.Rack = nil
	delete(f.workers, w.Name)
	f.ordered = slices.DeleteFunc(f.ordered, func(o *Worker) bool { return o == w })
}

// Update applies change to a worker and brings the indexes up to date.
func (f *Fleet) Update(w *Worker, change func(*Worker)) {
	if w.Rack == nil {
		// The worker has been removed.
		change(w)
		return
	}
	f.removeFromIndex(w)
	before := w.available
	if w.InService() {
		f.inService = f.inService.Sub(w.Capacity)
	}
	change(w)
	f.largest = maxResources(f.largest, w.Capacity)
	if w.InService() {
		f.inService = f.inService.Add(w.Capacity)
	}
	for v := range capacityViewCount {
		w.available[v] = w.computeAvailable(v)
	}
	f.reindexRack(w.Rack, func() {
		f.addTotal(w.Rack, before, w.available)
	})
	if w.Schedulable() {
		f.freeWorkers.ReplaceOrInsert(w)
		w.indexed = true
	}
	if hasGained(before, w.available) {
		f.generation++
		w.Rack.Generation = f.generation
		f.byLastGain.MoveToFront(w.Rack.lastGain)
	}
}

// addTotal replaces a worker's part in the totals of its rack and zone.
func (f *Fleet) addTotal(r *Rack, before, after [capacityViewCount]api.Resources) {
	zone := f.zoneTotals[r.Zone]
	for v := range capacityViewCount {
		r.Total[v] = r.Total[v].Add(after[v]).Sub(before[v])
		zone[v] = zone[v].Add(after[v]).Sub(before[v])
	}
}

func hasGained(before, after [capacityViewCount]api.Resources) bool {
	for v := range capacityViewCount {
		if !after[v].Fits(before[v]) {
			return true
		}
	}
	return false
}

func (f *Fleet) removeFromIndex(w *Worker) {
	if w.indexed {
		f.freeWorkers.Delete(w)
		w.indexed = false
	}
}

func (f *Fleet) reindexRack(r *Rack, change func()) {
	if r.indexed {
		f.freeRacks.Delete(r)
	}
	change()
	r.indexKey = r.Total[Free]
	f.freeRacks.ReplaceOrInsert(r)
	r.indexed = true
}

// BestFit visits the open workers with at least the free accelerators and CPU
// of need, from the tightest fit on, until visit returns false.
func (f *Fleet) BestFit(need api.Resources, visit func(*Worker) bool) {
	last, ok := f.freeWorkers.Max()
	if !ok {
		return
	}
	more := true
	for a := need.Accelerators; more && a <= last.available[Free].Accelerators; a++ {
		from := &Worker{}
		from.available[Free] = api.Resources{Accelerators: a, MilliCPU: need.MilliCPU}
		to := &Worker{}
		to.available[Free] = api.Resources{Accelerators: a + 1}
		f.freeWorkers.AscendRange(from, to, func(w *Worker) bool {
			more = visit(w)
			return more
		})
	}
}

// RacksByFree visits the racks with at least the free accelerators of need,
// from the tightest on, until visit returns false.
func (f *Fleet) RacksByFree(need api.Resources, visit func(*Rack) bool) {
	from := &Rack{indexKey: api.Resources{Accelerators: need.Accelerators}}
	f.freeRacks.AscendGreaterOrEqual(from, visit)
}

// RacksGainedSince visits the racks that gained capacity after the generation.
func (f *Fleet) RacksGainedSince(gen uint64, visit func(*Rack) bool) {
	for e := f.byLastGain.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Rack)
		if r.Generation <= gen || !visit(r) {
			return
		}
	}
}
