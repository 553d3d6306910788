package main

import (
	"math/rand/v2"
	"os"
	"time"
)

func init() { testCases["same-id"] = testCase{smallMinion, playSameID} }

// newID is the value of TROUBLE with which minions crash but start again under a new id.
const newID = "new-id"

// playSameID lets minions crash silently, one at a time, and start again under the id
// that they had.
func playSameID(d *deployment, c *clients, trouble bool) []finding {
	begin := d.rec.now()
	limit := begin + 60*time.Second
	go every(d.rec, 700*time.Millisecond, limit, func() {
		c.submit(c.newJob("/evidence/", step{Count: 9, CPU: 11000, Memory: 23000, EstimateMS: 1500, work: 1500 * time.Millisecond}))
	})
	for trouble && d.rec.now() < limit-5*time.Second {
		time.Sleep(3 * time.Second)
		m := d.minions[rand.IntN(len(d.minions))]
		m.crash()
		time.Sleep(1000 * time.Millisecond)
		m.restart(os.Getenv("TROUBLE") == newID)
	}
	time.Sleep(time.Until(d.rec.began.Add(limit)))
	c.pollAll(limit+finishTime, time.Second)
	return checkTwice(d.runs(), d.rec.now())
}
