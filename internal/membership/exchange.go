package membership

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// unconfirmed is the age given to a configuration that is not known to be the
// newest.
const unconfirmed = 365 * 24 * time.Hour

// target is an address to exchange with.
type target struct {
	addr string
	has  uint64 // configuration version that was reported from there
}

// targets returns the addresses of all members and hints, each once.
func (s *Service) targets() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	has := map[string]uint64{}
	for addr := range s.roster.hints {
		has[addr] = 0
	}
	for _, m := range s.roster.list() {
		if m.addr != "" {
			has[m.addr] = max(has[m.addr], m.state.GetConfigVersion())
		}
	}
	delete(has, s.self.Addr)
	out := make([]target, 0, len(has))
	for addr, version := range has {
		out = append(out, target{addr, version})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].addr < out[j].addr })
	return out
}

// ExchangeAll starts an exchange with each peer that has none in progress.
func (s *Service) ExchangeAll(ctx context.Context) {
	used := map[string]bool{}
	for _, seed := range s.cfg.Seeds {
		used[seed] = true
	}
	for _, t := range s.targets() {
		used[t.addr] = true
		if !s.begin(t.addr) {
			continue
		}
		s.exchanges.Add(1)
		s.cfg.Spawn(func() {
			defer s.exchanges.Done()
			defer s.finish(t.addr)
			s.exchange(ctx, t)
		})
	}
	s.transport.RetainConnections(used)
}

func (s *Service) begin(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanging[addr] {
		return false
	}
	s.exchanging[addr] = true
	return true
}

func (s *Service) finish(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanging, addr)
}

// exchange swaps states with one peer.
func (s *Service) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	sent := s.clock()
	reply, err := s.transport.Exchange(ctx, t.addr, s.state(t.has))
	if err != nil {
		s.count("membership.exchange_failures")
		return
	}
	// The age of what the reply tells counts from before the request, however
	// long the way back has taken.
	s.takeConfig(reply, s.clock()-sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.answered(sent, reply)
}

// HandleExchange answers a peer's state with the own one. What the request
// tells may have been on its way for long, so it confirms nothing.
func (s *Service) HandleExchange(in *rpc.PeerState) *rpc.PeerState {
	if c := decodeConfig(in); c != nil {
		s.conf.Offer(c, unconfirmed)
	}
	s.mu.Lock()
	s.roster.received(in)
	s.mu.Unlock()
	return s.state(in.ConfigVersion)
}

// takeConfig takes over the configuration of a reply, or its confirmation.
func (s *Service) takeConfig(reply *rpc.PeerState, way time.Duration) {
	confirmed := reply.ConfigAgeMs >= 0
	age := unconfirmed
	if confirmed {
		age = time.Duration(reply.ConfigAgeMs)*time.Millisecond + way
	}
	if c := decodeConfig(reply); c != nil {
		s.conf.Offer(c, age)
		return
	}
	if confirmed {
		s.conf.Confirm(reply.ConfigVersion, age)
	}
}

func decodeConfig(s *rpc.PeerState) *api.Config {
	if len(s.Config) == 0 {
		return nil
	}
	var c api.Config
	if err := json.Unmarshal(s.Config, &c); err != nil || c.Version != s.ConfigVersion {
		return nil
	}
	return c.Clone()
}

// state returns the own state, with the configuration if the peer's is older.
// A state without address says that this entry leaves.
func (s *Service) state(peerHas uint64) *rpc.PeerState {
	c, age, ok := s.conf.Snapshot()
	out := &rpc.PeerState{
		EntryId:       s.presence.name(),
		RpcAddress:    s.self.Addr,
		ConfigVersion: c.Version,
		ConfigAgeMs:   -1,
		StoreFailing:  s.conf.StoreFailing(),
	}
	if ok {
		out.ConfigAgeMs = age.Milliseconds() + 1
	}
	if c.Version > peerHas {
		// A configuration that was decoded from JSON encodes again.
		out.Config, _ = json.Marshal(c)
	}
	s.mu.Lock()
	if s.leaving {
		out.RpcAddress = ""
	}
	s.mu.Unlock()
	for _, fn := range s.fill {
		fn(out)
	}
	return out
}
