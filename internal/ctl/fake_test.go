package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
)

// fakeEntry serves the HTTP API of an entry from memory. faults holds one fault for
// each of the next calls: "late", "hangup", or a problem as STATUS/RETRY-AFTER/OUTCOME.
type fakeEntry struct {
	server *httptest.Server

	mu       sync.Mutex
	version  uint64
	profiles map[string]api.Profile
	zones    map[string]api.AvailabilityZone
	jobs     []api.JobRecord
	faults   []string
}

func newFakeEntry() *fakeEntry {
	f := &fakeEntry{profiles: map[string]api.Profile{}, zones: map[string]api.AvailabilityZone{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/profiles/{name}", f.getProfile)
	mux.HandleFunc("PUT /v1/profiles/{name}", f.putProfile)
	mux.HandleFunc("DELETE /v1/profiles/{name}", f.deleteProfile)
	mux.HandleFunc("PUT /v1/zones/{name}", f.putZone)
	mux.HandleFunc("GET /v1/zones", f.listZones)
	mux.HandleFunc("POST /v1/jobs", f.postJob)
	mux.HandleFunc("GET /v1/jobs", f.listJobs)
	mux.HandleFunc("GET /v1/jobs/{id}", f.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.getJob)
	mux.HandleFunc("POST /v1/services/{service}/requests", f.postRequest)
	mux.HandleFunc("GET /v1/config/status", f.getStatus)
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, map[string]int{"links": 2}) })
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.faults) == 0 {
			mux.ServeHTTP(w, r)
			return
		}
		fault := f.faults[0]
		f.faults = f.faults[1:]
		if fault == "late" { // the call takes effect and the response is lost
			mux.ServeHTTP(httptest.NewRecorder(), r)
		}
		f.injectFault(w, fault)
	}))
	return f
}

func (f *fakeEntry) injectFault(w http.ResponseWriter, fault string) {
	var status, retryAfter int
	var outcome string
	if n, _ := fmt.Sscanf(fault, "%d/%d/%s", &status, &retryAfter, &outcome); n == 0 {
		panic(http.ErrAbortHandler)
	}
	if outcome != "" {
		w.Header().Set(httpx.HeaderOutcome, outcome)
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(retryAfter))
	}
	writeProblem(w, httpx.Problemf(status, "fault of the test"))
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	w.Header().Set("Content-Type", httpx.ContentTypeProblem)
	writeJSON(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func decodeBody[T any](r *http.Request) T {
	var v T
	_ = json.NewDecoder(r.Body).Decode(&v)
	return v
}

func (f *fakeEntry) getProfile(w http.ResponseWriter, r *http.Request) {
	p, ok := f.profiles[r.PathValue("name")]
	if !ok {
		writeProblem(w, httpx.Problemf(404, "profile %q does not exist", r.PathValue("name")))
		return
	}
	writeJSON(w, 200, p)
}

// rejectStaleVersion rejects a change whose If-Match is not the current version, and
// reports whether it did.
func rejectStaleVersion(w http.ResponseWriter, r *http.Request, current uint64) bool {
	tag := r.Header.Get("If-Match")
	if tag == "" || tag == httpx.ETag(current) {
		return false
	}
	p := httpx.Problemf(412, "item has another version")
	p.Version = current
	writeProblem(w, p)
	return true
}

func (f *fakeEntry) putProfile(w http.ResponseWriter, r *http.Request) {
	p := decodeBody[api.Profile](r)
	if rejectStaleVersion(w, r, f.profiles[p.Name].Version) {
		return
	}
	if p.Guarantee != nil {
		w.Header().Set(httpx.HeaderWarning, "holds only while all zones are in")
	}
	f.version++
	p.Version = f.version
	f.profiles[p.Name] = p
	writeJSON(w, 200, p)
}

func (f *fakeEntry) deleteProfile(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if rejectStaleVersion(w, r, f.profiles[name].Version) {
		return
	}
	delete(f.profiles, name)
	w.WriteHeader(http.StatusNoContent)
}

func (f *fakeEntry) putZone(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if rejectStaleVersion(w, r, f.zones[name].Version) {
		return
	}
	f.version++
	f.zones[name] = api.AvailabilityZone{Name: name, State: decodeBody[api.AvailabilityZone](r).State, Version: f.version}
	writeJSON(w, 200, f.zones[name])
}

func (f *fakeEntry) listZones(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, 200, map[string]any{"zones": []api.AvailabilityZone{f.zones["zone-a"], f.zones["zone-b"]}})
}

