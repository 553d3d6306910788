package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, as in the settings of the processes.
const (
	maxHold        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	checkInEvery   = 1500 * time.Millisecond
	maxListedEnds  = 500
	checkInTimeout = time.Second
)

type object = map[string]any

// minionSpec describes a minion.
type minionSpec struct {
	zone, kind, rack string
	gpu              int
}

// minionRun is a run of a task on a minion.
type minionRun struct {
	task   string
	run    uint64
	since  time.Time
	work   time.Duration
	gpu    int
	stopAt time.Time // zero unless it was stopped
}

type minionEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// startedRun is a start that a minion has carried out, for the checks.
type startedRun struct {
	at     time.Time
	minion string
	id     string // of the minion's life
	labels []string
	task   string
	run    uint64
	// afterDone is set if an end done of the task had been taken note of before.
	afterDone bool
	// beside holds the runs of the task that had not ended.
	beside []startedRun
}

// minion is a stand-in of a minion, as the platform's pages describe it.
type minion struct {
	name    string // of its machine
	spec    minionSpec
	service string
	address string // for orders
	control string // of its side machine
	rec     *recorder
	onStart func(startedRun)
	onEnd   func(task string, run uint64, how string)
	onNoted func(task string, run uint64, how string)
	server  *http.Server

	mu      sync.Mutex
	id      string
	born    time.Time
	up      bool
	cut     chan struct{} // not nil while the minion is cut off; closed at the end
	fence   uint64
	lease   time.Time
	runs    map[string]*minionRun
	ended   []minionEnd
	lastEnd uint64
	highest map[string]uint64 // by task, the highest run that was stopped or has ended
	changed chan struct{}
	seq     uint64
	closed  bool
	// late, if not nil, tells which orders get no answer and are kept, to be carried out late.
	late func(path string, o *order) bool
	kept []keptOrder
	// orders counts the orders that have come, unanswered those that were left unanswered.
	orders, unanswered int
}

// keptOrder is an order that was left unanswered.
type keptOrder struct {
	path   string
	header http.Header
	order  order
	at     time.Time
}

func newMinion(name, service, address, control string, spec minionSpec, rec *recorder) *minion {
	return &minion{name: name, service: service, address: address, control: control, spec: spec, rec: rec, id: "i-" + name}
}

// begin starts a life of the minion under its id. Orders atBirth are the first ones that it
// carries out.
func (m *minion) begin(atBirth ...keptOrder) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: m}
	m.mu.Lock()
	m.server = server
	m.mu.Unlock()
	m.beginLife(atBirth)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// beginLife starts a life of the minion; orders atBirth are the first ones that it carries out.
func (m *minion) beginLife(atBirth []keptOrder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.born, m.up = time.Now(), true
	m.fence, m.lease, m.seq, m.lastEnd = 0, time.Time{}, 0, 0
	m.runs, m.ended, m.highest = map[string]*minionRun{}, nil, map[string]uint64{}
	m.changed = make(chan struct{})
	m.rec.add(m.name, "starts as %s, born %d, kind %s", m.id, m.born.UnixMilli(), m.spec.kind)
	for _, k := range atBirth {
		m.carryOut(k)
	}
	go m.checkIns(m.born)
	go m.work(m.born)
}

// loseAll ends a life of the minion: what it runs is gone, and it forgets everything.
func (m *minion) loseAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	for _, r := range m.runs {
		m.rec.add(m.name, "run %s %d is lost with the minion", r.task, r.run)
		if m.onEnd != nil {
			m.onEnd(r.task, r.run, "lost")
		}
	}
	m.runs = map[string]*minionRun{}
	m.rec.add(m.name, "crashes")
}

// crash ends the minion's process: it closes its connections and forgets everything.
func (m *minion) crash() {
	m.loseAll()
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
}

// setCut cuts the minion off from its side machine, or ends the cut. What is sent meanwhile is
// lost; its runs go on.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cut {
		m.cut = make(chan struct{})
		m.rec.add(m.name, "is cut off")
		return
	}
	close(m.cut)
	m.cut = nil
	m.rec.add(m.name, "is no longer cut off")
}

