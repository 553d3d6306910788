package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// unconfirmed is the age given to a configuration that is not known to be the
// newest.
const unconfirmed = 365 * 24 * time.Hour

// target is a peer to exchange with.
type target struct {
	id   string
	addr string
	has  uint64 // configuration version that it has reported
}

func (s *Service) targets() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []target
	for _, m := range s.roster.list() {
		if m.addr != "" {
			out = append(out, target{m.id, m.addr, m.state.GetConfigVersion()})
		}
	}
	return out
}

// exchangeAll starts an exchange with each peer that has none in progress.
func (s *Service) exchangeAll(ctx context.Context) {
	used := map[string]bool{}
	for _, seed := range s.cfg.Seeds {
		used[seed] = true
	}
	for _, t := range s.targets() {
		used[t.addr] = true
		if !s.begin(t.addr) {
			continue
		}
		s.loops.Add(1)
		go func() {
			defer s.loops.Done()
			defer s.finish(t.addr)
			s.exchange(ctx, t.id, t.addr)
		}()
	}
	s.transport.Keep(used)
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
func (s *Service) exchange(ctx context.Context, id, addr string) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	sent := s.clock()
	reply, err := s.transport.Exchange(ctx, addr, s.state(s.versionOf(id)))
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
	age := unconfirmed
	if reply.ConfigAgeMs >= 0 {
		age = time.Duration(reply.ConfigAgeMs)*time.Millisecond + way
	}
	if c := decodeConfig(reply); c != nil {
		s.conf.Offer(c, age)
		return
	}
	s.conf.Confirm(reply.ConfigVersion, age)
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

func (s *Service) versionOf(id string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.roster.members[id]; ok {
		return m.state.GetConfigVersion()
	}
	return 0
}

// state returns the own state, with the configuration if the peer's is older.
// A state without address says that this entry leaves.
func (s *Service) state(peerHas uint64) *rpc.PeerState {
	c, age, ok := s.conf.Snapshot()
	out := &rpc.PeerState{
		EntryId:       s.self.ID,
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
