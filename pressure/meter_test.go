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
		"no waits":                    {[]uint64{0, 1, 2, 3}, []uint64{0, 1, 2, 3}, 0},
		"the first look":              {nil, []uint64{0, 1, 9, 0}, 0.01},
		"most wait shortly":           {nil, []uint64{0, 95, 0, 5}, 0},
		"one in five waits long":      {nil, []uint64{0, 80, 0, 20}, 0.1},
		"long ones came before":       {[]uint64{0, 0, 0, 20}, []uint64{0, 90, 5, 20}, 0},
		"all before the first bounds": {nil, []uint64{3, 0, 0, 0}, 0},
	}
	for name, test := range cases {
		Convey("what nine in ten waits did not exceed: "+name, t, func() {
			So(quantile(test.before, test.now, bounds, waitsPart), ShouldEqual, test.wait)
		})
	}
	Convey("the runtime's waits can be read", t, func() {
		meter := new(Meter)
		meter.Wait()
		So(len(meter.before), ShouldBeGreaterThan, 0)
	})
}
