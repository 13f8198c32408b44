// Package retry decides whether a failed request may be sent again.
package retry

// MaxAttempts is the most times that one request of the project's own callers is sent.
const MaxAttempts = 3

// Budget is the number of retries that an instance may make; it is immutable.
type Budget struct {
	share   float64
	most    float64
	retries float64
}

// NewBudget returns a full budget: each request earns a share of a retry, and so many can be saved up.
func NewBudget(share, most float64) Budget { return Budget{share: share, most: most, retries: most} }

// WithRequest returns the budget after one more request that earns its share.
func (budget Budget) WithRequest() Budget {
	budget.retries = min(budget.most, budget.retries+budget.share)
	return budget
}

// WithRetry returns the budget after one more retry; false if it is used up.
func (budget Budget) WithRetry() (Budget, bool) {
	if budget.retries < 1 {
		return budget, false
	}
	budget.retries--
	return budget, true
}

// WithMost returns the budget with another bound of what can be saved up.
func (budget Budget) WithMost(most float64) Budget {
	budget.most = most
	budget.retries = min(budget.retries, most)
	return budget
}
