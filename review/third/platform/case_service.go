package main

import (
	"fmt"
	"time"
)

const (
	longJob    = "00000000000000a1"
	waitingJob = "00000000000000a2"
	laterJob   = "00000000000000a3"
	queuePath  = "/reports/"
	// newWorkers is the number of minions of the new service, beside one of the old: one of 16
	// leaves, which is within a share of 0.065.
	newWorkers = 15
	// workTime is the run time of the tasks that are looked at, longTime that of the one that
	// occupies the old service.
	workTime = 2 * time.Second
	longTime = 6 * time.Second
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
	// finishTime is finish_s, and calm the time for which LOST looks at a job after it.
	finishTime = 14 * time.Second
	calm       = 3 * time.Second
)

// serviceCase moves a queue to another service and takes the minion of the former one away.
// Jobs that were accepted before have to run on the minions that the route names now.
func serviceCase(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.addWorker("old-1", "old"); err != nil {
		return false, err
	}
	for i := range newWorkers {
		if err := d.addWorker(fmt.Sprintf("new-%d", i+1), "new"); err != nil {
			return false, err
		}
	}
	services := []string{"old", "new"}
	if err := d.configure(1, services, route{"reports", queuePath, "old"}); err != nil {
		return false, err
	}
	if err := d.awaitService(queuePath); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the agents have their leases
	if !d.submit(0, queuePath+longJob, wholeWorker(longTime)).OK() {
		return false, fmt.Errorf("the first job was not accepted")
	}
	if !pollUntil(startTimeout, func() bool { return d.record.started(longJob) }) {
		return false, fmt.Errorf("the first job has not started")
	}
	if !d.submit(0, queuePath+waitingJob, wholeWorker(workTime)).OK() {
		return false, fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		if err := d.configure(2, services, route{"reports", queuePath, "new"}); err != nil {
			return false, err
		}
		time.Sleep(applyTime)
		d.record.printf("old-1: drains")
		d.workers["old-1"].Drain(longTime)
	}
	if !d.submit(1, queuePath+laterJob, wholeWorker(workTime)).OK() {
		return false, fmt.Errorf("the third job was not accepted")
	}
	if trouble {
		time.Sleep(longTime)
		if err := d.leave("old-1"); err != nil {
			return false, err
		}
	}
	time.Sleep(finishTime)
	done := func(id string) bool { return d.poll(0, queuePath+id).State == "completed" }
	if !done(longJob) || !done(laterJob) {
		return false, fmt.Errorf("a job that the change does not concern has not completed")
	}
	// The job has nothing running for the whole of this time, and the minions of new are idle.
	for end := time.Now().Add(calm); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if d.record.started(waitingJob) {
			return false, nil
		}
		d.poll(1, queuePath+waitingJob)
	}
	d.record.printf("LOST: job %s was accepted, its route names service new, all minions of new are idle, and it has never run", waitingJob)
	return true, nil
}
