package route

import "time"

// serviceTimes holds exponential moving averages of the service times of requests.
type serviceTimes struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

// learn adds the service time of one request to the averages.
func (t *serviceTimes) learn(sample time.Duration) {
	if t.mean == 0 {
		t.mean = sample
		t.deviation = sample / 2
		return
	}
	diff := sample - t.mean
	t.mean += time.Duration(learnRate * float64(diff))
	t.deviation += time.Duration(learnRate * float64(diff.Abs()-t.deviation))
}

// upperBound returns the time within which a request is expected to end.
func (t *serviceTimes) upperBound() time.Duration { return t.mean + maxDeviations*t.deviation }

// learnedTimes returns the service times of a flow, or those of its service while
// the flow has none.
func learnedTimes(f *flow, s *service) serviceTimes {
	if f.times.mean > 0 {
		return f.times
	}
	return s.times
}

// cost returns the slot time that a request of the flow is charged.
func cost(f *flow, s *service) time.Duration {
	t := learnedTimes(f, s)
	if t.mean == 0 {
		return defaultServiceTime
	}
	return t.mean
}
