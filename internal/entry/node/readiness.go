package node

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// firstAgentGrace is how long a starting entry waits for a first agent when
	// no other entry has agents either.
	firstAgentGrace = 1500 * time.Millisecond
	// peerAgentsGrace is how long a starting entry waits for as many agents as
	// the other entry with the most agents has.
	peerAgentsGrace = 5 * time.Second
)

// Readiness reports whether an entry can serve callers. An entry that has just
// started is not ready until agents are linked, since it would refuse requests
// that other entries can serve. Once enough agents have been linked, their number
// no longer matters, so that failures of agents cannot make all entries unready.
type Readiness struct {
	Status *Status
	Clock  func() time.Duration

	mu           sync.Mutex
	firstCheck   time.Duration // time on Clock; 0 before the first check
	agentsLinked bool
}

// Check returns nil if the entry is ready, or the reason why it is not.
func (r *Readiness) Check() error {
	if err := r.checkConfig(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstCheck == 0 {
		r.firstCheck = r.Clock()
	}
	have, want := len(r.Status.Links.Agents()), r.peerAgents()
	r.agentsLinked = r.agentsLinked || enoughAgents(r.Clock()-r.firstCheck, have, want)
	if !r.agentsLinked {
		return errors.Errorf("%d agents are linked; other entries have %d", have, want)
	}
	return nil
}

// enoughAgents reports whether have linked agents are enough after the given
// waiting time, when the other entries have up to want.
func enoughAgents(waited time.Duration, have, want int) bool {
	switch {
	case waited >= peerAgentsGrace:
		return true
	case have == 0 && want == 0:
		return waited >= firstAgentGrace
	}
	return have >= want
}

func (r *Readiness) checkConfig() error {
	config := r.Status.Config
	current, _, known := config.Snapshot()
	switch {
	case current.Version == 0 && config.StoreFailing():
		return errors.New("no configuration: the platform's table cannot be read and no other entry has one")
	case !known:
		return errors.New("configuration has not been read yet")
	case config.StoreFailing() && !config.StoreDownEverywhere():
		return errors.New("the platform's table cannot be read from here; other entries may reach it")
	}
	return nil
}

// peerAgents returns the largest number of agents linked to any other entry.
func (r *Readiness) peerAgents() int {
	most := 0
	for _, report := range r.Status.Members.Reports() {
		most = max(most, int(report.State.GetAgents()))
	}
	return most
}
