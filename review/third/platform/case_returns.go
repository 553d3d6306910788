package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	movedJob = "00000000000000e1"
	// movedTime is the run time of the job's task.
	movedTime = 8 * time.Second
	// rollingMinions is the number of minions, of which one is ended and started again.
	rollingMinions = 16
	// drainTime is the time from the notice to the end of a minion, awayTime that to its next start.
	drainTime = 2500 * time.Millisecond
	awayTime  = 1200 * time.Millisecond
)

// lateStart leaves the first call to start the job's task without an answer, whichever minion gets
// it, and carries it out later. All other calls pass.
type lateStart struct {
	record *record

	mu     sync.Mutex
	on     *worker
	call   *http.Request
	body   []byte
	sentAt time.Time
	calls  int
}

func (l *lateStart) handler(w *worker) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var call struct {
			Task string `json:"task"`
			Run  uint64 `json:"run"`
		}
		if err := json.Unmarshal(body, &call); err != nil {
			return
		}
		l.mu.Lock()
		l.calls++
		keep := l.on == nil && strings.HasSuffix(r.URL.Path, "/run-start") && strings.HasPrefix(call.Task, movedJob)
		if keep {
			l.on, l.call, l.body, l.sentAt = w, r.Clone(r.Context()), body, time.Now()
		}
		l.mu.Unlock()
		if !keep {
			w.Worker.ServeHTTP(out, r)
			return
		}
		l.record.printf("%s: the first call to start task %s run %d gets no answer", w.name, call.Task, call.Run)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

func (l *lateStart) carryOut() {
	l.call.Body = io.NopCloser(bytes.NewReader(l.body))
	answer := httptest.NewRecorder()
	l.on.Worker.ServeHTTP(answer, l.call)
	l.record.printf("%s: carries out the call of %.1f s ago: status %d", l.on.name, time.Since(l.sentAt).Seconds(), answer.Code)
}

// returnsCase ends a minion as planned and starts it again under its id. It carries out a start
// that it had not answered, while the task runs elsewhere.
func returnsCase(d *deployment, trouble bool) (broken bool, err error) {
	late := &lateStart{record: d.record}
	if trouble {
		d.wrap = late.handler
	}
	for i := range rollingMinions {
		if err := d.addWorker(fmt.Sprintf("minion-%d", i+1), "svc"); err != nil {
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
	if !d.submit(0, queuePath+movedJob, wholeWorker(movedTime)).OK() {
		return false, fmt.Errorf("the job was not accepted")
	}
	if !pollUntil(startTimeout, func() bool { return d.record.started(movedJob) }) {
		return false, fmt.Errorf("the task has not started")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		name := late.on.name
		d.record.printf("%s: drains, to be started again", name)
		d.workers[name].Drain(drainTime)
		time.Sleep(drainTime)
		if err := d.leave(name); err != nil {
			return false, err
		}
		time.Sleep(awayTime)
		late.on.Return()
		d.record.printf("%s: is up again under its id", name)
		late.carryOut()
		if err := d.listenAgain(late.on); err != nil {
			return false, err
		}
		if since := time.Since(late.sentAt); since < minLateTime || since > maxLateTime {
			return false, fmt.Errorf("the late call was carried out after %v", since)
		}
	}
	if !pollUntil(2*startTimeout, func() bool { return d.poll(0, queuePath+movedJob).State == "completed" }) {
		return false, fmt.Errorf("the job has not completed")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.record.printf("calls to all minions: %d, without an answer: 1", late.calls)
	}
	return d.record.overlap(movedJob), nil
}

// overlap reports whether two runs of a job's task were there at the same time.
func (r *record) overlap(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []hosted.WorkerEvent
	for _, e := range r.runs {
		switch {
		case e.Job != job:
		case e.Kind == hosted.EventStart && len(running) > 0:
			o := running[0]
			r.line("TWICE: task %s began as run %d on %s while run %d was there on %s", e.Task, e.Run, e.Worker, o.Run, o.Worker)
			return true
		case e.Kind == hosted.EventStart:
			running = append(running, e)
		case e.Kind == hosted.EventEnd:
			running = slices.DeleteFunc(running, func(o hosted.WorkerEvent) bool { return o.Worker == e.Worker })
		}
	}
	return false
}
