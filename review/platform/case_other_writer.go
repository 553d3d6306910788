package main

import (
	"fmt"
	"time"
)

func init() { testCases["other-writer"] = testCase{smallMinion, playOtherWriter} }

// playOtherWriter sends one check-in of another writer, for a service that is not in the
// configuration, to the agents of one rack. The jobs then need that rack.
func playOtherWriter(d *deployment, c *clients, trouble bool) []finding {
	const rack = "r4"
	usual := step{Count: 2, CPU: 26000, Memory: 60000, GPU: 1, EstimateMS: 1000, work: time.Second}
	inRack := usual
	inRack.Requires = rack
	begin := d.rec.now()
	go every(d.rec, time.Second, begin+20*time.Second, func() { c.submit(c.newJob("/survey/", usual)) })
	c.submit(c.newJob("/survey/", inRack))
	time.Sleep(8 * time.Second)
	for i, m := range d.minions {
		if m.rack != rack || !trouble {
			continue
		}
		body := map[string]any{"service": "other-service", "address": d.at(5, 1+i, portApp), "zone": m.zone, "version": "v3", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": m.capacity, "labels": []string{"b", "r9"}, "clock_ms": 1000, "seq": 1, "born": time.Now().UnixMilli()}
		id := fmt.Sprintf("i-%08x", 0xabcd0000+i)
		d.rec.line("check-in of another writer at %s: %v: status %d", m.agent, body, putCheckIn(m.agent, id, body))
	}
	time.Sleep(2 * time.Second)
	c.submit(c.newJob("/survey/", inRack))
	time.Sleep(12 * time.Second)
	return watchEnd(d, c, 12*time.Second)
}
