package outlook

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
)

const (
	// horizon is the longest delay that is computed.
	horizon = 10 * time.Minute
	// resolution is the step of the search for a start. The result is rounded down.
	resolution = 50 * time.Millisecond
	// MinDelay is the least delay that is worth a row: no job becomes worthless within
	// a shorter wait.
	MinDelay = 500 * time.Millisecond
)

// Forecast holds what the bounds are computed from. Times are relative to the building
// of the outlook.
type Forecast struct {
	Workers []Worker
	Waiting []Waiting
	// Kinds are those for which bounds are computed.
	Kinds []Kind
}

// Worker is a worker that may get work, now or from AvailableFrom.
type Worker struct {
	Pool          string
	Capacity      graph.Resources
	AvailableFrom time.Duration // end of a drain; 0 if it is not draining
	Runs          []Run
}

// Run is a run in progress.
type Run struct {
	Needs    graph.Resources
	Priority int
	// EarliestEnd is a lower bound of the end of the run, unless it is stopped.
	EarliestEnd time.Duration
}

// Waiting is a set of identical tasks that are ready to start and fit wherever a task
// with at least the same needs and expected run time fits.
type Waiting struct {
	Pool     string
	Priority int
	Needs    graph.Resources
	Count    int
	// RunTime is the expected run time of one task, and LeastRunTime a lower bound of
	// the actual one.
	RunTime, LeastRunTime time.Duration
	// Due is the time until which the job should be completed, which orders the jobs
	// of one priority.
	Due time.Duration
	// AheadUntil is the time until which the job certainly stays ahead of later jobs of
	// its own priority, AheadOfLowerUntil that for lower priorities.
	AheadUntil, AheadOfLowerUntil time.Duration
	// Guaranteed is set for jobs within a guarantee, which always come first.
	Guaranteed bool
}

// aheadUntil returns the time until which the tasks are placed before those of a kind,
// 0 if they need not be.
func (w *Waiting) aheadUntil(k *Kind) time.Duration {
	switch {
	case w.Pool != k.Pool || !w.Needs.Fits(k.Needs) || w.RunTime > k.RunTime:
		return 0
	case w.Guaranteed:
		return horizon
	case w.Priority < k.Priority:
		return w.AheadOfLowerUntil
	case w.Priority == k.Priority && w.Due <= k.Objective:
		return w.AheadUntil
	default:
		return 0
	}
}

// EarliestStarts returns the bounds of all kinds that have one of at least MinDelay
// and that no other row implies, at most MaxStarts of them, in the order of the kinds.
func (f *Forecast) EarliestStarts() []Start {
	var out []Start
	b := newBounds(f)
	kinds := slices.Clone(f.Kinds)
	slices.SortFunc(kinds, Kind.compare)
	for _, k := range slices.Compact(kinds) {
		s := Start{Kind: k, Delay: b.earliestStart(&k)}
		implied := slices.ContainsFunc(out, func(o Start) bool { return o.covers(&k) && o.Delay >= s.Delay })
		if s.Delay >= MinDelay && !implied {
			out = append(out, s)
		}
	}
	return longestDelays(out, MaxStarts)
}

// longestDelays returns the n rows with the longest delays, in their order. A bound
// that is left out refuses nothing.
func longestDelays(rows []Start, n int) []Start {
	if len(rows) <= n {
		return rows
	}
	byDelay := slices.Clone(rows)
	slices.SortStableFunc(byDelay, func(a, b Start) int { return cmp.Compare(b.Delay, a.Delay) })
	byDelay = byDelay[:n]
	slices.SortFunc(byDelay, func(a, b Start) int { return a.compare(b.Kind) })
	return byDelay
}

// EarliestStart returns a lower bound of the time at which a task of a kind can start.
// Runs of lower priorities don't count, as the task may preempt them. The work ahead is
// assumed to be packed perfectly: it is spread over all workers like a fluid.
func (f *Forecast) EarliestStart(k Kind) time.Duration { return newBounds(f).earliestStart(&k) }

// amounts select the kinds of resources.
var amounts = [...]func(graph.Resources) int{
	func(r graph.Resources) int { return r.Accelerators },
	func(r graph.Resources) int { return r.MilliCPU },
	func(r graph.Resources) int { return r.MemoryMB },
}

// bounds computes the bounds of several kinds and keeps what they share.
type bounds struct {
	forecast *Forecast
	runs     [][]Run // of each worker, the last to end first
	supplies map[supplyKey]*supply
}

type supplyKey struct {
	pool     string
	priority int
	amount   int // index in amounts
}

func newBounds(f *Forecast) *bounds {
	b := &bounds{forecast: f, supplies: map[supplyKey]*supply{}}
	for i := range f.Workers {
		runs := slices.Clone(f.Workers[i].Runs)
		slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(b.EarliestEnd, a.EarliestEnd) })
		b.runs = append(b.runs, runs)
	}
	return b
}

func (b *bounds) earliestStart(k *Kind) time.Duration {
	start := b.firstRoom(k)
	ahead := b.ahead(k)
	for i := range amounts {
		if start < horizon && len(ahead) > 0 {
			start = max(start, b.demandOf(k, ahead, i).earliestStart(start))
		}
	}
	return min(start, horizon) / resolution * resolution
}

// firstRoom returns the earliest time at which some worker has room for a task of a
// kind, horizon if there is none.
func (b *bounds) firstRoom(k *Kind) time.Duration {
	first := horizon
	for i := range b.forecast.Workers {
		if w := &b.forecast.Workers[i]; w.Pool == k.Pool && k.Needs.Fits(w.Capacity) {
			first = min(first, w.roomFor(k, b.runs[i]))
		}
	}
	return first
}

