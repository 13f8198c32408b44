package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	earnedPerRequest = 0.1
	maxRetries       = 20
)

func TestBudget(t *testing.T) {
	cases := map[string]struct {
		requests int
		retries  int
		allowed  bool
	}{
		"first retry":                    {0, 1, true},
		"budget used up":                 {0, maxRetries + 1, false},
		"enough requests for one retry":  {11, maxRetries + 1, true},
		"too few requests for one retry": {9, maxRetries + 1, false},
		"full budget gains nothing":      {1000, maxRetries + 1, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			budget := NewBudget(earnedPerRequest, maxRetries)
			allowed := true
			if name == "full budget gains nothing" {
				for range test.requests {
					budget = budget.WithRequest()
				}
				test.requests = 0
			}
			for range test.retries - 1 {
				budget, _ = budget.WithRetry()
			}
			for range test.requests {
				budget = budget.WithRequest()
			}
			_, allowed = budget.WithRetry()
			So(allowed, ShouldEqual, test.allowed)
		})
	}
}
