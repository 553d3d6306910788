package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
)

const benchSlots = 8

// newBenchCore returns a core whose agents have completed their slow start.
func newBenchCore(agents int) (*route.Core, time.Duration) {
	c := route.New(route.Config{Entries: 1, MaxQueue: 20000})
	for i := range agents {
		c.Step(0, route.AgentUp{Agent: fmt.Sprint("a", i), Incarnation: "i", Service: "svc", Zone: "z", Slots: benchSlots})
	}
	now := time.Minute
	heartbeatAll(c, agents, now)
	return c, now
}

func heartbeatAll(c *route.Core, agents int, now time.Duration) {
	c.Step(now, route.Permit{Fresh: true})
	for i := range agents {
		c.Step(now, route.AgentStatus{Agent: fmt.Sprint("a", i), ClockMS: now.Milliseconds(), Healthy: true})
	}
}

func submitBench(c *route.Core, now time.Duration, n int, account string) []route.Action {
	return c.Step(now, route.Submit{Request: route.Request{
		ID: fmt.Sprint("r", n), Service: "svc", Profile: account, Account: account, Weight: 1,
		MaxQueue: 20000, Idempotent: true, Deadline: now + time.Hour,
	}})
}

// BenchmarkStep measures the two Steps of a request, its Submit and its Result, at
// a given number of agents and of requests that stay queued.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ agents, queued int }{{10, 0}, {100, 0}, {1000, 0}, {10, 10000}, {100, 10000}, {1000, 10000}} {
		b.Run(fmt.Sprintf("agents=%d/queued=%d", size.agents, size.queued), func(b *testing.B) {
			c, now := newBenchCore(size.agents)
			var sent []route.Execute
			n := 0
			add := func() {
				n++
				sent = appendExecutes(sent, submitBench(c, now, n, fmt.Sprint("account", n%50)))
			}
			full := size.agents * benchSlots
			for n < full/2 || size.queued > 0 && n < full+size.queued {
				add()
			}
			b.ResetTimer()
			for range b.N {
				add()
				x := sent[0]
				sent = appendExecutes(sent[1:], c.Step(now, route.Result{Agent: x.Agent, ID: x.ID, Attempt: x.Attempt, Outcome: api.OutcomeDone}))
			}
		})
	}
}

// BenchmarkTick measures a Tick, which runs once per TickInterval.
func BenchmarkTick(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d/queued=10000", agents), func(b *testing.B) {
			c, now := newBenchCore(agents)
			for n := range agents*benchSlots + 10000 {
				submitBench(c, now, n, fmt.Sprint("account", n%50))
			}
			b.ResetTimer()
			for range b.N {
				c.Step(now, route.Tick{})
			}
		})
	}
}

func appendExecutes(to []route.Execute, actions []route.Action) []route.Execute {
	for _, a := range actions {
		if x, ok := a.(route.Execute); ok {
			to = append(to, x)
		}
	}
	return to
}

// BenchmarkBurst measures in virtual time how a burst of one account affects the
// answer times of another account with a steady low load, for the core and for
// first-come-first-served queues with random routing.
func BenchmarkBurst(b *testing.B) {
	for _, kind := range []string{"core", "fcfs-random"} {
		for _, burst := range []int{0, 4000} {
			b.Run(fmt.Sprintf("%s/burst=%d", kind, burst), func(b *testing.B) {
				var result burstResult
				for range b.N {
					result = runBurst(kind, burst)
				}
				b.ReportMetric(result.quantile(0.5), "p50-ms")
				b.ReportMetric(result.quantile(0.99), "p99-ms")
				b.ReportMetric(float64(result.steadyRefused), "not-run")
				b.ReportMetric(float64(result.burstDone), "burst-done")
			})
		}
	}
}

const (
	burstAgents     = 10
	steadyInterval  = 20 * time.Millisecond // between two requests of the steady account
	submitPeriod    = 30 * time.Second
	burstAt         = 5 * time.Second
	meanServiceTime = 100 * time.Millisecond
	burstTimeout    = 20 * time.Second // of every request
)

type burstResult struct {
	steadyTimes   []time.Duration // answer times of the steady account
	steadyRefused int
	burstDone     int
}

func (r *burstResult) quantile(q float64) float64 {
	if len(r.steadyTimes) == 0 {
		return 0
	}
	slices.Sort(r.steadyTimes)
	return float64(r.steadyTimes[int(q*float64(len(r.steadyTimes)-1))]) / float64(time.Millisecond)
}

// router is the system under measurement.
type router interface {
	submit(now time.Duration, id int, account string)
	tick(now time.Duration)
	done(now time.Duration, id int)
}

// burstSim runs requests in virtual time on behalf of a router.
type burstSim struct {
	world   world
	rnd     *rand.Rand
	account map[int]string
	arrived map[int]time.Duration
	result  burstResult
	router  router
}

