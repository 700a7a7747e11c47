package cradmit

const (
	// retryShare is how many retries each request earns.
	retryShare = 0.1
	// retryBurst is how many retries can be saved up.
	retryBurst = 10.0
	// retryReserve is what routine requests leave to priority ones.
	retryReserve = 5.0
)

// RetryBudget bounds retries to a share of the requests, so that they can't
// multiply an overload. Its zero value has saved nothing.
type RetryBudget struct {
	saved float64
}

// RecordRequest earns a share of a retry.
func (b *RetryBudget) RecordRequest() { b.saved = min(retryBurst, b.saved+retryShare) }

// TakeRetry takes one retry; false when the budget is spent. Routine requests
// leave a reserve to priority ones.
func (b *RetryBudget) TakeRetry(priority bool) bool {
	reserve := retryReserve
	if priority {
		reserve = 0
	}
	if b.saved-reserve < 1 {
		return false
	}
	b.saved--
	return true
}
