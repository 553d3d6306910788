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

// classKey identifies jobs that fit the same placements. After a change, the core
// tries each class once instead of each job.
type classKey struct {
	profile        string
	gang           api.Shape
	idempotent     bool
	checkpointable bool
	jobID          string // set for a job that avoids certain workers
}

// class is the queued jobs with one key, in order of submission.
type class struct {
	key     classKey
	account *account
	jobs    *btree.BTreeG[*job]
	// noPlacement is true if the first job could not be placed. fleetGeneration
	// and accountGeneration are the generations of the fleet and of the account's
	// usage at that time.
	noPlacement       bool
	fleetGeneration   uint64
	accountGeneration uint64
	rank              int
	weightedShare     float64
}

type queue struct {
	classes   map[classKey]*class
	classList []*class
	size      int
}

func newQueue() *queue { return &queue{classes: map[classKey]*class{}} }

func submittedBefore(a, b *job) bool {
	if order := a.rec.Job.Submitted.Compare(b.rec.Job.Submitted); order != 0 {
		return order < 0
	}
	return a.id() < b.id()
}

func classKeyOf(j *job) classKey {
	key := classKey{j.rec.Job.Profile, j.gang(), j.rec.Job.Idempotent, j.rec.Job.Checkpointable, ""}
	if len(j.avoidedWorkers) > 0 {
		key.jobID = j.id()
	}
	return key
}

func (q *queue) insert(j *job) {
	key := classKeyOf(j)
	cl := q.classes[key]
	if cl == nil {
		cl = &class{key: key, account: j.account, jobs: btree.NewG(queueDegree, submittedBefore)}
		q.classes[key] = cl
		q.classList = append(q.classList, cl)
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
	i := slices.Index(q.classList, cl)
	q.classList = slices.Delete(q.classList, i, i+1)
}

func (cl *class) head() *job {
	j, _ := cl.jobs.Min()
	return j
}

// classHeap orders classes by rank, then by the account's weighted share, then by
// the submission time of the first job.
type classHeap []*class

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if order := cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.weightedShare, b.weightedShare)); order != 0 {
		return order < 0
	}
	return submittedBefore(a.head(), b.head())
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

// Ranks of classes, the first one served first.
const (
	rankUrgent = iota
	rankGuaranteed
	rankReserved
	rankOther
)

// schedule starts the jobs that can start after the changes of this step.
func (c *Core) schedule() {
	if !c.mayStart() {
		return
	}
	c.updateGuarantees()
	if c.queue.size == 0 {
		return
	}
	var ready classHeap
	for _, cl := range c.queue.classList {
		if c.shouldTry(cl) {
			c.rankClass(cl)
			ready = append(ready, cl)
		}
	}
	heap.Init(&ready)
	for len(ready) > 0 {
		c.startNext(&ready)
	}
}

// startNext tries the first job of the first class.
func (c *Core) startNext(ready *classHeap) {
	cl := (*ready)[0]
	j := cl.head()
	if !c.tryStart(j) {
		cl.noPlacement = true
		cl.accountGeneration = cl.account.generation
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

func (c *Core) shouldTry(cl *class) bool {
	return !cl.noPlacement || c.fleet.Generation() > cl.fleetGeneration || cl.account.generation > cl.accountGeneration
}

func (c *Core) rankClass(cl *class) {
	p := c.config.Profiles[cl.key.profile]
	cl.weightedShare = cl.account.weightedShare(c.fleet.InServiceCapacity(), p.Weight)
	switch {
	case p.Urgent:
		cl.rank = rankUrgent
	case c.hasOpenGuarantee(cl.key.profile, cl.key.gang.PerTask):
		cl.rank = rankGuaranteed
	case cl.head().waitingReservation != nil:
		cl.rank = rankReserved
	default:
		cl.rank = rankOther
	}
}

// account is the usage of one client account.
type account struct {
	name string
	used api.Resources
	// unguaranteed is the part of used that is outside of guarantees.
	unguaranteed api.Resources
	// generation increases when the account's usage decreases.
	generation uint64
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

// refreshAccounts updates the accounts of jobs and classes after a configuration
// change.
func (c *Core) refreshAccounts() {
	for _, j := range c.jobs {
		j.account = c.accountOf(j)
	}
	for _, cl := range c.queue.classList {
		cl.noPlacement = false
		cl.account = cl.head().account
	}
}

func (a *account) addGroup(g *group) {
	a.used = a.used.Add(g.resources)
	if g.reservedPart == nil {
		a.unguaranteed = a.unguaranteed.Add(g.resources)
	}
}

func (a *account) removeGroup(g *group) {
	a.generation++
	a.used = a.used.Sub(g.resources)
	if g.reservedPart == nil {
		a.unguaranteed = a.unguaranteed.Sub(g.resources)
	}
}

// weightedShare returns the account's dominant share of the fleet outside of its
// guarantees, divided by the weight.
func (a *account) weightedShare(capacity api.Resources, weight int) float64 {
	fraction := func(used, total int) float64 {
		if total == 0 {
			return 0
		}
		return float64(used) / float64(total)
	}
	dominant := max(
		fraction(a.unguaranteed.Accelerators, capacity.Accelerators),
		fraction(a.unguaranteed.MilliCPU, capacity.MilliCPU),
		fraction(a.unguaranteed.MemoryMB, capacity.MemoryMB))
	return dominant / float64(max(1, weight))
}

// missingProfileWait is how long a job waits for a configuration that contains its
// profile.
const missingProfileWait = 30 * time.Second

func (c *Core) handleMissingProfile(j *job) {
	if c.now-j.queuedAt < missingProfileWait {
		return
	}
	c.rejectQueued(j, ReasonUnknownProfile, "profile \""+j.rec.Job.Profile+"\" does not exist")
}

// rejectQueued finishes a queued job that cannot run.
func (c *Core) rejectQueued(j *job, reason Reason, detail string) {
	c.emitNotice(j, "", reason, detail)
	c.leaveQueue(j)
	if j.everStarted {
		c.finishJob(j, api.OutcomeFailed, detail)
		return
	}
	c.finishJob(j, api.OutcomeNotRun, detail)
}
