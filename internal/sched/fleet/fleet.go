// Package fleet tracks the capacity of the workers of one cell, in racks and
// zones, with indexes by free capacity. It makes no decisions.
package fleet

import (
	"container/list"
	"slices"

	"github.com/google/btree"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// btreeDegree is the degree of the index B-trees.
const btreeDegree = 16

// Rack is a set of adjacent workers in one zone.
type Rack struct {
	// Label is the name as announced; Name is prefixed with the zone.
	Label   string
	Name    string
	Zone    string
	Workers []*Worker
	// Generation is the fleet's generation when the rack last gained capacity.
	Generation uint64
	// Total is the sum of what each view offers on the rack's workers.
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

// Generation returns the number of updates so far in which a worker gained
// capacity.
func (f *Fleet) Generation() uint64 { return f.generation }

// InServiceCapacity returns the total capacity of the workers in service.
func (f *Fleet) InServiceCapacity() api.Resources { return f.inService }

// LargestCapacity returns the largest worker capacity seen, per dimension.
func (f *Fleet) LargestCapacity() api.Resources { return f.largest }

// Workers returns all workers in order of their first announcement.
func (f *Fleet) Workers() []*Worker { return f.ordered }

// Zones returns the names of the zones, sorted.
func (f *Fleet) Zones() []string { return f.zones }

// Racks returns the racks of a zone in order of their first announcement.
func (f *Fleet) Racks(zone string) []*Rack { return f.racksOf[zone] }

// ZoneTotal returns what a view offers in a zone.
func (f *Fleet) ZoneTotal(zone string, v CapacityView) api.Resources { return f.zoneTotals[zone][v] }

// Worker returns the named worker, or nil.
func (f *Fleet) Worker(name string) *Worker { return f.workers[name] }

// Add adds a worker without capacity; the caller sets its other fields with
// Update. A known worker moves to the given rack if that changed.
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

// Remove removes a worker from the fleet.
func (f *Fleet) Remove(w *Worker) {
	f.removeFromRack(w)
	w.Rack = nil
	delete(f.workers, w.Name)
	f.ordered = slices.DeleteFunc(f.ordered, func(o *Worker) bool { return o == w })
}

// Update applies a change to a worker and updates the indexes.
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

// addTotal replaces a worker's contribution to the totals of its rack and zone.
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

// BestFit visits the schedulable workers with at least the free accelerators and
// CPU of need, tightest fit first, until visit returns false.
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
// tightest fit first, until visit returns false.
func (f *Fleet) RacksByFree(need api.Resources, visit func(*Rack) bool) {
	from := &Rack{indexKey: api.Resources{Accelerators: need.Accelerators}}
	f.freeRacks.AscendGreaterOrEqual(from, visit)
}

// RacksGainedSince visits the racks that gained capacity after the given
// generation, until visit returns false.
func (f *Fleet) RacksGainedSince(gen uint64, visit func(*Rack) bool) {
	for e := f.byLastGain.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Rack)
		if r.Generation <= gen || !visit(r) {
			return
		}
	}
}
