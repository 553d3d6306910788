package node

import (
	"sort"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/membership"
)

// Status reports the configuration version of each process. Each agent is linked
// to every entry, so one entry knows all processes.
type Status struct {
	EntryID string
	Zone    string
	Config  *confstate.Service
	Members *membership.Service
	Links   *links.Server
}

// ConfigStatus returns the status of this entry, its live peers and the agents
// linked to it.
func (s *Status) ConfigStatus() api.ConfigStatus {
	config, age, _ := s.Config.Snapshot()
	out := api.ConfigStatus{Version: config.Version}
	out.Processes = append(out.Processes, api.ProcessConfig{
		Process: s.EntryID, Role: "entry", Zone: s.Zone, Version: config.Version, AgeMS: age.Milliseconds(),
	})
	for _, r := range s.Members.Reports() {
		out.Processes = append(out.Processes, peerProcessConfig(r))
		out.Version = max(out.Version, r.State.GetConfigVersion())
	}
	for _, a := range s.Links.Agents() {
		out.Processes = append(out.Processes, api.ProcessConfig{
			Process: a.Agent.ID,
			Role:    "agent",
			Zone:    a.Agent.Zone,
			Version: a.Heartbeat.GetConfigVersion(),
		})
	}
	sort.Slice(out.Processes, func(i, j int) bool { return out.Processes[i].Process < out.Processes[j].Process })
	out.InForce = true
	for _, p := range out.Processes {
		out.InForce = out.InForce && p.Version == out.Version
	}
	return out
}

func peerProcessConfig(r membership.PeerReport) api.ProcessConfig {
	return api.ProcessConfig{
		Process: r.State.GetEntryId(),
		Role:    "entry",
		Zone:    r.Zone,
		Version: r.State.GetConfigVersion(),
		AgeMS:   r.Age.Milliseconds(),
	}
}
