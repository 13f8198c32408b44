package limit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

var (
	start = time.Unix(1_000_000, 0)
	pool  = coltsfootlink.Pool{ColdLimit: 2, MaxLimit: 8, GrowthPerSecond: 10}
)

const growth = 100 * time.Millisecond

// succeeded returns the usage of a successful request with the given time to the first byte.
func succeeded(millis float64) coltsfootlink.Usage {
	return coltsfootlink.Usage{Result: coltsfootlink.Succeeded, FirstByteMillis: millis, Incarnation: 1}
}

// warm returns a limiter that has grown to the pool's maximum.
func warm() coltsfootlink.Limiter {
	var limiter coltsfootlink.Limiter = NewAdaptive(pool, 1, start)
	limiter = limiter.WithUsage(start, succeeded(200), 0)
	for step := range 40 {
		limiter = limiter.WithUsage(start.Add(time.Duration(step+1)*growth), succeeded(20), limiter.Limit())
	}
	return limiter
}

func TestLimit(t *testing.T) {
	later := start.Add(time.Minute)
	cases := map[string]struct {
		limiter coltsfootlink.Limiter
		limit   int
	}{
		"starts cold":                                         {NewAdaptive(pool, 1, start), 2},
		"grows while fully used":                              {NewAdaptive(pool, 1, start).WithUsage(start.Add(growth), succeeded(20), 2), 3},
		"does not grow before the growth deadline":            {NewAdaptive(pool, 1, start).WithUsage(start.Add(growth/2), succeeded(20), 2), 2},
		"does not grow while not fully used":                  {NewAdaptive(pool, 1, start).WithUsage(start.Add(growth), succeeded(20), 1), 2},
		"never exceeds the maximum":                           {warm(), 8},
		"shrinks on an error":                                 {warm().WithUsage(later, coltsfootlink.Usage{Result: coltsfootlink.Failed, Incarnation: 1}, 8), 5},
		"shrinks when slow":                                   {warm().WithUsage(later, succeeded(120), 8), 5},
		"resets to cold on a refusal":                         {warm().WithUsage(later, coltsfootlink.Usage{Result: coltsfootlink.Refused}, 8), 2},
		"resets to cold with a new incarnation":               {warm().WithIncarnation(later, 2), 2},
		"ignores an unknown incarnation":                      {warm().WithIncarnation(later, 0), 8},
		"resets to cold when as slow as after the cold start": {warm().WithUsage(later, succeeded(190), 8), 2},
		"ignores an unused permit":                            {warm().WithUsage(later, coltsfootlink.Usage{Result: coltsfootlink.Unused}, 8), 8},
		"ignores a cancelled request":                         {warm().WithUsage(later, coltsfootlink.Usage{Result: coltsfootlink.Cancelled}, 8), 8},
		"rises to the number of running requests":             {NewAdaptive(pool, 1, start).WithRunning(6), 6},
		"running requests do not raise it above the maximum":  {NewAdaptive(pool, 1, start).WithRunning(60), 8},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.limiter.Limit(), ShouldEqual, test.limit) })
	}
}

func TestLimitAfterBrokenConnection(t *testing.T) {
	broken := coltsfootlink.Usage{Result: coltsfootlink.Crashed}
	cases := map[string]struct {
		incarnation uint64
		limit       int
	}{
		"resets to cold if the target does not report its incarnation": {0, 2},
		"shrinks if the incarnation will show a restart":               {1, 5},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			limiter := NewAdaptive(pool, test.incarnation, start).WithRunning(8)
			So(limiter.WithUsage(start, broken, 8).Limit(), ShouldEqual, test.limit)
		})
	}
}

// TestLimitNeverGrowsFasterThanThePoolAllows applies random results of requests at random times.
func TestLimitNeverGrowsFasterThanThePoolAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter coltsfootlink.Limiter = NewAdaptive(pool, 1, start)
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "millis")) * time.Millisecond)
			result := rapid.SampledFrom([]coltsfootlink.Result{
				coltsfootlink.Succeeded, coltsfootlink.Failed, coltsfootlink.Crashed, coltsfootlink.Unused,
			}).Draw(t, "result")
			usage := coltsfootlink.Usage{Result: result, FirstByteMillis: rapid.Float64Range(1, 300).Draw(t, "first"), Incarnation: 1}
			limiter = limiter.WithUsage(now, usage, rapid.IntRange(0, 9).Draw(t, "running"))
			maxLimit := min(pool.MaxLimit, pool.ColdLimit+int(now.Sub(start)/growth))
			if limit := limiter.Limit(); limit < pool.ColdLimit || limit > maxLimit {
				t.Fatalf("limit %d after %s is out of bounds", limit, now.Sub(start))
			}
		}
	})
}