// roomFor returns the earliest time at which the worker has room for a task of a kind.
// The runs are its own, the last to end first.
func (w *Worker) roomFor(k *Kind, runs []Run) time.Duration {
	free := w.Capacity
	for _, r := range runs {
		if r.Priority > k.Priority {
			continue
		}
		free = free.Sub(r.Needs)
		if !k.Needs.Fits(free) {
			return max(w.AvailableFrom, r.EarliestEnd)
		}
	}
	return w.AvailableFrom
}

// supply is the amount of one resource that becomes available over time to the tasks of
// a pool and priority.
type supply struct {
	base     int // available from the beginning
	releases []release
}

// release makes an amount available at a time. total and moment sum up all releases up
// to this one: the amounts, and the amounts times their times in seconds.
type release struct {
	at     time.Duration
	amount int
	total  int
	moment float64
}

// supplyOf returns the supply for a kind.
func (b *bounds) supplyOf(k *Kind, amount int) *supply {
	key := supplyKey{k.Pool, k.Priority, amount}
	s := b.supplies[key]
	if s == nil {
		s = b.newSupply(key)
		b.supplies[key] = s
	}
	return s
}

func (b *bounds) newSupply(key supplyKey) *supply {
	s, amount := &supply{}, amounts[key.amount]
	for i := range b.forecast.Workers {
		w := &b.forecast.Workers[i]
		if w.Pool != key.pool {
			continue
		}
		free := amount(w.Capacity)
		for _, r := range w.Runs {
			if r.Priority > key.priority || r.EarliestEnd <= 0 {
				continue
			}
			free -= amount(r.Needs)
			s.releases = append(s.releases, release{at: max(w.AvailableFrom, r.EarliestEnd), amount: amount(r.Needs)})
		}
		if w.AvailableFrom > 0 {
			s.releases = append(s.releases, release{at: w.AvailableFrom, amount: free})
			continue
		}
		s.base += free
	}
	slices.SortFunc(s.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	total, moment := 0, 0.0
	for i := range s.releases {
		r := &s.releases[i]
		total += r.amount
		moment += float64(r.amount) * r.at.Seconds()
		r.total, r.moment = total, moment
	}
	return s
}

// until returns the amount that is available at a time, and the amount times seconds
// that has been available until then.
func (s *supply) until(t time.Duration) (room int, work float64) {
	n, _ := slices.BinarySearchFunc(s.releases, t, func(r release, t time.Duration) int {
		if r.at <= t {
			return -1
		}
		return 1
	})
	room, work = s.base, float64(s.base)*t.Seconds()
	if n > 0 {
		last := &s.releases[n-1]
		room += last.total
		work += float64(last.total)*t.Seconds() - last.moment
	}
	return room, work
}

// demand is the work ahead of a kind in one resource, with its supply.
type demand struct {
	supply  *supply
	need    int // of one task of the kind
	parts   []demandPart
	longest time.Duration // least run time of the parts, at most
}

// demandPart is work that is ahead until a time, as an amount times seconds, if each
// task has the least run time.
type demandPart struct {
	until time.Duration
	work  float64
}

// ahead returns the waiting tasks that are ahead of a kind.
func (b *bounds) ahead(k *Kind) []*Waiting {
	var out []*Waiting
	for i := range b.forecast.Waiting {
		if w := &b.forecast.Waiting[i]; w.aheadUntil(k) > 0 && w.LeastRunTime > 0 {
			out = append(out, w)
		}
	}
	return out
}

func (b *bounds) demandOf(k *Kind, ahead []*Waiting, amount int) *demand {
	d := &demand{supply: b.supplyOf(k, amount), need: amounts[amount](k.Needs), parts: make([]demandPart, 0, len(ahead))}
	for _, w := range ahead {
		d.longest = max(d.longest, w.LeastRunTime)
		d.parts = append(d.parts, demandPart{w.aheadUntil(k), float64(w.Count*amounts[amount](w.Needs)) * w.LeastRunTime.Seconds()})
	}
	return d
}

// earliestStart returns the earliest time from the given one at which all work that is
// still ahead can have started.
func (d *demand) earliestStart(from time.Duration) time.Duration {
	if d.possibleAt(from) {
		return from
	}
	low, high := from, horizon
	for high-low > resolution {
		middle := low + (high-low)/2
		if d.possibleAt(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// possibleAt reports whether a task of the kind can start at a time: all work that is
// ahead until later has started by then. What is available until then, and for the
// longest of the runs afterwards, has to suffice for it. If it is possible at one time
// it is possible at each later one.
func (d *demand) possibleAt(t time.Duration) bool {
	ahead := 0.0
	for _, p := range d.parts {
		if p.until > t {
			ahead += p.work
		}
	}
	room, work := d.supply.until(t)
	return ahead <= work+float64(max(0, room-d.need))*d.longest.Seconds()
}

// Input is the state of a term from which an outlook is built.
type Input struct {
	Token      uint64
	Forecast   Forecast
	Guarantees []Guarantee
	RunTimes   []RunTime
	Pools      []Pool
}

// Build returns the outlook, without a sequence. What exceeds the limits is left out,
// which refuses nothing.
func (in *Input) Build() *Outlook {
	return &Outlook{
		Token:      in.Token,
		Starts:     in.Forecast.EarliestStarts(),
		Guarantees: firstOf(in.Guarantees, MaxGuarantees),
		RunTimes:   firstOf(in.RunTimes, MaxRunTimes),
		Pools:      firstOf(in.Pools, MaxPools),
	}
}

func firstOf[T any](list []T, n int) []T { return list[:min(len(list), n)] }
