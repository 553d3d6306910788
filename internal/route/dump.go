package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// maxDumpedRequests bounds the requests in a Dump, which contains the oldest.
const maxDumpedRequests = 100

// Dump is the state of a Core as shown to operators.
type Dump struct {
	Fresh         bool          `json:"fresh"`
	ZonesOut      []string      `json:"zones_out"`
	Draining      bool          `json:"draining"`
	Entries       int           `json:"entries"`
	OpenRequests  int           `json:"open"`
	Attempts      int           `json:"attempts"`
	RetryTokens   float64       `json:"retry_tokens"`
	ClaimsRefused bool          `json:"claims_refused"`
	Services      []ServiceDump `json:"services"`
	Requests      []RequestDump `json:"requests"`
}

// ServiceDump is one service in a Dump.
type ServiceDump struct {
	Name        string       `json:"name"`
	Queued      int          `json:"queued"`
	Capacity    int          `json:"capacity"`
	Busy        int          `json:"busy"`
	ServiceTime api.Duration `json:"service_time"`
	Agents      []AgentDump  `json:"agents"`
	Flows       []FlowDump   `json:"flows"`
}

// AgentDump is one agent in a Dump.
type AgentDump struct {
	Name         string       `json:"name"`
	Incarnation  string       `json:"incarnation"`
	Zone         string       `json:"zone"`
	Usable       bool         `json:"usable"`
	Up           bool         `json:"up"`
	Healthy      bool         `json:"healthy"`
	Leaving      bool         `json:"leaving"`
	Silence      api.Duration `json:"silence"`
	Slots        int          `json:"slots"`
	Limit        int          `json:"limit"`
	OpenAttempts int          `json:"open"`
	OthersInUse  int          `json:"others"`
}

// FlowDump is one flow in a Dump.
type FlowDump struct {
	Account     string       `json:"account"`
	Profile     string       `json:"profile"`
	Weight      float64      `json:"weight"`
	Queued      int          `json:"queued"`
	ServiceTime api.Duration `json:"service_time"`
}

// RequestDump is one request in a Dump.
type RequestDump struct {
	ID        string       `json:"id"`
	Service   string       `json:"service"`
	Profile   string       `json:"profile"`
	Phase     string       `json:"phase"`
	InPhase   api.Duration `json:"in_phase"`
	Remaining api.Duration `json:"left"`
	Attempts  []string     `json:"attempts"`
}

// Dump returns the state of the core.
func (c *Core) Dump() any {
	d := Dump{
		Fresh:         c.configFresh(),
		Draining:      c.draining,
		Entries:       c.entries,
		OpenRequests:  len(c.requests),
		Attempts:      len(c.attempts),
		RetryTokens:   c.budget.tokens,
		ClaimsRefused: c.breaker.open(c.now),
		Requests:      c.dumpRequests(),
	}
	for zone, out := range c.zonesOut {
		if out {
			d.ZonesOut = append(d.ZonesOut, zone)
		}
	}
	slices.Sort(d.ZonesOut)
	for _, s := range c.serviceList {
		d.Services = append(d.Services, c.dumpService(s))
	}
	return d
}

func (c *Core) dumpService(s *service) ServiceDump {
	d := ServiceDump{
		Name:        s.name,
		Queued:      s.queue.length,
		Capacity:    s.capacity,
		Busy:        s.busy,
		ServiceTime: api.Duration(s.times.mean),
	}
	for _, a := range s.agents {
		d.Agents = append(d.Agents, c.dumpAgent(a))
	}
	for _, f := range s.queue.flows {
		d.Flows = append(d.Flows, FlowDump{f.key.account, f.key.profile, f.weight, f.items.Len(), api.Duration(f.times.mean)})
	}
	slices.SortFunc(d.Flows, func(a, b FlowDump) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Profile, b.Profile))
	})
	return d
}

func (c *Core) dumpAgent(a *agent) AgentDump {
	return AgentDump{
		Name:         a.name,
		Incarnation:  a.incarnation,
		Zone:         a.zone,
		Usable:       c.usable(a),
		Up:           a.linked,
		Healthy:      a.healthy,
		Leaving:      a.leaving,
		Silence:      api.Duration(c.now - max(a.statusAt, a.linkChangedAt)),
		Slots:        a.slots,
		Limit:        c.attemptLimit(a),
		OpenAttempts: a.slotsHeld,
		OthersInUse:  a.othersInUse,
	}
}

func (c *Core) dumpRequests() []RequestDump {
	open := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	var out []RequestDump
	for _, r := range open[:min(len(open), maxDumpedRequests)] {
		out = append(out, c.dumpRequest(r))
	}
	return out
}

func (c *Core) dumpRequest(r *request) RequestDump {
	d := RequestDump{
		ID:        r.ID,
		Service:   r.Service,
		Profile:   r.Profile,
		Phase:     string(r.phase),
		InPhase:   api.Duration((c.now - r.phaseSince).Round(time.Millisecond)),
		Remaining: api.Duration((r.Deadline - c.now).Round(time.Millisecond)),
	}
	for _, at := range r.attempts {
		d.Attempts = append(d.Attempts, at.agent.name+" "+string(at.state))
	}
	return d
}