func runBurst(kind string, burst int) burstResult {
	s := &burstSim{rnd: rand.New(rand.NewPCG(7, 7)), account: map[int]string{}, arrived: map[int]time.Duration{}}
	s.router = newRouter(kind, s)
	id := 0
	submit := func(account string) {
		id++
		s.account[id] = account
		s.arrived[id] = s.world.now
		s.router.submit(s.world.now, id, account)
	}
	for at := time.Duration(0); at < submitPeriod; at += steadyInterval {
		s.world.after(at, func() { submit("steady") })
	}
	s.world.after(burstAt, func() {
		for range burst {
			submit("burst")
		}
	})
	for at := time.Duration(0); at < submitPeriod+burstTimeout; at += route.TickInterval {
		s.world.after(at, func() { s.router.tick(s.world.now) })
	}
	s.world.advance(submitPeriod + burstTimeout)
	return s.result
}

// start runs a request for an exponentially distributed time.
func (s *burstSim) start(id int) {
	took := time.Duration(s.rnd.ExpFloat64() * float64(meanServiceTime))
	s.world.after(took, func() {
		switch {
		case s.account[id] == "burst":
			s.result.burstDone++
		default:
			s.result.steadyTimes = append(s.result.steadyTimes, s.world.now-s.arrived[id])
		}
		s.router.done(s.world.now, id)
	})
}

func (s *burstSim) refuse(id int) {
	if s.account[id] == "steady" {
		s.result.steadyRefused++
	}
}

func newRouter(kind string, s *burstSim) router {
	if kind == "core" {
		c, now := newBenchCore(burstAgents)
		return &coreRouter{sim: s, core: c, offset: now, agents: map[int]string{}}
	}
	return &fcfsRouter{sim: s, queues: make([][]int, burstAgents), busy: make([]int, burstAgents), agents: map[int]int{}}
}

type coreRouter struct {
	sim    *burstSim
	core   *route.Core
	offset time.Duration
	agents map[int]string
}

func (r *coreRouter) submit(now time.Duration, id int, account string) {
	r.apply(r.core.Step(r.offset+now, route.Submit{Request: route.Request{
		ID: fmt.Sprint(id), Service: "svc", Profile: account, Account: account, Weight: 1, MaxQueue: 10000,
		Idempotent: true, Deadline: r.offset + now + burstTimeout,
	}}))
}

func (r *coreRouter) tick(now time.Duration) {
	if now%heartbeatInterval == 0 {
		r.sendHeartbeats(now)
	}
	r.apply(r.core.Step(r.offset+now, route.Permit{Fresh: true}))
	r.apply(r.core.Step(r.offset+now, route.Tick{}))
}

func (r *coreRouter) sendHeartbeats(now time.Duration) {
	for i := range burstAgents {
		inUse := 0
		for _, a := range r.agents {
			if a == fmt.Sprint("a", i) {
				inUse++
			}
		}
		r.apply(r.core.Step(r.offset+now, route.AgentStatus{
			Agent: fmt.Sprint("a", i), ClockMS: now.Milliseconds(), InUse: inUse, Healthy: true,
		}))
	}
}

func (r *coreRouter) done(now time.Duration, id int) {
	agent := r.agents[id]
	delete(r.agents, id)
	r.apply(r.core.Step(r.offset+now, route.Result{Agent: agent, ID: fmt.Sprint(id), Attempt: 1, Outcome: api.OutcomeDone}))
}

func (r *coreRouter) apply(actions []route.Action) {
	for _, a := range actions {
		var id int
		switch x := a.(type) {
		case route.Execute:
			fmt.Sscan(x.ID, &id)
			r.agents[id] = x.Agent
			r.sim.start(id)
		case route.Answer:
			fmt.Sscan(x.ID, &id)
			if x.Outcome != api.OutcomeDone {
				r.sim.refuse(id)
			}
		}
	}
}

// fcfsRouter sends each request to a random endpoint, which serves its
// requests in order of arrival.
type fcfsRouter struct {
	sim    *burstSim
	queues [][]int
	busy   []int
	agents map[int]int
}

func (r *fcfsRouter) submit(_ time.Duration, id int, _ string) {
	a := r.sim.rnd.IntN(burstAgents)
	r.agents[id] = a
	r.queues[a] = append(r.queues[a], id)
	r.startQueued(a)
}

func (r *fcfsRouter) tick(time.Duration) {}

func (r *fcfsRouter) done(_ time.Duration, id int) {
	a := r.agents[id]
	r.busy[a]--
	r.startQueued(a)
}

func (r *fcfsRouter) startQueued(a int) {
	for r.busy[a] < benchSlots && len(r.queues[a]) > 0 {
		id := r.queues[a][0]
		r.queues[a] = r.queues[a][1:]
		if r.sim.world.now-r.sim.arrived[id] > burstTimeout {
			r.sim.refuse(id)
			continue
		}
		r.busy[a]++
		r.sim.start(id)
	}
}
