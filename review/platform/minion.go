package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	checkInInterval = 1500 * time.Millisecond
	maxHold         = 10 * time.Second
	stopDuration    = 100 * time.Millisecond
	minionTick      = 5 * time.Millisecond
	maxListedEnds   = 500
)

// resources is the capacity of a minion or the need of a task.
type resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// taskRun is one run of a task on one life of a minion.
type taskRun struct {
	task, minion string
	life         int
	run, token   uint64
	need         resources
	begin, end   time.Duration // of the record; end is 0 while it runs
	how          string        // how it ended
	acknowledged time.Duration // when last_seen reached the end, unless the lease had lapsed between
	number       uint64
	work         time.Duration
	checkpoints  bool
	doneBefore   time.Duration // work that the checkpoint saved
	stopAt       time.Duration
}

// minion is a stand-in of one worker. It guards its capacity.
type minion struct {
	rec      *recorder
	name     string // of the machine
	zone     string
	rack     string
	service  string
	capacity resources
	address  string
	agent    string // address of the agent's listener for check-ins
	// workOf returns the work of a task.
	workOf func(task, spec string) taskWork

	mu       sync.Mutex
	id       string
	life     int
	bornUnix int64
	bornAt   time.Duration
	token    uint64
	leaseEnd time.Duration
	lapsedAt time.Duration // when the lease was last over; 0 if it never was
	seq      uint64
	running  map[string]*taskRun
	highest  map[string]uint64
	ended    []*taskRun
	lastEnd  uint64
	dark     bool
	changed  chan struct{}
	all      []*taskRun // of all lives
	server   *http.Server
	stopped  chan struct{}
}

// taskWork is what a task needs and how long it works.
type taskWork struct {
	need        resources
	work        time.Duration
	checkpoints bool
}

func (m *minion) start() error {
	m.begin(true)
	m.stopped = make(chan struct{})
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }() // returns when it is closed
	go m.loop()
	return nil
}

func (m *minion) close() {
	close(m.stopped)
	_ = m.server.Close() // ends the calls in progress too
}

// begin starts a life with nothing of the one before. The caller holds the lock, or
// is the only one to know m.
func (m *minion) begin(newID bool) {
	m.life++
	if newID {
		m.id = fmt.Sprintf("i-%s%03x", strings.TrimPrefix(m.name, "m-"), m.life)
	}
	m.bornUnix, m.bornAt = time.Now().UnixMilli(), m.rec.now()
	m.token, m.leaseEnd, m.lapsedAt, m.seq, m.lastEnd = 0, 0, 0, 0, 0
	m.running, m.highest, m.ended = map[string]*taskRun{}, map[string]uint64{}, nil
	m.changed = make(chan struct{})
	m.dark = false
}

// crash ends the life without a word: calls get no answer and are not carried out.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.rec.now()
	for _, r := range m.running {
		r.end, r.how = now, "crashed"
	}
	m.dark = true
	m.rec.line("minion %s crashes with %d runs", m.id, len(m.running))
	m.running = map[string]*taskRun{}
}

// restart starts the next life, under the same id or a new one, and checks in.
func (m *minion) restart(newID bool) {
	m.mu.Lock()
	m.begin(newID)
	m.rec.line("minion %s is up again, born %d", m.id, m.bornUnix)
	m.mu.Unlock()
	m.checkIn()
}

func (m *minion) loop() {
	tick := time.NewTicker(minionTick)
	defer tick.Stop()
	beat := time.NewTicker(checkInInterval)
	defer beat.Stop()
	go m.checkIn()
	for {
		select {
		case <-m.stopped:
			return
		case <-tick.C:
			m.mu.Lock()
			m.advance()
			m.mu.Unlock()
		case <-beat.C:
			go m.checkIn()
		}
	}
}

// advance ends the runs that are done, stopped or without a lease.
func (m *minion) advance() {
	now := m.rec.now()
	lapsed := m.leaseEnd > 0 && now >= m.leaseEnd
	if lapsed {
		m.lapsedAt = m.leaseEnd
	}
	for _, r := range m.running {
		switch {
		case lapsed:
			m.endRun(r, "lapsed", now)
		case r.stopAt > 0 && now >= r.stopAt:
			m.endRun(r, "stopped", now)
		case r.doneBefore+now-r.begin >= r.work:
			m.endRun(r, "done", now)
		}
	}
}

func (m *minion) endRun(r *taskRun, how string, now time.Duration) {
	delete(m.running, r.task)
	m.lastEnd++
	r.end, r.how, r.number = now, how, m.lastEnd
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.ended = append(m.ended, r)
	m.rec.line("minion %s ends %s run %d: %s", m.id, r.task, r.run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) clock() int64 { return (m.rec.now() - m.bornAt).Milliseconds() }

// checkIn sends one check-in.
func (m *minion) checkIn() {
	m.mu.Lock()
	if m.dark {
		m.mu.Unlock()
		return
	}
	m.seq++
	id := m.id
	body := map[string]any{"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": m.capacity, "labels": []string{"a", m.rack}, "clock_ms": m.clock(), "seq": m.seq,
		"born": m.bornUnix, "machine": m.name}
	m.mu.Unlock()
	if status := putCheckIn(m.agent, id, body); status != http.StatusOK {
		m.rec.line("check-in of %s: status %d", id, status)
	}
}

// putCheckIn sends a check-in and returns the status of the answer, 0 for none.
func putCheckIn(agent, id string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+agent+"/coltsfootlug/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // the body is not used
	return response.StatusCode
}

// call is the body of an order.
type call struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the agent.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark {
		m.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-m.stopped:
		}
		m.mu.Lock()
		panic(http.ErrAbortHandler) // no answer
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if c.Token < m.token {
		m.reject(w, "fence")
		return
	}
	m.token = c.Token
	m.advance()
	switch r.URL.Path {
	case "/coltsfootlug/run-start":
		m.startRun(w, c)
	case "/coltsfootlug/run-stop":
		m.stopRun(w, c)
	case "/coltsfootlug/hold":
		m.hold(w, r, c)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // all values are plain
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the agent may have gone
}

func (m *minion) reject(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason})
}

