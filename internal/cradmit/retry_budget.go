package cradmit

const (
	// retriesPerRequest is the number of tokens that each request adds.
	retriesPerRequest = 0.1
	// maxTokens bounds the saved tokens.
	maxTokens = 10.0
	// priorityReserve is the number of tokens that only retries of priority
	// requests may use.
	priorityReserve = 5.0
)

// RetryBudget is a token bucket that bounds retries to a share of the requests,
// so that retries can't amplify an overload. Its zero value has no tokens.
type RetryBudget struct {
	tokens float64
}

// RecordRequest adds the tokens for one request.
func (b *RetryBudget) RecordRequest() { b.tokens = min(maxTokens, b.tokens+retriesPerRequest) }

// TakeRetry takes one token for a retry and reports whether it was available.
func (b *RetryBudget) TakeRetry(priority bool) bool {
	reserve := priorityReserve
	if priority {
		reserve = 0
	}
	if b.tokens-reserve < 1 {
		return false
	}
	b.tokens--
	return true
}
