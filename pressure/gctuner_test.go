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

// gcPercent returns the GOGC value in force.
func gcPercent() int {
	sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(sample)
	return int(sample[0].Value.Uint64())
}

func TestCollector(t *testing.T) {
	pressed := State{}.WithWait(time.Second)
	cases := map[string]struct {
		states  []State
		percent int
	}{
		"at the start":           {nil, 30},
		"normal":                 {[]State{{}}, 30},
		"CPU short":              {[]State{pressed}, 90},
		"CPU short, then normal": {[]State{pressed, {}}, 30},
	}
	for name, test := range cases {
		Convey("garbage is collected less often while CPU is short: "+name, t, func() {
			before := debug.SetGCPercent(50)
			defer debug.SetGCPercent(before)
			tuner := &GCTuner{NormalPercent: 30, PressurePercent: 90, Inbox: mailbox.NewDeliveries()}
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = tuner.Run(ctx)
			}()
			defer func() {
				stop()
				<-stopped
			}()
			for _, state := range test.states {
				tuner.Inbox.Put(coltsfootlink.Delivery{Message: Changed{State: state}})
			}
			for end := time.Now().Add(time.Second); gcPercent() != test.percent && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(gcPercent(), ShouldEqual, test.percent)
		})
	}
}
