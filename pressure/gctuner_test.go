package pressure

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// percent is the growth of the heap that is in force.
func percent() int {
	sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(sample)
	return int(sample[0].Value.Uint64())
}

func TestCollector(t *testing.T) {
	behind := State{}.WithWait(time.Second)
	cases := map[string]struct {
		states  []State
		percent int
	}{
		"at the start":          {nil, 30},
		"calm":                  {[]State{{}}, 30},
		"behind":                {[]State{behind}, 90},
		"behind, and calm then": {[]State{behind, {}}, 30},
	}
	for name, test := range cases {
		Convey("garbage is collected later while the processor is behind: "+name, t, func() {
			before := debug.SetGCPercent(50)
			defer debug.SetGCPercent(before)
			collector := &Collector{Calm: 30, Behind: 90, Inbox: mailbox.NewDeliveries()}
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = collector.Run(ctx)
			}()
			defer func() {
				stop()
				<-stopped
			}()
			for _, state := range test.states {
				collector.Inbox.Put(coltsfootlink.Delivery{Message: Changed{State: state}})
			}
			for end := time.Now().Add(time.Second); percent() != test.percent && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(percent(), ShouldEqual, test.percent)
		})
	}
}
