package pressure

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuantile(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.01, 0.1, math.Inf(1)}
	cases := map[string]struct {
		before, now []uint64
		wait        float64
	}{
		"no waits":                          {[]uint64{0, 1, 2, 3}, []uint64{0, 1, 2, 3}, 0},
		"the first sample":                  {nil, []uint64{0, 1, 9, 0}, 0.01},
		"5% wait long":                      {nil, []uint64{0, 95, 0, 5}, 0},
		"20% wait long":                     {nil, []uint64{0, 80, 0, 20}, 0.1},
		"long waits before the last sample": {[]uint64{0, 0, 0, 20}, []uint64{0, 90, 5, 20}, 0},
		"all in the first bucket":           {nil, []uint64{3, 0, 0, 0}, 0},
	}
	for name, test := range cases {
		Convey("90th percentile of the waits: "+name, t, func() {
			So(quantile(test.before, test.now, bounds, latencyQuantile), ShouldEqual, test.wait)
		})
	}
	Convey("the runtime's waits can be read", t, func() {
		meter := new(Meter)
		meter.Wait()
		So(len(meter.previous), ShouldBeGreaterThan, 0)
	})
}
