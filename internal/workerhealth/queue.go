package workerhealth

import "math"

const (
	// priorQueueVariance is the variance of the logarithm of the error of expected run
	// times in a queue of which nothing is known: callers' estimates are wrong with a
	// sigma of up to 0.9. priorQueueWeight is its weight in errors.
	priorQueueVariance = 0.9 * 0.9
	priorQueueWeight   = 4.0
	// minQueueVariance is the least variance of that error. It keeps a comparison with
	// other runs of the same work far ahead of one with the expected run time.
	minQueueVariance = 0.4 * 0.4
	// maxQueueWeight is the weight in errors at which older ones are forgotten.
	maxQueueWeight = 60.0
)

// Queue is what the runs of a queue have shown of the error of their expected run
// times, in logarithms. The zero value is an unknown queue.
type Queue struct {
	weight float64 // of the errors recorded
	bias   float64 // mean of actual minus expected log rate
	square float64 // mean square of the errors around the bias
}

// errorOfRates returns the mean and the variance of the error.
func (q *Queue) errorOfRates() (bias, variance float64) {
	total := q.weight + priorQueueWeight
	bias = q.bias * q.weight / total
	variance = (q.square*q.weight + priorQueueVariance*priorQueueWeight) / total
	return bias, math.Max(minQueueVariance, variance)
}

func (q *Queue) record(difference float64) {
	q.weight = math.Min(q.weight+1, maxQueueWeight)
	delta := difference - q.bias
	q.bias += delta / q.weight
	q.square += (delta*(difference-q.bias) - q.square) / q.weight
}
