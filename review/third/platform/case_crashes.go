package main

import (
	"fmt"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	crashedJob = "00000000000000d1"
	// minions is the number of minions: one of eight is down at a time.
	minions = 8
	// crashes is the number of minions that crash under the job's task, crashAfter the time after
	// its start.
	crashes    = 4
	crashAfter = 1500 * time.Millisecond
)

// crashesCase lets minions crash under a job's task, which does not fail. Only ends as failed count
// as attempts, so the job must not be shown as failed.
func crashesCase(d *deployment, trouble bool) (broken bool, err error) {
	for i := range minions {
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
	if !d.submit(0, queuePath+crashedJob, wholeWorker(longTime)).OK() {
		return false, fmt.Errorf("the job was not accepted")
	}
	for n := 0; trouble && n < crashes; n++ {
		if !pollUntil(2*startTimeout, func() bool { return d.record.runningOn(crashedJob) != "" || d.final(crashedJob) }) {
			return false, fmt.Errorf("the task has not started after %d crashes", n)
		}
		if d.final(crashedJob) {
			break
		}
		time.Sleep(crashAfter)
		name := d.record.runningOn(crashedJob)
		d.record.printf("%s: crashes", name)
		d.workers[name].CrashSilently()
		time.Sleep(downTime)
		d.workers[name].Return()
		d.record.printf("%s: is up again under its id", name)
	}
	if !pollUntil(2*startTimeout, func() bool { return d.final(crashedJob) }) {
		return false, fmt.Errorf("the job has not ended")
	}
	state := d.poll(1, queuePath+crashedJob).State
	if state != "failed" {
		return false, nil
	}
	d.record.printf("LOST: job %s is shown as failed, and no run of its task has ended failed", crashedJob)
	return true, nil
}

func (d *deployment) final(id string) bool {
	s := d.poll(0, queuePath+id).State
	return s == "completed" || s == "failed" || s == "cancelled"
}

// runningOn returns the worker on which a job of one task runs, or "".
func (r *record) runningOn(job string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := ""
	for _, e := range r.runs {
		switch {
		case e.Job != job:
		case e.Kind == hosted.EventStart:
			on = e.Worker
		case e.Kind == hosted.EventEnd:
			on = ""
		}
	}
	return on
}
