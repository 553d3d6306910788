// Command demo starts a complete small system on loopback, drives it with
// coltsfootctl and prints the results. It exits with status 0 if each step had the
// expected result.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	demoTimeout = 55 * time.Second
	// inForceLimit bounds the time until a configuration change is in force in every process.
	inForceLimit    = 3 * time.Second
	observationTime = 2 * time.Second
	pollInterval    = 50 * time.Millisecond
	// inProgressTime lets requests end that were running when the zone was taken out.
	inProgressTime = 500 * time.Millisecond
	gangTime       = 6 * time.Second
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	f, err := newFleet()
	if err != nil {
		return err
	}
	fmt.Println("coltsfootlug demo")
	fmt.Println("logs and settings:", f.dir)
	defer func() {
		failed := f.stop()
		if err == nil && len(failed) > 0 {
			err = errors.Errorf("processes did not stop gracefully:\n%s", strings.Join(failed, "\n"))
		}
		if err == nil {
			fmt.Printf("\nStopped %d processes gracefully, all with exit status 0.\n", len(f.processes))
		}
	}()
	t, err := startTopology(f)
	if err != nil {
		return err
	}
	fmt.Printf("\nStarted %d processes: stand-ins, 2 entries, %d agents in zones %s.\n",
		len(f.processes), len(f.processes)-3, strings.Join(zones, ", "))
	d := &demo{ctx: ctx, topology: t}
	for _, step := range []func() error{d.setProfiles, d.sendRequest, d.runGangJob, d.cycleZone} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

type demo struct {
	ctx      context.Context
	topology *topology
}

func (d *demo) ctl(args ...string) (string, error) {
	return d.topology.fleet.ctl(d.ctx, d.topology.balancerURL, args...)
}

