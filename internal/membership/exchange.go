package membership

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// unconfirmedAge is the age given to a configuration that is not known to be the
// latest.
const unconfirmedAge = 365 * 24 * time.Hour

// target is an address to exchange states with.
type target struct {
	addr         string
	knownVersion uint64 // configuration version that was reported by the peer
}

// targets returns the addresses of all members and hints without duplicates, in
// order of address.
func (s *Service) targets() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := map[string]uint64{}
	for addr := range s.roster.hints {
		versions[addr] = 0
	}
	for _, m := range s.roster.list() {
		if m.addr != "" {
			versions[m.addr] = max(versions[m.addr], m.lastReport.GetConfigVersion())
		}
	}
	delete(versions, s.self.Addr)
	out := make([]target, 0, len(versions))
	for addr, version := range versions {
		out = append(out, target{addr, version})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].addr < out[j].addr })
	return out
}

// ExchangeAll starts an exchange with each target that has none in progress.
func (s *Service) ExchangeAll(ctx context.Context) {
	used := map[string]bool{}
	for _, seed := range s.cfg.Seeds {
		used[seed] = true
	}
	for _, t := range s.targets() {
		used[t.addr] = true
		if !s.beginExchange(t.addr) {
			continue
		}
		s.exchanges.Add(1)
		s.cfg.Spawn(func() {
			defer s.exchanges.Done()
			defer s.endExchange(t.addr)
			s.exchangeWith(ctx, t)
		})
	}
	s.transport.RetainConnections(used)
}

func (s *Service) beginExchange(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanging[addr] {
		return false
	}
	s.exchanging[addr] = true
	return true
}

func (s *Service) endExchange(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanging, addr)
}

// exchangeWith swaps states with one peer.
func (s *Service) exchangeWith(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	sent := s.clock()
	reply, err := s.transport.Exchange(ctx, t.addr, s.localState(t.knownVersion))
	if err != nil {
		s.incCounter("membership.exchange_failures")
		return
	}
	// Ages count from before the request was sent, because the reply may have
	// been in transit for any part of the round trip.
	s.applyReplyConfig(reply, s.clock()-sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.applyReply(sent, reply)
}

// HandleExchange replies to a peer's state with the own one. The request may have
// been in transit for any time, so it confirms no configuration.
func (s *Service) HandleExchange(in *rpc.PeerState) *rpc.PeerState {
	if c := decodeConfig(in); c != nil {
		s.conf.Offer(c, unconfirmedAge)
	}
	s.mu.Lock()
	s.roster.applyReport(in)
	s.mu.Unlock()
	return s.localState(in.ConfigVersion)
}

// applyReplyConfig takes the configuration of a reply, or the confirmation of the
// present one. The age includes the round trip.
func (s *Service) applyReplyConfig(reply *rpc.PeerState, roundTrip time.Duration) {
	confirmed := reply.ConfigAgeMs >= 0
	age := unconfirmedAge
	if confirmed {
		age = time.Duration(reply.ConfigAgeMs)*time.Millisecond + roundTrip
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

// localState returns the state of this entry, with its configuration if peerVersion
// is older. A state without an address tells the peer that this entry is leaving.
func (s *Service) localState(peerVersion uint64) *rpc.PeerState {
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
	if c.Version > peerVersion {
		// A configuration that was decoded from JSON can be encoded again.
		out.Config, _ = json.Marshal(c)
	}
	s.mu.Lock()
	if s.leaving {
		out.RpcAddress = ""
	}
	s.mu.Unlock()
	for _, fn := range s.stateFillers {
		fn(out)
	}
	return out
}
