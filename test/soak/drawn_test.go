package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

var (
	drawnSeeds  = flag.Int64("soak.drawn-seeds", 0, "number of seeds of drawn rounds; 0 plays one short seed")
	drawnFrom   = flag.Int64("soak.drawn-from", 1, "first seed of drawn rounds")
	drawnRounds = flag.Int("soak.drawn-rounds", 4, "rounds of a seed; 1 is a short one")
)

const (
	drawnHosts   = 12
	drawnWorkers = 8
	// firstRound is the time before the first round, after which a deadline of the first
	// incarnation is beyond the longest lease of the next one.
	firstRound = 5 * time.Second
	// ownerTarget is the target of a kill of the process that owns then.
	ownerTarget = -1
	// jobsPerRound and moreJobs bound the number of the jobs of a round.
	jobsPerRound, moreJobs = 19, 4
	// drawnPriority is the priority of the jobs, whose queue moves.
	drawnPriority = 1
)

// shortDrawnSeeds are the short rounds of make test, of about 30 s each. The queue moves in the second one.
var shortDrawnSeeds = []int64{1, 2}

// drawnStep is a step of drawn rounds. The target is the number of a worker or, for a kill, of any host.
type drawnStep struct {
	At       time.Duration
	Kind     string
	Target   int
	Share    float64       // of the calls that are left unanswered
	Duration time.Duration // of a kill
	Tasks    int           // of a submitted job, a gang if there are several
	Work     time.Duration // of its tasks
	Service  string        // that the queue of the jobs names then, or removedQueue
}

// drawRounds returns the steps of a seed by time.
func drawRounds(seed int64, rounds int) (steps []drawnStep) {
	random := rand.New(rand.NewPCG(uint64(seed), 1<<33))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	lead, cutTime, work := [2]time.Duration{time.Second, 5 * time.Second}, [2]time.Duration{4 * time.Second, 11 * time.Second}, [2]time.Duration{3 * time.Second, 18 * time.Second}
	if rounds == 1 { // the tasks last as long as it takes to start them elsewhere
		lead[1], cutTime, work = 2500*time.Millisecond, [2]time.Duration{7500 * time.Millisecond, 9 * time.Second}, [2]time.Duration{7 * time.Second, 9 * time.Second}
	}
	begin := firstRound
	for range rounds {
		end := begin
		kills := random.IntN(4)
		for i, w := range random.Perm(drawnWorkers)[:2+random.IntN(4)] {
			dark := func() time.Duration { return between(100*time.Millisecond, 1600*time.Millisecond) }
			crash := begin + between(lead[0], lead[1])
			back := crash + dark()
			cut := back + between(0, 2500*time.Millisecond)
			if random.IntN(3) == 0 {
				cut = between(crash, back)
			}
			healed := cut + between(cutTime[0], cutTime[1])
			steps = append(steps, drawnStep{At: begin, Kind: "leave-unanswered", Target: w, Share: 0.15 + 0.4*random.Float64()},
				drawnStep{At: crash, Kind: "crash", Target: w}, drawnStep{At: back, Kind: "return", Target: w},
				drawnStep{At: cut, Kind: "cut", Target: w}, drawnStep{At: healed, Kind: "heal", Target: w})
			if random.IntN(3) == 0 {
				again := between(max(cut, back), healed-time.Second)
				steps = append(steps, drawnStep{At: again, Kind: "crash", Target: w}, drawnStep{At: again + dark(), Kind: "return", Target: w})
			}
			if i < kills {
				entries := drawnHosts - drawnWorkers
				kill := drawnStep{Kind: "kill", Target: []int{ownerTarget, ownerTarget, random.IntN(entries), entries + w, entries + w}[random.IntN(5)]}
				kill.At = []time.Duration{between(begin, crash), between(crash, back), cut, between(cut, healed)}[random.IntN(4)]
				if random.IntN(2) == 0 {
					kill.Duration = between(0, 3*time.Second)
				}
				steps = append(steps, kill)
			}
			end = max(end, healed)
		}
		for range jobsPerRound + random.IntN(moreJobs+1) {
			job := drawnStep{At: between(begin, begin+lead[1]), Kind: "submit", Tasks: 1, Work: between(work[0], work[1])}
			if rounds > 1 && random.IntN(2) == 0 {
				job.At = between(begin, end)
			}
			if seed%2 == 0 && random.IntN(4) == 0 {
				job.Tasks = 2 + random.IntN(3)
			}
			steps = append(steps, job)
		}
		begin = end + between(0, 2*time.Second)
	}
	if movesQueue(seed) {
		steps = append(steps, drawMoves(seed, steps)...)
	}
	slices.SortStableFunc(steps, func(a, b drawnStep) int { return int(a.At - b.At) })
	return steps
}

