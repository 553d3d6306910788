package main

import "time"

// finishTime is finish_s of the site: from the end of the traffic on, jobs are asked for.
const finishTime = 14 * time.Second

// testCase is one case of the review.
type testCase struct {
	capacity resources // of a minion
	play     func(d *deployment, c *clients, trouble bool) []finding
}

var smallMinion = resources{CPU: 128000, Memory: 262144, GPU: 8}

// testCases holds the cases by name.
var testCases = map[string]testCase{}

// every calls do each period until the limit, each call in its own goroutine.
func every(rec *recorder, period, limit time.Duration, do func()) {
	for rec.now() < limit {
		go do()
		time.Sleep(period)
	}
}

// watchEnd waits for finishTime after the traffic, and then asks for all jobs and watches
// them for the given time.
func watchEnd(d *deployment, c *clients, watch time.Duration) []finding {
	end := d.rec.now()
	c.pollAll(end+finishTime, time.Second)
	w := newIdleWatch(d, c)
	limit := d.rec.now() + watch
	go c.pollAll(limit, time.Second)
	w.watch(limit)
	return w.findings()
}
