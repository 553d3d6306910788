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
	Total [viewCount]api.Resources

	recent  *list.Element
	indexed bool
	key     api.Resources
}

// Fleet is all workers of a cell.
type Fleet struct {
	workers map[string]*Worker
	racks   map[string]*Rack
	zones   []string
	zoneOf  map[string][]*Rack
	totals  map[string]*[viewCount]api.Resources
	ordered []*Worker
	gen     uint64
	recent  *list.List
	byFree  *btree.BTreeG[*Worker]
	byRack  *btree.BTreeG[*Rack]
	service api.Resources
	largest api.Resources
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		workers: map[string]*Worker{},
		racks:   map[string]*Rack{},
		zoneOf:  map[string][]*Rack{},
		totals:  map[string]*[viewCount]api.Resources{},
		recent:  list.New(),
		byFree:  btree.NewG(btreeDegree, lessWorker),
		byRack:  btree.NewG(btreeDegree, lessRack),
	}
}

func lessWorker(a, b *Worker) bool {
	x, y := a.avail[Free], b.avail[Free]
	if x.Accelerators != y.Accelerators {
		return x.Accelerators < y.Accelerators
	}
	if x.MilliCPU != y.MilliCPU {
		return x.MilliCPU < y.MilliCPU
	}
	return a.Name < b.Name
}

func lessRack(a, b *Rack) bool {
	if a.key.Accelerators != b.key.Accelerators {
		return a.key.Accelerators < b.key.Accelerators
	}
	if a.key.MilliCPU != b.key.MilliCPU {
		return a.key.MilliCPU < b.key.MilliCPU
	}
	return a.Name < b.Name
}

// Generation is the generation of the last gain of capacity anywhere.
func (f *Fleet) Generation() uint64 { return f.gen }

// InServiceCapacity is the capacity of all workers in service.
func (f *Fleet) InServiceCapacity() api.Resources { return f.service }

// LargestCapacity is the largest capacity of any worker, by dimension.
func (f *Fleet) LargestCapacity() api.Resources { return f.largest }

// Workers returns all workers in order of their first announcement.
func (f *Fleet) Workers() []*Worker { return f.ordered }

// Zones returns the names of the zones, sorted.
func (f *Fleet) Zones() []string { return f.zones }

// Racks returns the racks of a zone in order of their first announcement.
func (f *Fleet) Racks(zone string) []*Rack { return f.zoneOf[zone] }

// ZoneTotal is what a view offers in a zone.
func (f *Fleet) ZoneTotal(zone string, v CapacityView) api.Resources { return f.totals[zone][v] }

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
	f.detach(w)
	w.Zone = zone
	w.Rack = f.rack(zone, rack)
	w.Rack.Workers = append(w.Rack.Workers, w)
	return w
}

func rackName(zone, rack string) string { return zone + "/" + rack }

func (f *Fleet) rack(zone, rack string) *Rack {
	name := rackName(zone, rack)
	r := f.racks[name]
	if r != nil {
		return r
	}
	r = &Rack{Label: rack, Name: name, Zone: zone}
	r.recent = f.recent.PushBack(r)
	f.racks[name] = r
	if f.zoneOf[zone] == nil {
		f.totals[zone] = new([viewCount]api.Resources)
		f.zones = insertSorted(f.zones, zone)
	}
	f.zoneOf[zone] = append(f.zoneOf[zone], r)
	return r
}

func insertSorted(names []string, name string) []string {
	i, _ := slices.BinarySearch(names, name)
	return slices.Insert(names, i, name)
}

func (f *Fleet) detach(w *Worker) {
	if w.Rack == nil {
		return
	}
	old := w.Rack
	f.unindex(w)
	f.reindexRack(old, func() {
		f.addTotal(old, w.avail, [viewCount]api.Resources{})
	})
	w.avail = [viewCount]api.Resources{}
	old.Workers = slices.DeleteFunc(old.Workers, func(o *Worker) bool { return o == w })
}

// Remove takes a worker out of the fleet.
func (f *Fleet) Remove(w *Worker) {
	f.detach(w)
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
	f.unindex(w)
	before := w.avail
	if w.InService() {
		f.service = f.service.Sub(w.Capacity)
	}
	change(w)
	f.largest = most(f.largest, w.Capacity)
	if w.InService() {
		f.service = f.service.Add(w.Capacity)
	}
	for v := range viewCount {
		w.avail[v] = w.computeAvailable(v)
	}
	f.reindexRack(w.Rack, func() {
		f.addTotal(w.Rack, before, w.avail)
	})
	if w.Schedulable() {
		f.byFree.ReplaceOrInsert(w)
		w.indexed = true
	}
	if gained(before, w.avail) {
		f.gen++
		w.Rack.Generation = f.gen
		f.recent.MoveToFront(w.Rack.recent)
	}
}

// addTotal replaces a worker's part in the totals of its rack and zone.
func (f *Fleet) addTotal(r *Rack, before, after [viewCount]api.Resources) {
	zone := f.totals[r.Zone]
	for v := range viewCount {
		r.Total[v] = r.Total[v].Add(after[v]).Sub(before[v])
		zone[v] = zone[v].Add(after[v]).Sub(before[v])
	}
}

func gained(before, after [viewCount]api.Resources) bool {
	for v := range viewCount {
		if !after[v].Fits(before[v]) {
			return true
		}
	}
	return false
}

func (f *Fleet) unindex(w *Worker) {
	if w.indexed {
		f.byFree.Delete(w)
		w.indexed = false
	}
}

func (f *Fleet) reindexRack(r *Rack, change func()) {
	if r.indexed {
		f.byRack.Delete(r)
	}
	change()
	r.key = r.Total[Free]
	f.byRack.ReplaceOrInsert(r)
	r.indexed = true
}

// BestFit visits the open workers with at least the free accelerators and CPU
// of need, from the tightest fit on, until visit returns false.
func (f *Fleet) BestFit(need api.Resources, visit func(*Worker) bool) {
	last, ok := f.byFree.Max()
	if !ok {
		return
	}
	more := true
	for a := need.Accelerators; more && a <= last.avail[Free].Accelerators; a++ {
		from := &Worker{}
		from.avail[Free] = api.Resources{Accelerators: a, MilliCPU: need.MilliCPU}
		to := &Worker{}
		to.avail[Free] = api.Resources{Accelerators: a + 1}
		f.byFree.AscendRange(from, to, func(w *Worker) bool {
			more = visit(w)
			return more
		})
	}
}

// RacksByFree visits the racks with at least the free accelerators of need,
// from the tightest on, until visit returns false.
func (f *Fleet) RacksByFree(need api.Resources, visit func(*Rack) bool) {
	from := &Rack{key: api.Resources{Accelerators: need.Accelerators}}
	f.byRack.AscendGreaterOrEqual(from, visit)
}

// RacksGainedSince visits the racks that gained capacity after the generation.
func (f *Fleet) RacksGainedSince(gen uint64, visit func(*Rack) bool) {
	for e := f.recent.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Rack)
		if r.Generation <= gen || !visit(r) {
			return
		}
	}
}
