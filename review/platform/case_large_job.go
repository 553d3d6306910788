package main

import "time"

func init() { testCases["large-job"] = testCase{smallMinion, playLargeJob} }

// playLargeJob hands in a job of 1,500 small tasks or, without the disruption, the same
// tasks as five jobs, and jobs of the usual size beside.
func playLargeJob(d *deployment, c *clients, trouble bool) []finding {
	const tasks, parts = 1500, 5
	task := step{CPU: 400, Memory: 100, EstimateMS: 2000, work: 2 * time.Second}
	begin := d.rec.now()
	go every(d.rec, 2*time.Second, begin+20*time.Second, func() {
		c.submit(c.newJob("/survey/", step{Count: 2, CPU: 52000, Memory: 110000, GPU: 4, EstimateMS: 2000, work: 2 * time.Second}))
	})
	time.Sleep(5 * time.Second)
	if trouble {
		task.Count = tasks
		c.submit(c.newJob("/evidence/", task))
	}
	for range parts {
		if !trouble {
			task.Count = tasks / parts
			c.submit(c.newJob("/evidence/", task))
		}
	}
	time.Sleep(16 * time.Second)
	return watchEnd(d, c, 12*time.Second)
}
