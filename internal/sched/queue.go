package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

const queueDegree = 8

// classKey names jobs that fit into the same places, so that a class is tried
// once after a change instead of each job.
type classKey struct {
	profile        string
	gang           api.Shape
	idempotent     bool
	checkpointable bool
	jobID          string // set for a job that avoids workers of its own
}

// class is the queued jobs of one key in order of submission.
type class struct {
	key     classKey
	account *account
	jobs    *btree.BTreeG[*job]
	// failed says that the first job found no place; since and sinceAccount
	// are the generations of the fleet and of the account's use at that time.
	failed       bool
	since        uint64
	sinceAccount uint64
	rank         int
	share        float64
}

type queue struct {
	classes map[classKey]*class
	ordered []*class
	size    int
}

func newQueue() *queue { return &queue{classes: map[classKey]*class{}} }

func lessJob(a, b *job) bool {
	if order := a.rec.Job.Submitted.Compare(b.rec.Job.Submitted); order != 0 {
		return order < 0
	}
	return a.id() < b.id()
}

func keyOf(j *job) classKey {
	key := classKey{j.rec.Job.Profile, j.gang(), j.rec.Job.Idempotent, j.rec.Job.Checkpointable, ""}
	if len(j.avoidedWorkers) > 0 {
		key.jobID = j.id()
	}
	return key
}

func (q *queue) add(j *job) {
	key := keyOf(j)
	cl := q.classes[key]
	if cl == nil {
		cl = &class{key: key, account: j.account, jobs: btree.NewG(queueDegree, lessJob)}
		q.classes[key] = cl
		q.ordered = append(q.ordered, cl)
	}
	cl.jobs.ReplaceOrInsert(j)
	j.class = cl
	q.size++
}

func (q *queue) remove(j *job) {
	cl := j.class
	if cl == nil {
		return
	}
	j.class = nil
	cl.jobs.Delete(j)
	q.size--
	if cl.jobs.Len() > 0 {
		return
	}
	delete(q.classes, cl.key)
	i := slices.Index(q.ordered, cl)
	q.ordered = slices.Delete(q.ordered, i, i+1)
}

func (cl *class) head() *job {
	j, _ := cl.jobs.Min()
	return j
}

// classHeap orders classes by rank, then by the account's share, then by the
// age of the first job.
type classHeap []*class

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if order := cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.share, b.share)); order != 0 {
		return order < 0
	}
	return lessJob(a.head(), b.head())
}
func (h classHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *classHeap) Push(x any)   { *h = append(*h, x.(*class)) }
func (h *classHeap) Pop() any {
	old := *h
	last := len(old) - 1
	cl := old[last]
	*h = old[:last]
	return cl
}

// Ranks of classes, from the first served on.
const (
	rankUrgent = iota
	rankGuaranteed
	rankReserved
	rankOther
)

// schedule starts what can start after the changes of this step.
func (c *Core) schedule() {
	if !c.mayStart() {
		return
	}
	c.planSlots()
	if c.queue.size == 0 {
		return
	}
	var ready classHeap
	for _, cl := range c.queue.ordered {
		if c.worthTrying(cl) {
			c.rankClass(cl)
			ready = append(ready, cl)
		}
	}
	heap.Init(&ready)
	for len(ready) > 0 {
		c.serve(&ready)
	}
}

// serve tries the first job of the first class.
func (c *Core) serve(ready *classHeap) {
	cl := (*ready)[0]
	j := cl.head()
	if !c.tryStart(j) {
		cl.failed = true
		cl.sinceAccount = cl.account.gen
		heap.Pop(ready)
		return
	}
	if cl.jobs.Len() == 0 {
		heap.Pop(ready)
		return
	}
	c.rankClass(cl)
	heap.Fix(ready, 0)
}

func (c *Core) worthTrying(cl *class) bool {
	return !cl.failed || c.fleet.Generation() > cl.since || cl.account.gen > cl.sinceAccount
}

func (c *Core) rankClass(cl *class) {
	p := c.config.Profiles[cl.key.profile]
	cl.share = cl.account.share(c.fleet.InServiceCapacity(), p.Weight)
	switch {
	case p.Urgent:
		cl.rank = rankUrgent
	case c.slotOpen(cl.key.profile, cl.key.gang.PerTask):
		cl.rank = rankGuaranteed
	case cl.head().waitingReservation != nil:
		cl.rank = rankReserved
	default:
		cl.rank = rankOther
	}
}

// account is what one client account uses.
type account struct {
	name string
	used api.Resources
	// surplus is the part of used outside of guarantees.
	surplus api.Resources
	// gen rises when the account's use falls.
	gen uint64
}

func (c *Core) accountOf(j *job) *account {
	name := j.rec.Job.Profile
	if c.config != nil {
		if p, ok := c.config.Profiles[name]; ok {
			name = p.ClientAccount
		}
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name}
		c.accounts[name] = a
	}
	return a
}

// reviewAccounts brings the queue up to date with a new configuration.
func (c *Core) reviewAccounts() {
	for _, j := range c.jobs {
		j.account = c.accountOf(j)
	}
	for _, cl := range c.queue.ordered {
		cl.failed = false
		cl.account = cl.head().account
	}
}

func (a *account) add(g *group) {
	a.used = a.used.Add(g.resources)
	if g.reservedPart == nil {
		a.surplus = a.surplus.Add(g.resources)
	}
}

func (a *account) sub(g *group) {
	a.gen++
	a.used = a.used.Sub(g.resources)
	if g.reservedPart == nil {
		a.surplus = a.surplus.Sub(g.resources)
	}
}

// share is the account's dominant share of the fleet outside of its
// guarantees, divided by the weight.
func (a *account) share(fleet api.Resources, weight int) float64 {
	part := func(used, all int) float64 {
		if all == 0 {
			return 0
		}
		return float64(used) / float64(all)
	}
	dominant := max(
		part(a.surplus.Accelerators, fleet.Accelerators),
		part(a.surplus.MilliCPU, fleet.MilliCPU),
		part(a.surplus.MemoryMB, fleet.MemoryMB))
	return dominant / float64(max(1, weight))
}

// missingProfileWait is how long a job waits for a configuration that has its profile.
const missingProfileWait = 30 * time.Second

func (c *Core) missingProfile(j *job) {
	if c.now-j.queuedAt < missingProfileWait {
		return
	}
	c.refuseQueued(j, ReasonUnknownProfile, "profile \""+j.rec.Job.Profile+"\" does not exist")
}

// refuseQueued answers a queued job that can not go on.
func (c *Core) refuseQueued(j *job, why Reason, detail string) {
	c.emitNotice(j, "", why, detail)
	c.leaveQueue(j)
	if j.everStarted {
		c.finish(j, api.OutcomeFailed, detail)
		return
	}
	c.finish(j, api.OutcomeNotRun, detail)
}