func (m *minion) close() {
	m.mu.Lock()
	m.closed, m.up = true, false
	server := m.server
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// alive reports whether the life that began at born still goes on. The caller holds the lock.
func (m *minion) alive(born time.Time) bool { return m.up && !m.closed && m.born.Equal(born) }

func (m *minion) labels() []string { return []string{m.spec.kind, m.spec.rack} }

// work ends runs that are done, were stopped or have outlived the lease.
func (m *minion) work(born time.Time) {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if !m.alive(born) {
			m.mu.Unlock()
			return
		}
		m.advance(time.Now())
		m.mu.Unlock()
	}
}

func (m *minion) advance(now time.Time) {
	for _, r := range m.runs {
		switch {
		case !m.lease.IsZero() && now.After(m.lease):
			m.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(r, "stopped")
		case now.Sub(r.since) >= r.work:
			m.end(r, "done")
		}
	}
}

func (m *minion) end(r *minionRun, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.lastEnd++
	m.ended = append(m.ended, minionEnd{m.lastEnd, r.task, r.run, how})
	m.rec.add(m.name, "run %s %d ends %s", r.task, r.run, how)
	if m.onEnd != nil {
		m.onEnd(r.task, r.run, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP serves the orders of the side machine.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	cut, born := m.cut, m.born
	m.mu.Unlock()
	if cut != nil {
		<-cut
		panic(http.ErrAbortHandler)
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.keep(r, &o) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body, cut := m.handleLocked(r, &o, born)
	if cut != nil {
		<-cut
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // all answers are plain
	}
	_, _ = w.Write(data)
}

// keep keeps an order that is to be carried out late.
func (m *minion) keep(r *http.Request, o *order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders++
	if m.late == nil || !m.late(r.URL.Path, o) {
		return false
	}
	m.unanswered++
	m.rec.add(m.name, "leaves %s unanswered (%s %d, last_seen %d)", r.URL.Path, o.Task, o.Run, o.LastSeen)
	m.kept = append(m.kept, keptOrder{r.URL.Path, r.Header.Clone(), *o, time.Now()})
	return true
}

// setLate sets which orders get no answer from now on.
func (m *minion) setLate(late func(path string, o *order) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = late
}

// keptOrders returns the kept orders that match and removes them.
func (m *minion) keptOrders(match func(keptOrder) bool) []keptOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out, rest []keptOrder
	for _, k := range m.kept {
		if match(k) {
			out = append(out, k)
		} else {
			rest = append(rest, k)
		}
	}
	m.kept = rest
	return out
}

// carryOut carries out a kept order as if it arrived now. The caller holds the lock.
func (m *minion) carryOut(k keptOrder) {
	k.order.WaitMS = 0
	request := &http.Request{URL: &url.URL{Path: k.path}, Header: k.header}
	status, _ := m.handle(request, &k.order, m.born)
	m.rec.add(m.name, "carries out %s (%s %d, last_seen %d) of %.1f s ago: status %d", k.path, k.order.Task, k.order.Run, k.order.LastSeen,
		time.Since(k.at).Seconds(), status)
}

// handleLocked handles an order under the lock and returns the cut that has begun meanwhile. A
// panic closes the connection without an answer.
func (m *minion) handleLocked(r *http.Request, o *order, born time.Time) (int, object, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, body := m.handle(r, o, born)
	return status, body, m.cut
}

func (m *minion) handle(r *http.Request, o *order, born time.Time) (int, object) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		return http.StatusMisdirectedRequest, object{}
	}
	if !m.alive(born) {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	m.advance(now)
	if o.Fence < m.fence {
		return m.reject("fence")
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/coltsfootlug/run-start":
		return m.start(o, now)
	case "/coltsfootlug/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if run := m.runs[o.Task]; run != nil && run.run == o.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopTime)
		}
		return http.StatusOK, m.reply()
	case "/coltsfootlug/hold":
		return m.hold(r, o, born)
	}
	return http.StatusNotFound, object{}
}

func (m *minion) reply() object {
	return object{"clock_ms": time.Since(m.born).Milliseconds(), "born": m.born.UnixMilli()}
}

func (m *minion) reject(reason string) (int, object) {
	body := m.reply()
	body["reason"] = reason
	return http.StatusConflict, body
}

// extend extends the lease to a time on the minion's clock, at most maxHold from now.
func (m *minion) extend(deadlineMS int64, now time.Time) {
	if deadlineMS <= 0 {
		return
	}
	end := m.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := now.Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(m.lease) {
		m.lease = end
	}
}

