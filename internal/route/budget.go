package route

// retryBudget is a token bucket that limits retries to a fraction of the load:
// each request that ends at its first attempt adds a fraction of a token, and a
// retry takes one token.
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

// take removes one token, or reports false if there is none.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