// waitUntil repeats a check until it succeeds or the limit has passed. It returns the
// time that this took.
func (d *demo) waitUntil(what string, limit time.Duration, check func() (bool, error)) (time.Duration, error) {
	began := time.Now()
	for {
		ok, err := check()
		if ok {
			return time.Since(began), nil
		}
		if time.Since(began) > limit {
			return 0, errors.Errorf("%s: not after %v (last error: %v)", what, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

func section(format string, args ...any) { fmt.Printf("\n== "+format+"\n", args...) }

func (d *demo) setProfiles() error {
	section("Profiles")
	docs := map[string]string{
		"survey":         `{"name":"survey","client_account":"county","weight":2}`,
		"reconstruction": `{"name":"reconstruction","client_account":"clinic","guarantee":{"gangs":1,"shape":{"tasks":2,"per_task":{"accelerators":8,"milli_cpu":8000,"memory_mb":16000},"adjacency":"rack"}}}`,
	}
	for name, doc := range docs {
		path := d.topology.fleet.dir + "/profile-" + name + ".json"
		if err := os.WriteFile(path, []byte(doc), 0o600); err != nil {
			return errors.Trace(err)
		}
		if _, err := d.ctl("profiles", "set", path); err != nil {
			return err
		}
	}
	if err := d.awaitInForce(); err != nil {
		return err
	}
	out, err := d.ctl("profiles", "list")
	fmt.Print(out)
	return err
}

// awaitInForce waits until the newest configuration is in force in every process.
func (d *demo) awaitInForce() error {
	took, err := d.waitUntil("configuration in force", inForceLimit, func() (bool, error) {
		out, err := d.ctl("--json", "config", "status")
		if err != nil {
			return false, err
		}
		var status struct {
			InForce bool `json:"in_force"`
		}
		err = json.Unmarshal([]byte(out), &status)
		return status.InForce, err
	})
	if err == nil {
		fmt.Printf("in force in every process after %v\n", took.Round(10*time.Millisecond))
	}
	return err
}

func (d *demo) sendRequest() error {
	section("Request")
	path := d.topology.fleet.dir + "/request.json"
	if err := os.WriteFile(path, []byte(`{"tree":"samaan-17","finding":"consent"}`), 0o600); err != nil {
		return errors.Trace(err)
	}
	out, err := d.ctl("request", "--profile", "survey", "--key", "consent-samaan-17", "--file", path, "assessment")
	if err != nil {
		return err
	}
	fmt.Println("answer:", strings.TrimSpace(out))
	again, err := d.ctl("request", "--profile", "survey", "--key", "consent-samaan-17", "--file", path, "assessment")
	if err != nil {
		return err
	}
	if again != out {
		return errors.Errorf("the same key got another answer: %s", again)
	}
	fmt.Println("the same key again, through the other entry: the same answer, not run twice")
	return nil
}

func (d *demo) runGangJob() error {
	section("Gang job")
	record, err := d.submitGang("night-1", time.Second)
	if err != nil {
		return err
	}
	return d.awaitDone(record.Job.ID)
}

// jobRecord is the part of a job's record that the demo reads.
type jobRecord struct {
	Job struct {
		ID string `json:"id"`
	} `json:"job"`
	State      string `json:"state"`
	Attempt    int    `json:"attempt"`
	Outcome    string `json:"outcome"`
	Detail     string `json:"detail"`
	Placements []struct {
		Worker string `json:"worker"`
		Zone   string `json:"zone"`
		Tasks  int    `json:"tasks"`
	} `json:"placements"`
	Results json.RawMessage `json:"results"`
}

// submitGang submits a gang of two tasks, each of which takes all accelerators of a
// worker.
func (d *demo) submitGang(key string, run time.Duration) (jobRecord, error) {
	out, err := d.ctl("--json", "jobs", "submit", "--key", key, "--profile", "reconstruction",
		"--tasks", "2", "--accelerators", "8", "--milli-cpu", "8000", "--memory-mb", "16000",
		"--adjacency", "rack", "--idempotent", "--checkpointable", "--declared-run", run.String(),
		"--data", fmt.Sprintf(`{"run_ms":%d,"result":"stages of %s"}`, run.Milliseconds(), key))
	if err != nil {
		return jobRecord{}, err
	}
	return decodeRecord(out)
}

// results returns the results without white space.
func (r jobRecord) results() string {
	var out bytes.Buffer
	if err := json.Compact(&out, r.Results); err != nil {
		return err.Error()
	}
	return out.String()
}

// placementText lists the workers of the gang with their zones.
func (r jobRecord) placementText() string {
	var parts []string
	for _, p := range r.Placements {
		parts = append(parts, fmt.Sprintf("%s in %s", p.Worker, p.Zone))
	}
	return strings.Join(parts, " and ")
}

func decodeRecord(text string) (jobRecord, error) {
	var r jobRecord
	err := json.Unmarshal([]byte(text), &r)
	return r, errors.Annotatef(err, "job record %q", text)
}

func (d *demo) awaitDone(id string) error {
	out, err := d.ctl("--json", "jobs", "wait", id)
	if err != nil {
		return err
	}
	r, err := decodeRecord(out)
	if err != nil {
		return err
	}
	fmt.Printf("job %s: %s in attempt %d on %s, results %s\n", id, r.Outcome, r.Attempt, r.placementText(), r.results())
	if r.Outcome != "done" {
		return errors.Errorf("job %s: %s %s", id, r.Outcome, r.Detail)
	}
	return nil
}

func (d *demo) awaitRunning(id string) (jobRecord, error) {
	var r jobRecord
	_, err := d.waitUntil("job "+id+" running", 10*time.Second, func() (bool, error) {
		out, err := d.ctl("--json", "jobs", "get", id)
		if err != nil {
			return false, err
		}
		r, err = decodeRecord(out)
		return r.State == "running", err
	})
	return r, err
}

// cycleZone takes the zone of a running gang out and back in under a load of requests.
func (d *demo) cycleZone() error {
	section("Availability zone out and back in, under load")
	record, err := d.submitGang("night-2", gangTime)
	if err != nil {
		return err
	}
	running, err := d.awaitRunning(record.Job.ID)
	if err != nil {
		return err
	}
	zone := running.Placements[0].Zone
	fmt.Printf("job %s runs on %s\n", record.Job.ID, running.placementText())
	l := startLoad(d.topology.balancerURL)
	began := time.Now()
	time.Sleep(observationTime)
	fmt.Println("requests done before:", formatCounts(l.doneByMinion(began, time.Now())))
	if err := d.takeZoneOut(zone, l); err != nil {
		return err
	}
	if err := d.awaitDone(record.Job.ID); err != nil {
		return err
	}
	if err := d.bringZoneBack(zone, l); err != nil {
		return err
	}
	l.stopAndWait()
	counts, failures := l.outcomes()
	fmt.Println("all requests of the load:", formatCounts(counts))
	if len(failures) > 0 || len(counts) != 1 || counts["done"] == 0 {
		return errors.Errorf("load: %s; failures %v", formatCounts(counts), failures)
	}
	return nil
}

func (d *demo) setZone(zone, state string) error {
	if _, err := d.ctl("zones", state, zone); err != nil {
		return err
	}
	fmt.Printf("zone %s %s: ", zone, state)
	return d.awaitInForce()
}

func (d *demo) takeZoneOut(zone string, l *load) error {
	if err := d.setZone(zone, "out"); err != nil {
		return err
	}
	time.Sleep(inProgressTime)
	began := time.Now()
	time.Sleep(observationTime)
	done := l.doneByMinion(began, time.Now())
	fmt.Println("requests done while it was out:", formatCounts(done))
	if n := done["minion-"+zone]; n > 0 {
		return errors.Errorf("zone %s is out, and its minion answered %d requests", zone, n)
	}
	return nil
}

func (d *demo) bringZoneBack(zone string, l *load) error {
	if err := d.setZone(zone, "in"); err != nil {
		return err
	}
	began := time.Now()
	_, err := d.waitUntil("zone "+zone+" takes requests again", 10*time.Second, func() (bool, error) {
		return l.doneByMinion(began, time.Now())["minion-"+zone] > 0, nil
	})
	if err != nil {
		return err
	}
	time.Sleep(observationTime)
	fmt.Println("requests done after its return:", formatCounts(l.doneByMinion(began, time.Now())))
	return nil
}