// movesQueue reports whether the queue of the jobs moves between two services in the rounds of a seed.
func movesQueue(seed int64) bool { return seed%4 >= 2 }

// drawMoves returns the moves of the queue beside the steps of a seed. A queue that is removed, or names a service without workers, is
// moved again soon.
func drawMoves(seed int64, steps []drawnStep) (moves []drawnStep) {
	random := rand.New(rand.NewPCG(uint64(seed), 1<<34))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	end := time.Duration(0)
	for _, s := range steps {
		end = max(end, s.At)
	}
	services := []string{pool, otherPool, otherPool, removedQueue, "none"}
	for at := firstRound + between(0, time.Second); at < end; {
		m := drawnStep{At: at, Kind: "move", Service: services[random.IntN(len(services))]}
		moves = append(moves, m)
		if m.Service == pool || m.Service == otherPool {
			at += between(500*time.Millisecond, 6*time.Second)
		} else {
			at += between(100*time.Millisecond, 3*time.Second)
		}
	}
	return append(moves, drawnStep{At: end, Kind: "move", Service: services[random.IntN(2)]})
}

// playDrawn plays the steps of a seed, with its random numbers for what happens at a step.
func (g *rig) playDrawn(seed int64, steps []drawnStep) {
	begin, l := time.Now(), &load{rig: g}
	var ending sync.WaitGroup
	for i, s := range steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		random := rand.New(rand.NewPCG(uint64(seed), uint64(i)))
		var n *node
		switch {
		case s.Kind == "submit":
			job := hosted.TaskStep{Count: s.Tasks, Gang: s.Tasks > 1, MilliCPU: 1000, Accelerators: 1, WorkMS: int(s.Work.Milliseconds())}
			c := &client{load: l, random: random}
			j := l.addJob(accountOther, drawnPriority, []hosted.TaskStep{job})
			ending.Go(func() { c.submit(j) })
			continue
		case s.Kind == "move":
			g.operator.moveQueue(queues[drawnPriority].Name, s.Service)
			continue
		case s.Kind == "kill" && s.Target == ownerTarget:
			if n = g.owner(); n == nil {
				continue
			}
		case s.Kind == "kill":
			n = append(slices.Clone(g.entries), g.agents...)[s.Target]
		default:
			n = g.agents[s.Target]
		}
		g.recorder.Add(Event{Kind: KindStep, Fault: s.Kind, Worker: n.name})
		switch s.Kind {
		case "leave-unanswered":
			n.worker.LeaveUnanswered(s.Share, random)
		case "crash":
			n.worker.LeaveUnanswered(0, random)
			n.worker.CrashSilently()
		case "return":
			g.recorder.Add(Event{Kind: KindRestart, Worker: n.name})
			n.worker.Return()
		case "cut", "heal":
			n.cut(s.Kind == "cut")
		case "kill":
			n.process().Kill()
			ending.Go(func() {
				time.Sleep(s.Duration)
				g.restart(n)
			})
		}
	}
	ending.Wait()
}

// playDrawnSeed plays drawn rounds and checks their record.
func playDrawnSeed(t *testing.T, bin string, seed int64, rounds int) {
	t.Helper()
	steps := drawRounds(seed, rounds)
	var schedule strings.Builder
	for _, s := range steps {
		fmt.Fprintf(&schedule, "%+v\n", s)
	}
	command := fmt.Sprintf("go test ./test/soak -run '^TestDrawnRounds$' -count=1 -args -soak.drawn-seeds 1 -soak.drawn-from %d -soak.drawn-rounds %d", seed, rounds)
	l := layout{hosts: drawnHosts}
	if movesQueue(seed) {
		l.otherWorkers = drawnWorkers / 2
	}
	checkPlay(t, bin, seed, l, command, func(g *rig, dir string) {
		if err := os.WriteFile(filepath.Join(dir, "schedule.txt"), []byte(command+"\n"+schedule.String()), 0o600); err != nil {
			t.Error(err)
		}
		g.recorder.record.GivenUpAfter = crashesOfGivenUpTask
		for _, s := range steps {
			g.longTask = max(g.longTask, s.Work)
		}
		g.playDrawn(seed, steps)
	})
}

// TestDrawnRounds guards against tasks that are started elsewhere while an earlier call of theirs, which has had no answer, may still be executed.
func TestDrawnRounds(t *testing.T) {
	bin := buildBinaries(t)
	for _, seed := range shortDrawnSeeds {
		if *drawnSeeds == 0 {
			t.Run(fmt.Sprint("short ", seed), func(t *testing.T) {
				t.Parallel()
				playDrawnSeed(t, bin, seed, 1)
			})
		}
	}
	for seed := *drawnFrom; seed < *drawnFrom+*drawnSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDrawnSeed(t, bin, seed, *drawnRounds)
		})
	}
}
