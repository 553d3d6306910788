package agent

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
)

const (
	// announceInterval is the mean time between requests for the list of entries
	// through the balancer while at least one link is open, and
	// announceRetryInterval while none is.
	announceInterval      = 3 * time.Second
	announceRetryInterval = 300 * time.Millisecond
	announceTimeout       = time.Second
	// unlistedLinkTTL is how long to keep trying an address that is no longer
	// listed.
	unlistedLinkTTL = 10 * time.Second
	maxLinks        = 64
)

// linkSet maintains one link to each live entry. Entries are discovered through
// the balancer and from the heartbeats of linked entries.
type linkSet struct {
	agent *Agent

	mu      sync.Mutex
	links   map[string]*link // by RPC address
	ctx     context.Context
	upGauge metrics.Gauge
}

func newLinkSet(a *Agent) *linkSet {
	return &linkSet{
		agent:   a,
		links:   map[string]*link{},
		upGauge: metrics.GetOrRegisterGauge("links.up", a.registry),
	}
}

func (s *linkSet) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	kernel.PollUntil(ctx, pollInterval, s.agent.host().readyToLink)
	for ctx.Err() == nil {
		s.announce(ctx)
		s.dropUnlisted()
		wait := announceInterval
		if s.openCount() == 0 {
			wait = announceRetryInterval
		}
		kernel.Sleep(ctx, wait/2+rand.N(wait))
	}
}

// announce requests the list of entries from any entry, through the balancer. It
// opens a new connection each time, since the balancer may still route an old
// connection to a dead entry.
func (s *linkSet) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := rpc.Dial(s.agent.cfg.Balancer)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reply, err := rpc.NewAnnounceClient(conn).Entries(ctx, &rpc.EntriesRequest{AgentId: s.agent.cfg.ID})
	if err != nil {
		metrics.GetOrRegisterCounter("announce.failed", s.agent.registry).Inc(1)
		return
	}
	s.addEntries(reply.Entries)
}

// addEntries opens links to entries that have none yet and marks the others as
// listed. The number of links is bounded by maxLinks.
func (s *linkSet) addEntries(entries []*rpc.EntryAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, e := range entries {
		if l, ok := s.links[e.RpcAddress]; ok {
			l.lastListed = now
			continue
		}
		if len(s.links) >= maxLinks {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		l := &link{agent: s.agent, address: e.RpcAddress, lastListed: now, cancel: cancel}
		s.links[e.RpcAddress] = l
		s.agent.loops.Go(func(context.Context) { l.run(ctx) })
	}
}

// dropUnlisted closes links without a session whose address has not been listed
// for unlistedLinkTTL.
func (s *linkSet) dropUnlisted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.links {
		if time.Since(l.lastListed) > unlistedLinkTTL && l.session() == nil {
			l.cancel()
			delete(s.links, address)
		}
	}
}

// sessions returns the open sessions ordered by entry ID and updates the gauge of
// open links.
func (s *linkSet) sessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*session
	for _, l := range s.links {
		if sess := l.session(); sess != nil {
			out = append(out, sess)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].entry < out[j].entry })
	s.upGauge.Update(int64(len(out)))
	return out
}

// unanswered returns an address of an entry that has not answered a heartbeat sent
// after the given time of the agent's clock, or "".
func (s *linkSet) unanswered(after time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := ""
	for address, l := range s.links {
		sess := l.session()
		answered := sess != nil && sess.echoMS.Load() > after.Milliseconds()
		if !answered && (first == "" || address < first) {
			first = address
		}
	}
	return first
}

func (s *linkSet) openCount() int { return len(s.sessions()) }

// send queues a message for one entry. The message is dropped if the entry is not
// linked.
func (s *linkSet) send(entry string, m *rpc.AgentMessage) {
	for _, sess := range s.sessions() {
		if sess.entry == entry {
			sess.send(m)
		}
	}
}

// broadcast queues a message for all linked entries.
func (s *linkSet) broadcast(m *rpc.AgentMessage) {
	for _, sess := range s.sessions() {
		sess.send(m)
	}
}

// heartbeatNow queues a heartbeat for all linked entries, ahead of the next
// periodic one.
func (s *linkSet) heartbeatNow() {
	for _, sess := range s.sessions() {
		sess.send(heartbeatMessage(s.agent))
	}
}

func (s *linkSet) dump() any {
	var out []string
	for _, sess := range s.sessions() {
		out = append(out, sess.entry+" at "+sess.address)
	}
	return out
}
