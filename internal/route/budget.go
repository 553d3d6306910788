package route

// retryBudget is a token bucket that is filled by requests which succeed at
// their first attempt, so that retries stay a fraction of the load.
type retryBudget struct {
	tokens   float64
	fraction float64
	burst    float64
}

func newRetryBudget(fraction, burst float64) retryBudget {
	return retryBudget{tokens: burst, fraction: fraction, burst: burst}
}

func (b *retryBudget) earn() { b.tokens = min(b.burst, b.tokens+b.fraction) }

func (b *retryBudget) refund() { b.tokens = min(b.burst, b.tokens+1) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
