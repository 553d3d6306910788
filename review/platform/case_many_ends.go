package main

import (
	"time"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

func init() { testCases["many-ends"] = testCase{smallMinion, playManyEnds} }

// playManyEnds runs jobs of many small tasks that end while the store is down: it
// answers every call with 503.
func playManyEnds(d *deployment, c *clients, trouble bool) []finding {
	const (
		outage      = 4500 * time.Millisecond
		storeAnswer = 4 * time.Millisecond // of the site's sheet
	)
	d.storeFaults(hosted.StoreFaults{Delay: storeAnswer})
	for range 2 {
		c.submit(c.newJob("/evidence/", step{Count: 700, CPU: 100, Memory: 100, EstimateMS: 12000, work: 12 * time.Second}))
	}
	time.Sleep(11500 * time.Millisecond)
	if trouble {
		d.rec.line("the store answers with 503")
		d.storeFaults(hosted.StoreFaults{Refuse: true})
		time.Sleep(outage)
		d.storeFaults(hosted.StoreFaults{Delay: storeAnswer})
		d.rec.line("the store is up again")
	}
	c.pollAll(d.rec.now()+40*time.Second, time.Second)
	return checkTwice(d.runs(), d.rec.now())
}
