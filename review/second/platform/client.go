package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job, as a client sends it.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	Memory     int    `json:"mem_mb,omitempty"`
	GPU        int    `json:"gpu,omitempty"`
	EstimateMS int    `json:"estimate_ms,omitempty"`
	Requires   string `json:"requires,omitempty"`
}

const clientDeadline = 3 * time.Second

// call sends a request of a client to an entry and returns the status and the body; the status
// is 0 if no answer came.
func (d *deployment) call(h *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // all bodies are plain
		}
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", h.ip, frontPort, queuePrefix, id), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Token "+tenantKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := http.Client{Timeout: clientDeadline}
	response, err := client.Do(request)
	if err != nil {
		d.rec.add("client", "%s %s at %s: no answer: %v", method, id, h.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	d.rec.add("client", "%s %s at %s: %d %s", method, id, h.name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, string(answer)
}

// submit hands a job in until it is accepted, at each entry in turn.
func (d *deployment) submit(id, spec string, steps ...step) error {
	for try := range 20 {
		status, _ := d.call(d.entries[try%len(d.entries)], http.MethodPost, id, object{"spec": spec, "steps": steps})
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job, "" if no entry has told it.
func (d *deployment) state(id string) string {
	for _, h := range d.entries {
		status, body := d.call(h, http.MethodGet, id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// awaitState waits until a job has one of the states and returns its last known state.
func (d *deployment) awaitState(id string, within time.Duration, states ...string) string {
	last := ""
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		if s := d.state(id); s != "" {
			last = s
		}
		for _, s := range states {
			if s == last {
				return last
			}
		}
	}
	return last
}

// awaitStart waits for the given number of starts of a job and returns the last of them.
func (d *deployment) awaitStart(id string, number int, within time.Duration) (startedRun, error) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if starts := d.startsOf(id); len(starts) >= number {
			return starts[number-1], nil
		}
	}
	return startedRun{}, fmt.Errorf("start %d of job %s has not come within %v", number, id, within)
}

// awaitService waits until a job of one short task is done.
func (d *deployment) awaitService() error {
	const probe = "00000000000000aa"
	if err := d.submit(probe, encodeSpec(50*time.Millisecond, 1), step{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 50}); err != nil {
		return err
	}
	if s := d.awaitState(probe, 15*time.Second, "completed"); s != "completed" {
		return fmt.Errorf("the first job is %q", s)
	}
	time.Sleep(2 * time.Second) // all minions have reported by then
	return nil
}
