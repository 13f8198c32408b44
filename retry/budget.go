// Package retry limits the retries of failed requests by a retry budget.
package retry

// MaxAttempts is the maximum number of times that package front sends a request, the first attempt included. Routes of
// the platform have limits of their own.
const MaxAttempts = 3

// Budget is a token bucket of retries: each request adds a fraction of a retry, and each retry takes one. It is
// immutable.
type Budget struct {
	earned    float64
	limit     float64
	available float64
}

// NewBudget returns a full budget. Each request adds earned retries, a fraction of one; limit is the maximum that can
// be accumulated.
func NewBudget(earned, limit float64) Budget {
	return Budget{earned: earned, limit: limit, available: limit}
}

// WithRequest returns the budget after one more request.
func (budget Budget) WithRequest() Budget {
	budget.available = min(budget.limit, budget.available+budget.earned)
	return budget
}

// WithRetry returns the budget after one more retry, and false if less than one retry is available.
func (budget Budget) WithRetry() (Budget, bool) {
	if budget.available < 1 {
		return budget, false
	}
	budget.available--
	return budget, true
}

// WithLimit returns the budget with another limit of accumulated retries; available retries beyond it are lost.
func (budget Budget) WithLimit(limit float64) Budget {
	budget.limit = limit
	budget.available = min(budget.available, limit)
	return budget
}
