package main

import (
	"fmt"
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

const (
	firstJob   = "00000000000000b0"
	removedJob = "00000000000000b1"
	// replaceDelay is the time after which another machine comes.
	replaceDelay = time.Second
	// watchTime is how long the case looks on, to record when the job starts in the end.
	watchTime = 30 * time.Second
)

// removedCase removes one of two machines for good, with its minion and its agent, as the order
// to start a task reaches the minion. Another one comes a second later at another address.
func removedCase(d *deployment, trouble bool) (broken bool, err error) {
	names := []string{"minion-1", "minion-2"}
	for _, name := range names {
		if err := d.addWorker(name, "svc"); err != nil {
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
	if !d.submit(0, queuePath+firstJob, wholeWorker(workTime)).OK() {
		return false, fmt.Errorf("the first job was not accepted")
	}
	if !pollUntil(startTimeout, func() bool { return d.record.started(firstJob) }) {
		return false, fmt.Errorf("the first job has not started")
	}
	idle := names[0]
	if d.record.startedOn(firstJob, idle) {
		idle = names[1]
	}
	if trouble {
		d.workers[idle].CrashAtStart()
	}
	if !d.submit(0, queuePath+removedJob, wholeWorker(workTime)).OK() {
		return false, fmt.Errorf("the second job was not accepted")
	}
	if trouble {
		if !pollUntil(startTimeout, func() bool { return d.record.kept(removedJob) }) {
			return false, fmt.Errorf("the order to start the task has not come")
		}
		d.remove(idle)
		time.Sleep(replaceDelay)
		if err := d.addWorker("minion-3", "svc"); err != nil {
			return false, err
		}
	}
	last := time.Now().Add(finishTime + calm)
	for time.Now().Before(last) && !d.record.started(removedJob) {
		time.Sleep(500 * time.Millisecond)
		d.poll(1, queuePath+removedJob)
	}
	if d.record.started(removedJob) {
		return false, nil
	}
	if d.poll(1, queuePath+firstJob).State != "completed" {
		return false, fmt.Errorf("the first job has not completed")
	}
	d.record.printf("LOST: job %s has nothing running %v after the new machine came, and two idle minions could run it", removedJob, finishTime+calm)
	pollUntil(watchTime, func() bool { return d.record.started(removedJob) })
	return true, nil
}

// wholeWorker is a job of one task that takes all accelerators of a worker.
func wholeWorker(run time.Duration) []hosted.TaskStep {
	return []hosted.TaskStep{{Count: 1, MilliCPU: 8000, Accelerators: workerAccelerators, WorkMS: int(run.Milliseconds())}}
}