// extend takes the deadline of a call, shortened to maxHold.
func (m *minion) extend(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	now := m.rec.now()
	m.leaseEnd = max(m.leaseEnd, min(m.bornAt+time.Duration(deadlineMS)*time.Millisecond, now+maxHold))
}

func (m *minion) startRun(w http.ResponseWriter, c call) {
	now := m.rec.now()
	active := m.running[c.Task]
	work := m.workOf(c.Task, c.Spec)
	deadline := m.bornAt + time.Duration(c.DeadlineMS)*time.Millisecond
	switch {
	case active != nil && active.run == c.Run:
		answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
		return
	case active != nil || c.Run <= m.highest[c.Task]:
		m.extend(c.DeadlineMS)
		m.reject(w, "old")
		return
	case now >= deadline:
		m.reject(w, "late")
		return
	case !m.fits(work.need):
		m.extend(c.DeadlineMS)
		m.reject(w, "room")
		return
	}
	m.extend(c.DeadlineMS)
	r := &taskRun{task: c.Task, minion: m.id, life: m.life, run: c.Run, token: c.Token, need: work.need, begin: now, work: work.work, checkpoints: work.checkpoints}
	if ms := int64(0); c.Checkpoint != "" && work.checkpoints {
		if _, err := fmt.Sscanf(c.Checkpoint, "%016x", &ms); err == nil {
			r.doneBefore = time.Duration(ms) * time.Millisecond
		}
	}
	m.running[c.Task] = r
	m.all = append(m.all, r)
	m.rec.line("minion %s (born %d) starts %s run %d", m.id, m.bornUnix, c.Task, c.Run)
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

func (m *minion) fits(need resources) bool {
	for _, r := range m.running {
		need.CPU, need.Memory, need.GPU = need.CPU+r.need.CPU, need.Memory+r.need.Memory, need.GPU+r.need.GPU
	}
	return need.CPU <= m.capacity.CPU && need.Memory <= m.capacity.Memory && need.GPU <= m.capacity.GPU
}

func (m *minion) stopRun(w http.ResponseWriter, c call) {
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.running[c.Task]; r != nil && r.run == c.Run && r.stopAt == 0 {
		r.stopAt = m.rec.now() + stopDuration
		m.rec.line("minion %s is told to stop %s run %d", m.id, c.Task, c.Run)
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, c call) {
	m.extend(c.DeadlineMS)
	now := m.rec.now()
	for len(m.ended) > 0 && m.ended[0].number <= c.LastSeen {
		if m.lapsedAt <= m.ended[0].end { // else the end stands for nothing
			m.ended[0].acknowledged = now
		}
		m.ended = m.ended[1:]
	}
	if life := m.life; len(m.ended) == 0 && c.WaitMS > 0 {
		m.await(r.Context(), time.Duration(c.WaitMS)*time.Millisecond)
		if m.life != life || m.dark {
			panic(http.ErrAbortHandler) // the life that was asked is over
		}
	}
	m.advance()
	running, ended := [][]any{}, [][]any{}
	for _, t := range m.running {
		running = append(running, []any{t.task, t.run, t.checkpoint(m.rec.now()), t.percent(m.rec.now())})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	if len(m.ended) > maxListedEnds {
		m.rec.line("minion %s lists %d of %d ends", m.id, maxListedEnds, len(m.ended))
	}
	for _, t := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{t.number, t.task, t.run, t.how, t.checkpoint(t.end)})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.bornUnix, "running": running, "ended_runs": ended})
}

func (m *minion) await(ctx context.Context, wait time.Duration) {
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	case <-m.stopped:
	}
}

// percent returns the progress in whole percent.
func (t *taskRun) percent(now time.Duration) int {
	return min(99, int(100*(t.doneBefore+now-t.begin)/t.work))
}

// checkpoint returns the newest checkpoint, one of each half second of work.
func (t *taskRun) checkpoint(now time.Duration) string {
	if !t.checkpoints {
		return ""
	}
	saved := (t.doneBefore + now - t.begin).Truncate(500 * time.Millisecond)
	return fmt.Sprintf("%016x", saved.Milliseconds())
}

// runs returns copies of all runs of all lives.
func (m *minion) runs() []taskRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]taskRun, len(m.all))
	for i, r := range m.all {
		out[i] = *r
	}
	return out
}

// use returns what the running tasks use.
func (m *minion) use() (sum resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		sum.CPU, sum.Memory, sum.GPU = sum.CPU+r.need.CPU, sum.Memory+r.need.Memory, sum.GPU+r.need.GPU
	}
	return sum
}
