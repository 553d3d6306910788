package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	beforeJob = "00000000000000c1"
	twiceJob  = "00000000000000c2"
	// crashRack is the rack of the minion that crashes again and again, which the jobs require.
	crashRack = "rack-x"
	// soundWorkers is the number of minions beside it: one of eight crashes.
	soundWorkers = 7
	// maxCrashes is the number of crashes before the last one. They end sooner if the agent calls
	// two lives of the minion under one epoch number. restartTime is the least time between two, and
	// epochTime the time for which a call under a higher number is awaited.
	maxCrashes  = 75
	restartTime = 300 * time.Millisecond
	epochTime   = 1500 * time.Millisecond
	// downTime is how long the minion is down at the last crash.
	downTime = 300 * time.Millisecond
	// minLateTime and maxLateTime bound the time after which a minion carries out a call that it
	// has not answered.
	minLateTime = 2 * time.Second
	maxLateTime = 12 * time.Second
)

// lateMinion passes calls to a minion. It leaves the first call that takes note of an end without an
// answer, as the minion crashes with it, and carries it out late. It gives the list that shows the
// end of a job's run no answer.
type lateMinion struct {
	minion *worker
	record *record
	armed  bool // for the call that takes note

	mu     sync.Mutex
	epoch  uint64 // the highest of a call
	late   *http.Request
	body   []byte
	sentAt time.Time
	done   bool
	calls  int
	silent int
}

func (l *lateMinion) highestEpoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

func (l *lateMinion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var call struct {
		LastSeen uint64 `json:"last_seen"`
		Epoch    uint64 `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return
	}
	l.mu.Lock()
	l.calls++
	l.epoch = max(l.epoch, call.Epoch)
	if l.armed && l.late == nil && strings.HasSuffix(r.URL.Path, "/hold") && call.LastSeen > 0 {
		l.late, l.body, l.sentAt = r.Clone(r.Context()), body, time.Now()
		l.silent++
		l.mu.Unlock()
		l.record.printf("%s: crashes as hold comes, last_seen %d, epoch number %d; the call gets no answer", l.minion.name, call.LastSeen, call.Epoch)
		l.minion.CrashSilently()
		time.AfterFunc(downTime, func() {
			l.minion.Return()
			l.record.printf("%s: is up again under its id", l.minion.name)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	l.mu.Unlock()
	answer := httptest.NewRecorder()
	l.minion.Worker.ServeHTTP(answer, r)
	if l.showsEnd(answer.Body.Bytes()) {
		l.carryOut()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the agent may have given up
}

// crashRepeatedly lets the minion crash and start again under its id, n times or until the agent
// calls its next life under the same epoch number.
func (l *lateMinion) crashRepeatedly(n int) {
	count := 0
	for raised := true; raised && count < n; count++ {
		before := l.highestEpoch()
		l.minion.CrashSilently()
		l.minion.Return()
		time.Sleep(restartTime)
		raised = pollUntil(epochTime, func() bool { return l.highestEpoch() > before })
	}
	l.record.printf("%s: has crashed %d times, the last epoch number of a call is %d", l.minion.name, count, l.highestEpoch())
}

// showsEnd reports whether a list shows the end of the job's run and the late call is due.
func (l *lateMinion) showsEnd(answer []byte) bool {
	var list struct {
		Ended []json.RawMessage `json:"ended_runs"`
	}
	if json.Unmarshal(answer, &list) != nil {
		return false // not a list
	}
	shown := slices.ContainsFunc(list.Ended, func(row json.RawMessage) bool { return bytes.Contains(row, []byte(twiceJob)) })
	l.mu.Lock()
	defer l.mu.Unlock()
	since := time.Since(l.sentAt)
	if l.late == nil || l.done || !shown || since < minLateTime || since > maxLateTime {
		return false
	}
	l.done = true
	l.silent++
	return true
}

// carryOut carries out the call that had no answer.
func (l *lateMinion) carryOut() {
	l.late.Body = io.NopCloser(bytes.NewReader(l.body))
	answer := httptest.NewRecorder()
	l.minion.Worker.ServeHTTP(answer, l.late)
	l.record.printf("%s: carries out the call of %.1f s ago: status %d %s; the list with the end gets no answer", l.minion.name, time.Since(l.sentAt).Seconds(), answer.Code, answer.Body)
}

// epochsCase lets one minion crash and start again under its id many times in one term of the owner,
// and then once more as an end is taken note of.
func epochsCase(d *deployment, trouble bool) (broken bool, err error) {
	late := &lateMinion{record: d.record}
	d.wrap = func(w *worker) http.Handler {
		if w.rack != crashRack {
			return w.Worker
		}
		late.minion = w
		return late
	}
	if err := d.addWorkerIn("crashing", "svc", crashRack); err != nil {
		return false, err
	}
	for i := range soundWorkers {
		if err := d.addWorker(fmt.Sprintf("sound-%d", i+1), "svc"); err != nil {
			return false, err
		}
	}
	if err := d.configure(1, []string{"svc"}, route{"reports", queuePath, "svc"}); err != nil {
		return false, err
	}
	if err := d.awaitService(queuePath); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the agents have their leases
	crashes := maxCrashes
	if n, err := strconv.Atoi(os.Getenv("CRASHES")); err == nil {
		crashes = n
	}
	if trouble {
		d.record.printf("crashing: crashes up to %d times and starts again under its id", crashes)
		late.crashRepeatedly(crashes)
		late.mu.Lock()
		late.armed = true
		late.mu.Unlock()
	}
	if !d.submitRequiring(0, queuePath+beforeJob, crashRack, 300*time.Millisecond).OK() {
		return false, fmt.Errorf("the first job was not accepted")
	}
	if !pollUntil(startTimeout, func() bool { return d.poll(0, queuePath+beforeJob).State == "completed" }) {
		return false, fmt.Errorf("the first job has not completed")
	}
	time.Sleep(time.Second)
	if !d.submitRequiring(0, queuePath+twiceJob, crashRack, minLateTime).OK() {
		return false, fmt.Errorf("the second job was not accepted")
	}
	if !pollUntil(2*startTimeout, func() bool { return d.poll(1, queuePath+twiceJob).State == "completed" }) {
		return false, fmt.Errorf("the second job has not completed")
	}
	time.Sleep(2 * time.Second)
	late.mu.Lock()
	d.record.printf("calls to the crashing minion: %d, without an answer: %d", late.calls, late.silent)
	late.mu.Unlock()
	return d.record.startedAfterNotedEnd(twiceJob), nil
}

// startedAfterNotedEnd reports whether a task of a job was started after the end of a run as done
// had been taken note of.
func (r *record) startedAfterNotedEnd(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	noted := false
	for _, e := range r.runs {
		if e.Job != job {
			continue
		}
		if e.Kind == hosted.EventStart && noted {
			r.line("TWICE: task %s started again, run %d, after a run that ended done, of which note was taken", e.Task, e.Run)
			return true
		}
		noted = noted || e.Kind == hosted.EventAcknowledged && e.End == "done"
	}
	return false
}
