package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestBarred(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	strike := func(target string, deadline time.Duration) coltsfootlink.Strike {
		return coltsfootlink.Strike{Fingerprint: 7, Target: coltsfootlink.TargetName(target), Deadline: now.Add(deadline)}
	}
	cases := map[string]struct {
		strikes []coltsfootlink.Strike
		at      time.Time
		barred  bool
	}{
		"no target crashed":                       {nil, now, false},
		"one target crashed":                      {[]coltsfootlink.Strike{strike("a", time.Minute)}, now, false},
		"one target crashed twice":                {[]coltsfootlink.Strike{strike("a", time.Minute), strike("a", time.Hour)}, now, false},
		"two targets crashed":                     {[]coltsfootlink.Strike{strike("a", time.Minute), strike("b", time.Minute)}, now, true},
		"two targets crashed, one strike expired": {[]coltsfootlink.Strike{strike("a", time.Minute), strike("b", time.Hour)}, now.Add(2 * time.Minute), false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			strikes := NewStrikes()
			for _, strike := range test.strikes {
				strikes, _ = strikes.WithStrike(strike)
			}
			So(strikes.Barred(test.at, 7), ShouldEqual, test.barred)
			So(strikes.Barred(test.at, 8), ShouldBeFalse)
			So(strikes.WithoutExpired(test.at).Barred(test.at, 7), ShouldEqual, test.barred)
		})
	}
	Convey("a strike with an earlier deadline changes nothing", t, func() {
		strikes, changed := NewStrikes().WithStrike(strike("a", time.Minute))
		So(changed, ShouldBeTrue)
		_, changed = strikes.WithStrike(strike("a", time.Second))
		So(changed, ShouldBeFalse)
	})
}
