package route

import "time"

// serviceTimes is what has been learned of the service times of requests, as
// moving averages.
type serviceTimes struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

// learn takes in the time of one request.
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

// upperBound is a time in which most requests end.
func (t *serviceTimes) upperBound() time.Duration { return t.mean + maxDeviations*t.deviation }

// learnedTimes returns what is learned of a flow, or else of its service.
func learnedTimes(f *flow, s *service) serviceTimes {
	if f.times.mean > 0 {
		return f.times
	}
	return s.times
}

// cost is the slot time that a request is charged for.
func cost(f *flow, s *service) time.Duration {
	t := learnedTimes(f, s)
	if t.mean == 0 {
		return defaultServiceTime
	}
	return t.mean
}
