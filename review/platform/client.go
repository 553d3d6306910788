package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientRetries  = 4
	retryPause     = 300 * time.Millisecond
)

// step is a step of a job as a client sends it.
type step struct {
	Count       int     `json:"count"`
	CPU         int     `json:"cpu,omitempty"`
	Memory      int     `json:"mem_mb,omitempty"`
	GPU         int     `json:"gpu,omitempty"`
	EstimateMS  float64 `json:"estimate_ms,omitempty"`
	After       []int   `json:"after,omitempty"`
	Requires    string  `json:"requires,omitempty"`
	Checkpoints bool    `json:"checkpoints,omitempty"`

	work time.Duration // of each task, which only the minions know
}

// job is a job and what its client has seen of it.
type job struct {
	id     string
	prefix string
	steps  []step

	mu        sync.Mutex
	submitted time.Duration // first send
	accepted  time.Duration // 2xx; 0 if none
	attempts  []int         // the statuses of all attempts
	state     string        // last state shown
	stateAt   time.Duration
	completed time.Duration // first time that it was shown as completed
}

// clients sends the requests of all clients and knows their jobs.
type clients struct {
	d   *deployment
	rec *recorder

	mu   sync.Mutex
	jobs []*job
	byID map[string]*job
	next int
}

func newClients(rec *recorder) *clients { return &clients{rec: rec, byID: map[string]*job{}} }

// newJob returns a job with a random id.
func (c *clients) newJob(prefix string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, steps: steps}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
	c.byID[j.id] = j
	return j
}

// workOf tells a minion about a task, whose name is JOB.K.STEP.INDEX.
func (c *clients) workOf(task, _ string) taskWork {
	var k, number, index int
	if len(task) < 17 {
		return taskWork{}
	}
	if _, err := fmt.Sscanf(task[16:], ".%d.%d.%d", &k, &number, &index); err != nil {
		return taskWork{}
	}
	c.mu.Lock()
	j := c.byID[task[:16]]
	c.mu.Unlock()
	if j == nil || number >= len(j.steps) {
		return taskWork{}
	}
	s := j.steps[number]
	return taskWork{need: resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}, work: s.work, checkpoints: s.Checkpoints}
}

// entry returns the address of the next entry, as the platform's balancer spreads
// connections.
func (c *clients) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.d.at(1, 1+c.next%entryCount, portFront)
}

// send sends one request and returns the status, 0 for no answer.
func (c *clients) send(method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+tenantKey)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit hands a job in, with retries, and reports whether it was accepted.
func (c *clients) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"spec": "work of " + j.id, "steps": j.steps})
	if err != nil {
		panic(err) // steps are plain structs
	}
	j.mu.Lock()
	j.submitted = c.rec.now()
	j.mu.Unlock()
	for range 1 + clientRetries {
		status, answer := c.send(http.MethodPost, j.prefix+j.id, body)
		c.rec.line("POST %s%s (%d steps, %d bytes): %d %s", j.prefix, j.id, len(j.steps), len(body), status, answer)
		j.mu.Lock()
		j.attempts = append(j.attempts, status)
		if status/100 == 2 {
			j.accepted = c.rec.now()
		}
		ok := j.accepted > 0
		j.mu.Unlock()
		if ok || status == http.StatusBadRequest || status == http.StatusNotFound {
			return ok
		}
		time.Sleep(retryPause)
	}
	return false
}

// poll asks for the state of a job once.
func (c *clients) poll(j *job) (status int, state string) {
	status, data := c.send(http.MethodGet, j.prefix+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &body) != nil {
		body.State = "unreadable"
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if body.State != j.state || status != http.StatusOK {
		c.rec.line("GET %s%s: %d %s", j.prefix, j.id, status, body.State)
	}
	if status == http.StatusOK {
		j.state, j.stateAt = body.State, c.rec.now()
		if body.State == "completed" && j.completed == 0 {
			j.completed = j.stateAt
		}
	}
	return status, body.State
}

// pollAll asks for all jobs that are not shown as final, until the limit.
func (c *clients) pollAll(limit time.Duration, pause time.Duration) {
	for c.rec.now() < limit {
		open := c.open()
		if len(open) == 0 {
			return
		}
		for _, j := range open {
			c.poll(j)
		}
		time.Sleep(pause)
	}
}

// open returns the accepted jobs that are not shown as final.
func (c *clients) open() (out []*job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		j.mu.Lock()
		if j.accepted > 0 && j.state != "completed" && j.state != "failed" && j.state != "cancelled" {
			out = append(out, j)
		}
		j.mu.Unlock()
	}
	return out
}
