// Package feasibility checks that all guaranteed gangs of a configuration fit
// together into the racks in service.
package feasibility

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/fleet"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/placement"
)

// Worker is one worker of the checked fleet.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Capacity api.Resources
}

// Severity tells whether a finding rejects a configuration.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding reports guaranteed gangs of a profile that cannot be placed.
type Finding struct {
	Severity Severity  `json:"severity"`
	Profile  string    `json:"profile"`
	Shape    api.Shape `json:"shape"`
	Missing  int       `json:"missing"`
	// Zone is the zone whose loss causes a warning.
	Zone   string `json:"zone,omitempty"`
	Detail string `json:"detail"`
}

// Check returns an error for each profile whose guarantee does not fit into the
// zones that are in. If there is none, it returns a warning for each guarantee that
// does not fit without one of these zones.
func Check(config *api.Config, workers []Worker) []Finding {
	var findings []Finding
	for _, m := range unplaced(config, workers, "") {
		m.Severity = Error
		m.Detail = fmt.Sprintf("guarantee of profile %q: no room for %d of %s in the racks in service", m.Profile, m.Missing, describeShape(m.Shape))
		findings = append(findings, m)
	}
	if len(findings) > 0 {
		return findings
	}
	for _, zone := range zonesInService(config, workers) {
		for _, m := range unplaced(config, workers, zone) {
			m.Severity = Warning
			m.Zone = zone
			m.Detail = fmt.Sprintf("guarantee of profile %q: no room for %d of %s while zone %q is out", m.Profile, m.Missing, describeShape(m.Shape), zone)
			findings = append(findings, m)
		}
	}
	return findings
}

func describeShape(s api.Shape) string {
	return fmt.Sprintf("%d tasks of %d accelerators, %d mCPU and %d MB in one %s",
		s.Tasks, s.PerTask.Accelerators, s.PerTask.MilliCPU, s.PerTask.MemoryMB, s.Adjacency)
}

func zonesInService(config *api.Config, workers []Worker) []string {
	var zones []string
	for _, w := range workers {
		if !config.ZoneOut(w.Zone) && !slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// unplaced packs all guarantees, the largest gangs first, and returns those that do
// not fit. The zone without counts as out.
func unplaced(config *api.Config, workers []Worker, without string) []Finding {
	return packGuarantees(newFleet(config, workers, without), config)
}

// FleetWithGuarantees returns a fleet with all guarantees packed, as if all its
// zones were in. What remains on its workers is available to other work.
func FleetWithGuarantees(config *api.Config, workers []Worker) *fleet.Fleet {
	f := newFleet(&api.Config{}, workers, "")
	packGuarantees(f, config)
	return f
}

func packGuarantees(f *fleet.Fleet, config *api.Config) []Finding {
	var out []Finding
	for _, p := range guaranteedProfiles(config) {
		remaining := p.Guarantee.Gangs
		for remaining > 0 && packGang(f, p.Guarantee.Shape) {
			remaining--
		}
		if remaining > 0 {
			out = append(out, Finding{Profile: p.Name, Shape: p.Guarantee.Shape, Missing: remaining})
		}
	}
	return out
}

func newFleet(config *api.Config, workers []Worker, without string) *fleet.Fleet {
	f := fleet.New()
	for _, w := range workers {
		out := config.ZoneOut(w.Zone) || (without != "" && w.Zone == without)
		added := f.Add(w.Name, w.Zone, w.Rack)
		f.Update(added, func(fleetWorker *fleet.Worker) {
			fleetWorker.Capacity = w.Capacity
			fleetWorker.Linked = true
			fleetWorker.ZoneOut = out
		})
	}
	return f
}

func packGang(f *fleet.Fleet, shape api.Shape) bool {
	assignments := placement.Find(f, placement.Request{Gang: shape, View: fleet.Preemptible})
	for _, p := range assignments {
		f.Update(p.Worker, func(w *fleet.Worker) {
			w.Reserved = w.Reserved.Add(shape.PerTask.Times(p.Tasks))
		})
	}
	return assignments != nil
}

// guaranteedProfiles returns the profiles with a guarantee, those with the largest
// gangs first.
func guaranteedProfiles(config *api.Config) []api.Profile {
	var out []api.Profile
	for _, p := range config.Profiles {
		if p.Guarantee != nil {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b api.Profile) int {
		return cmp.Or(CompareShapes(a.Guarantee.Shape, b.Guarantee.Shape), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// CompareShapes orders shapes by how hard they are to place, the hardest first.
func CompareShapes(a, b api.Shape) int {
	x, y := a.PerTask.Times(a.Tasks), b.PerTask.Times(b.Tasks)
	return cmp.Or(
		cmp.Compare(y.Accelerators, x.Accelerators),
		cmp.Compare(b.PerTask.Accelerators, a.PerTask.Accelerators),
		cmp.Compare(y.MilliCPU, x.MilliCPU),
		cmp.Compare(y.MemoryMB, x.MemoryMB))
}