func (f *fakeEntry) postJob(w http.ResponseWriter, r *http.Request) {
	job := decodeBody[api.Job](r)
	job.IdempotencyKey = r.Header.Get("Idempotency-Key")
	for _, record := range f.jobs {
		if record.Job.IdempotencyKey == job.IdempotencyKey {
			writeJSON(w, 202, record)
			return
		}
	}
	job.ID = fmt.Sprintf("job-%d", len(f.jobs)+1)
	job.Submitted = time.Date(2026, 2, 1, 3, 0, 0, 0, time.UTC)
	record := api.JobRecord{Job: job, State: api.JobQueued}
	f.jobs = append(f.jobs, record)
	writeJSON(w, 202, record)
}

// listJobs returns pages of one job each.
func (f *fakeEntry) listJobs(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	for i, record := range f.jobs {
		if record.Job.ID <= after {
			continue
		}
		page := map[string]any{"jobs": []api.JobRecord{record}}
		if i+1 < len(f.jobs) {
			page["next"] = record.Job.ID
		}
		writeJSON(w, 200, page)
		return
	}
	writeJSON(w, 200, map[string]any{"jobs": []api.JobRecord{}})
}

func (f *fakeEntry) getJob(w http.ResponseWriter, r *http.Request) {
	for i, record := range f.jobs {
		if record.Job.ID != r.PathValue("id") {
			continue
		}
		f.jobs[i].CancelAsked = record.CancelAsked || r.Method == http.MethodDelete
		writeJSON(w, 200, f.jobs[i])
		return
	}
	writeProblem(w, httpx.Problemf(404, "job %q does not exist", r.PathValue("id")))
}

// finishJob makes a job final with the given outcome.
func (f *fakeEntry) finishJob(id string, outcome api.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.jobs {
		if f.jobs[i].Job.ID == id {
			f.jobs[i].State = api.JobFinal
			f.jobs[i].Outcome = outcome
			f.jobs[i].Results = []api.TaskResult{{Tasks: 2, Output: json.RawMessage(`{"nights":3}`)}}
		}
	}
}

// postRequest echoes the request's headers and body.
func (f *fakeEntry) postRequest(w http.ResponseWriter, r *http.Request) {
	body := new(strings.Builder)
	for _, name := range []string{httpx.HeaderProfile, httpx.HeaderIdempotencyKey, httpx.HeaderIdempotent, httpx.HeaderTimeout} {
		fmt.Fprintf(body, "%s=%s ", name, r.Header.Get(name))
	}
	w.Header().Set(httpx.HeaderOutcome, "done")
	w.Header().Set("Content-Type", "text/plain")
	var data [64]byte
	n, _ := r.Body.Read(data[:])
	fmt.Fprintf(w, "%s%s: %s", body, r.PathValue("service"), data[:n])
}

// getStatus reports a configuration in force on one entry. While zone-b is out it
// also reports maxListedProcesses agents, one of them behind.
func (f *fakeEntry) getStatus(w http.ResponseWriter, _ *http.Request) {
	status := api.ConfigStatus{Version: f.version, InForce: f.zones["zone-b"].State != api.ZoneOut}
	status.Processes = []api.ProcessConfig{{Process: "e1", Role: "entry", Zone: "zone-a", Version: f.version, AgeMS: 150}}
	if !status.InForce {
		for i := range maxListedProcesses {
			p := api.ProcessConfig{Process: fmt.Sprintf("w%d", i), Role: "agent", Zone: "zone-a", Version: f.version}
			status.Processes = append(status.Processes, p)
		}
		status.Processes[7].Version--
	}
	writeJSON(w, 200, status)
}
