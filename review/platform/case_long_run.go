package main

import "time"

func init() { testCases["long-run"] = testCase{smallMinion, playLongRun} }

// playLongRun hands in forty jobs within three seconds, two of which run 45 times as long
// as their clients estimate or, without the disruption, as long as they estimate.
func playLongRun(d *deployment, c *clients, trouble bool) []finding {
	const jobs, factor = 40, 45
	estimate := 10 * time.Second
	for i := range jobs {
		s := step{Count: 2, CPU: 26000, Memory: 60000, GPU: 1, EstimateMS: 1000, work: time.Second}
		if i == jobs/3 || i == 2*jobs/3 {
			s.Count, s.work = 11, factor*estimate
			s.EstimateMS = float64(estimate.Milliseconds())
			if !trouble {
				s.EstimateMS *= factor
			}
		}
		go c.submit(c.newJob("/survey/", s))
		time.Sleep(3 * time.Second / jobs)
	}
	return watchEnd(d, c, 30*time.Second)
}