func (m *minion) start(o *order, now time.Time) (int, object) {
	work, gpu, err := decodeSpec(o.Spec)
	if err != nil {
		return http.StatusBadRequest, object{}
	}
	active := m.runs[o.Task]
	used := gpu
	for _, r := range m.runs {
		used += r.gpu
	}
	switch {
	case active != nil && active.run == o.Run:
		return http.StatusOK, m.reply()
	case active != nil || m.highest[o.Task] >= o.Run:
		m.extend(o.DeadlineMS, now)
		return m.reject("old")
	case !m.born.Add(time.Duration(o.DeadlineMS) * time.Millisecond).After(now):
		return m.reject("late")
	case used > m.spec.gpu:
		m.extend(o.DeadlineMS, now)
		return m.reject("room")
	}
	m.extend(o.DeadlineMS, now)
	m.runs[o.Task] = &minionRun{task: o.Task, run: o.Run, since: now, work: work, gpu: gpu}
	m.rec.add(m.name, "starts run %s %d as %s, labels %s", o.Task, o.Run, m.id, strings.Join(m.labels(), ","))
	if m.onStart != nil {
		m.onStart(startedRun{at: now, minion: m.name, id: m.id, labels: m.labels(), task: o.Task, run: o.Run})
	}
	return http.StatusOK, m.reply()
}

// hold extends the lease, forgets ends that were taken note of and returns the lists.
func (m *minion) hold(r *http.Request, o *order, born time.Time) (int, object) {
	m.extend(o.DeadlineMS, time.Now())
	for len(m.ended) > 0 && m.ended[0].number <= o.LastSeen {
		e := m.ended[0]
		m.ended = m.ended[1:]
		m.rec.add(m.name, "end of run %s %d (%s) is taken note of", e.task, e.run, e.how)
		if m.onNoted != nil {
			m.onNoted(e.task, e.run, e.how)
		}
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		m.await(r, time.Duration(min(o.WaitMS, 2000))*time.Millisecond)
		if !m.alive(born) {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range m.runs {
		percent := min(99, int(100*time.Since(run.since)/run.work))
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := m.reply()
	body["running"], body["ended_runs"] = running, ended
	return http.StatusOK, body
}

// await waits for an end, without the lock.
func (m *minion) await(r *http.Request, wait time.Duration) {
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// checkIns sends the minion's check-ins during one life.
func (m *minion) checkIns(born time.Time) {
	for {
		m.mu.Lock()
		alive, cut := m.alive(born), m.cut != nil
		m.mu.Unlock()
		if !alive {
			return
		}
		if !cut {
			m.checkIn(born)
		}
		time.Sleep(checkInEvery)
	}
}

func (m *minion) checkIn(born time.Time) {
	m.mu.Lock()
	m.seq++
	seq := m.seq
	m.mu.Unlock()
	body, err := json.Marshal(object{"service": m.service, "address": m.address, "zone": m.spec.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": object{"cpu": 128000, "mem_mb": 262144, "gpu": m.spec.gpu}, "labels": m.labels(),
		"machine": m.name, "born": born.UnixMilli(), "clock_ms": time.Since(born).Milliseconds(), "seq": seq})
	if err != nil {
		panic(err) // all values are plain
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+m.control+"/coltsfootlug/instances/"+m.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: checkInTimeout}
	response, err := client.Do(request)
	if err != nil {
		m.rec.add(m.name, "check-in %d: no answer: %v", seq, err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		m.rec.add(m.name, "check-in %d with labels %s: status %d", seq, strings.Join(m.labels(), ","), response.StatusCode)
	}
}

// encodeSpec returns the spec of a job: what its tasks do, for the minions of this package.
func encodeSpec(work time.Duration, gpu int) string {
	return fmt.Sprintf("work=%d gpu=%d", work.Milliseconds(), gpu)
}

func decodeSpec(spec string) (work time.Duration, gpu int, err error) {
	for _, field := range strings.Fields(spec) {
		name, text, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, 0, err
		}
		switch name {
		case "work":
			work = time.Duration(n) * time.Millisecond
		case "gpu":
			gpu = n
		}
	}
	return work, gpu, nil
}
