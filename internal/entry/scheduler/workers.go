package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
)

var groupStates = map[rpc.GroupState]sched.GroupState{
	rpc.GroupState_GROUP_STATE_HELD:         sched.GroupHeld,
	rpc.GroupState_GROUP_STATE_REFUSED:      sched.GroupRefused,
	rpc.GroupState_GROUP_STATE_RUNNING:      sched.GroupRunning,
	rpc.GroupState_GROUP_STATE_DONE:         sched.GroupDone,
	rpc.GroupState_GROUP_STATE_FAILED:       sched.GroupFailed,
	rpc.GroupState_GROUP_STATE_CHECKPOINTED: sched.GroupCheckpointed,
	rpc.GroupState_GROUP_STATE_STOPPED:      sched.GroupStopped,
	rpc.GroupState_GROUP_STATE_ABSENT:       sched.GroupAbsent,
}

func toGroupReport(worker string, g *rpc.GroupReport) sched.GroupReport {
	return sched.GroupReport{
		Worker:      worker,
		JobID:       g.JobId,
		Attempt:     g.Attempt,
		State:       groupStates[g.State],
		Progress:    time.Duration(g.ProgressMs) * time.Millisecond,
		Usage:       rpc.ToResources(g.Usage),
		Detail:      g.Detail,
		Result:      g.Result,
		Checkpoint:  g.Checkpoint,
		WorkerFault: g.WorkerFault,
	}
}

// AgentUp adds a linked worker agent with the groups that it reports.
func (s *Service) AgentUp(a links.Agent, groups []*rpc.GroupReport) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_WORKER {
		return
	}
	w := &worker{agent: a, status: sched.WorkerStatus{Worker: a.ID, Healthy: true}, reports: map[sched.GroupRef]sched.GroupReport{}}
	for _, g := range groups {
		w.storeReport(toGroupReport(a.ID, g))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[a.ID] = w
	if s.term != nil && s.term.loaded {
		s.replayWorker(s.term, w)
	}
}

// AgentDown removes a worker agent whose link is lost.
func (s *Service) AgentDown(a links.Agent) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_WORKER {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.workers, a.ID)
	if s.term != nil && s.term.loaded {
		s.term.step(sched.WorkerDown{Worker: a.ID})
	}
}

// AgentHeartbeat updates a worker agent's status.
func (s *Service) AgentHeartbeat(a links.Agent, hb *rpc.AgentHeartbeat) {
	if a.Kind != rpc.EndpointKind_ENDPOINT_KIND_WORKER {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[a.ID]
	if w == nil {
		return
	}
	w.status = sched.WorkerStatus{Worker: a.ID, Leaving: hb.Leaving, Healthy: hb.EndpointHealthy}
	if s.term != nil && s.term.loaded {
		s.term.step(w.status)
	}
}

// RequestResult ignores the results of requests, which the scheduler does not use.
func (s *Service) RequestResult(links.Agent, *rpc.RequestResult) {}

// GroupReport stores a worker agent's report and passes it to the core. Entries
// that do not own the cell store the latest one too, since they may become the
// owner.
func (s *Service) GroupReport(a links.Agent, g *rpc.GroupReport) {
	report := toGroupReport(a.ID, g)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[a.ID]
	if w == nil {
		return
	}
	w.storeReport(report)
	if s.term != nil && s.term.loaded {
		s.term.step(report)
	}
}

// storeReport stores the latest report of a group. It drops groups for which the
// agent no longer holds anything.
func (w *worker) storeReport(r sched.GroupReport) {
	ref := sched.GroupRef{JobID: r.JobID, Attempt: r.Attempt}
	switch r.State {
	case sched.GroupAbsent, sched.GroupRefused, sched.GroupStopped:
		delete(w.reports, ref)
		return
	}
	if len(w.reports) >= maxReportsPerWorker {
		w.dropFinalReport()
	}
	w.reports[ref] = r
}

// dropFinalReport drops one report of a group that has ended, to make room. The
// agent repeats such reports on its next link.
func (w *worker) dropFinalReport() {
	for _, ref := range sortedRefs(w.reports) {
		switch w.reports[ref].State {
		case sched.GroupDone, sched.GroupFailed, sched.GroupCheckpointed:
			delete(w.reports, ref)
			return
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func sortedRefs(m map[sched.GroupRef]sched.GroupReport) []sched.GroupRef {
	out := make([]sched.GroupRef, 0, len(m))
	for ref := range m {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b sched.GroupRef) int {
		if c := cmp.Compare(a.JobID, b.JobID); c != 0 {
			return c
		}
		return cmp.Compare(a.Attempt, b.Attempt)
	})
	return out
}
