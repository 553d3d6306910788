package ctl

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/sched/feasibility"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
)

// TestExamplesLoad checks all example settings files and sets all example profiles.
func TestExamplesLoad(t *testing.T) {
	entry := newFakeEntry()
	defer entry.server.Close()
	for _, site := range []string{"maraval", "institute"} {
		for command, pattern := range map[string]string{"settings check": "*.toml", "profiles set": "profiles/*.json"} {
			files, err := filepath.Glob(filepath.Join("..", "..", "examples", site, pattern))
			if err != nil || len(files) != 4 {
				t.Errorf("%s: files %v, error %v", site, files, err)
				continue
			}
			if got := runCommandLine(entry, command+" "+strings.Join(files, " ")); !strings.HasSuffix(got, "exit 0\n") {
				t.Errorf("%s", got)
			}
		}
	}
	if len(entry.profiles) != 8 {
		t.Errorf("%d profiles set, want 8", len(entry.profiles))
	}
}

// TestExampleGuaranteesFit checks that the example guarantees of each site fit on its
// workers, also after the loss of any one zone.
func TestExampleGuaranteesFit(t *testing.T) {
	for _, site := range []string{"maraval", "institute"} {
		dir := filepath.Join("..", "..", "examples", site)
		standin, err := settings.LoadStandin(filepath.Join(dir, "standin.toml"))
		if err != nil {
			t.Fatal(err)
		}
		files, err := filepath.Glob(filepath.Join(dir, "profiles", "*.json"))
		if err != nil {
			t.Fatal(err)
		}
		config := &api.Config{Version: 1, Profiles: map[string]api.Profile{}}
		for _, file := range files {
			p, err := (&env{}).readProfile(file)
			if err != nil {
				t.Fatal(err)
			}
			config.Profiles[p.Name] = p
		}
		for _, finding := range feasibility.Check(config, exampleWorkers(standin)) {
			t.Errorf("%s: %+v", site, finding)
		}
	}
}

// exampleWorkers returns the workers of a site with three workers of a zone in each
// rack. A worker's id is worker-ZONE-NUMBER.
func exampleWorkers(s *settings.Standin) []feasibility.Worker {
	const workersPerRack = 3
	var workers []feasibility.Worker
	inZone := map[string]int{}
	for _, w := range s.Workers {
		id := string(w.ID)
		zone := strings.TrimPrefix(id[:strings.LastIndex(id, "-")], "worker-")
		rack := fmt.Sprintf("%s-r%d", zone, inZone[zone]/workersPerRack+1)
		inZone[zone]++
		capacity := api.Resources{Accelerators: w.Accelerators, MilliCPU: w.MilliCPU, MemoryMB: w.MemoryMB}
		workers = append(workers, feasibility.Worker{Name: id, Zone: zone, Rack: rack, Capacity: capacity})
	}
	return workers
}
