package soak

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	// crashTime is the time within which the workers crash, darkTime how long they are down then
	// before they start again under their names, cutAfter the time from then to the cut, and
	// cutTime that of the cut.
	crashTime = 400 * time.Millisecond
	darkTime  = 600 * time.Millisecond
	cutAfter  = 1200 * time.Millisecond
	cutTime   = 9 * time.Second
	// slowClock is the rate of the slowest clock of a worker.
	slowClock = 0.98
	// recutWork is longer than a worker is cut off.
	recutWork = 15 * time.Second
	// fillTime leaves room on the workers for the jobs that come while they are down.
	fillTime = 300 * time.Millisecond
	// submitGap is the time between two jobs while the workers are down.
	submitGap = 40 * time.Millisecond
)

// recut lets workers crash, start again under their names and be cut off soon after. The
// processes that kill returns are killed as the cut begins and start again at once.
type recut struct {
	rig     *rig
	load    *load
	workers []*node
	kill    func() []*node
	// unseen is set if the workers are cut off before they are back.
	unseen bool
}

// cut cuts a worker off from its agent, or ends the cut. What is sent meanwhile does not arrive.
func (n *node) cut(cut bool) {
	for _, link := range []string{"worker", "heartbeats"} {
		n.relays[link].RefuseConnections(cut)
		if cut {
			n.relays[link].Stall()
			n.relays[link].Hold(standin.Directions{ToTarget: true, ToClient: true})
		} else {
			n.relays[link].Cut()
			n.relays[link].Hold(standin.Directions{})
		}
	}
}

func (r *recut) submit() {
	steps := []hosted.TaskStep{{Count: 1, MilliCPU: 1000, Accelerators: 1, WorkMS: int(recutWork.Milliseconds())}}
	j := r.load.addJob(accountOther, 1, steps)
	sent := r.rig.recorder.Now()
	key := r.rig.operator.key(j.Account)
	reply := r.rig.caller(0).Submit(queues[j.Priority].Prefix+j.ID, key, steps, callerWait)
	r.rig.recorder.Add(Event{Sent: sent, Kind: KindSubmit, Job: j.ID, Entry: r.rig.entries[0].name, Key: key, Status: reply.Status, State: reply.State})
}

func (r *recut) submitFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(submitGap) {
		r.submit()
	}
}

// play plays one round.
func (r *recut) play() {
	for _, n := range r.workers {
		n.worker.CrashAtStart()
	}
	r.submitFor(crashTime)
	for _, n := range r.workers {
		n.worker.CrashSilently() // a full one has got no call
	}
	r.submitFor(darkTime)
	if r.unseen {
		r.beginCut()
	}
	for _, n := range r.workers {
		n.worker.Return()
	}
	if !r.unseen {
		time.Sleep(cutAfter)
		r.beginCut()
	}
	time.Sleep(cutTime)
	for _, n := range r.workers {
		n.cut(false)
	}
}

// beginCut cuts the workers off and replaces the processes that are to be killed.
func (r *recut) beginCut() {
	killed := r.kill()
	for _, n := range killed {
		n.process().Kill()
	}
	for _, n := range r.workers {
		n.cut(true)
	}
	for _, n := range killed {
		r.rig.restart(n)
	}
}

// owner returns the entry that has begun the last term.
func (g *rig) owner() *node {
	name := ""
	for _, e := range g.recorder.Record().Events {
		if e.Kind == KindFence {
			name = e.Entry
		}
	}
	i := slices.IndexFunc(g.entries, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return g.entries[i]
}

// checkPlay starts a deployment with slow clocks, plays something on it and checks the record, in which a worker has a late lease.
func checkPlay(t *testing.T, bin string, seed int64, l layout, command string, play func(g *rig, dir string)) {
	t.Helper()
	checkPlayAnd(t, bin, seed, l, command, play, func(record *Record) {
		if !slices.ContainsFunc(record.Events, func(e Event) bool { return e.Kind == KindLateLease }) {
			t.Error("no worker had a lease by a call for its earlier incarnation")
		}
	})
}

// checkPlayAnd is checkPlay with a check of its own in place of that for a late lease.
func checkPlayAnd(t *testing.T, bin string, seed int64, l layout, command string, play func(g *rig, dir string), check func(*Record)) {
	t.Helper()
	recorder := NewRecorder()
	dir, err := makeFolder(seed)
	if err != nil {
		t.Fatal(err)
	}
	g, err := startRig(dir, bin, "", l, recorder)
	if g != nil {
		defer g.close()
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range g.agents {
		n.worker.SetClockRate(slowClock)
	}
	play(g, dir)
	recorder.Add(Event{Kind: KindHealed})
	g.awaitServed()
	g.settle()
	record := recorder.Record()
	t.Log(record.Summary())
	check(record)
	for _, v := range Check(record) {
		t.Error(v)
	}
	if t.Failed() {
		if err := record.Write(dir + "/record.jsonl"); err != nil {
			t.Error(err)
		}
		t.Fatalf("logs and record: %s\nplay again: %s", dir, command)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Error(err)
	}
}

// playRecut plays one round with half of the workers and checks its record.
func playRecut(t *testing.T, bin string, unseen bool, kill func(*rig, []*node) []*node) {
	t.Helper()
	command := "go test ./test/soak -run '^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$' -count=1"
	checkPlay(t, bin, 0, layout{hosts: 8}, command, func(g *rig, _ string) {
		r := &recut{rig: g, load: &load{rig: g}, workers: g.agents[:len(g.agents)/2], unseen: unseen}
		r.kill = func() []*node { return kill(g, r.workers) }
		// A deadline of the earlier incarnation is then beyond the longest lease of the next one.
		time.Sleep(hosted.MaxLease)
		r.submitFor(fillTime)
		r.play()
	})
}

// killedInCut are the processes that are killed as the workers are cut off.
var killedInCut = map[string]func(g *rig, workers []*node) []*node{
	"none":             func(*rig, []*node) []*node { return nil },
	"owner":            func(g *rig, _ []*node) []*node { return []*node{g.owner()} },
	"agents":           func(_ *rig, workers []*node) []*node { return workers },
	"owner and agents": func(g *rig, workers []*node) []*node { return append([]*node{g.owner()}, workers...) },
}

// playInEachForm plays a round with each set of killed processes.
func playInEachForm(t *testing.T, unseen bool) {
	t.Helper()
	bin := buildBinaries(t)
	for name, kill := range killedInCut {
		t.Run("killed: "+name, func(t *testing.T) {
			t.Parallel()
			playRecut(t, bin, unseen, kill)
		})
	}
}

// TestWorkersCutOffSoonAfterTheirRestartRunNoTaskTwice guards against tasks that are started elsewhere while a lease goes on which a call for the earlier
// incarnation has given the next one.
func TestWorkersCutOffSoonAfterTheirRestartRunNoTaskTwice(t *testing.T) { playInEachForm(t, false) }

// TestWorkersThatRestartUnseenRunNoTaskTwice guards against tasks that are started elsewhere while an incarnation that nobody has heard of works on a start for
// the earlier one.
func TestWorkersThatRestartUnseenRunNoTaskTwice(t *testing.T) { playInEachForm(t, true) }
