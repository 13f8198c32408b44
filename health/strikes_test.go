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
	again := func(incarnation uint64) coltsfootlink.Strike {
		restarted := strike("a", time.Minute)
		restarted.Incarnation = incarnation
		return restarted
	}
	cleared := coltsfootlink.Strike{Fingerprint: 7, Cleared: true}
	cases := map[string]struct {
		strikes []coltsfootlink.Strike
		at      time.Time
		barred  bool
	}{
		"no target crashed":                       {nil, now, false},
		"one target crashed":                      {[]coltsfootlink.Strike{strike("a", time.Minute)}, now, false},
		"one target crashed twice":                {[]coltsfootlink.Strike{strike("a", time.Minute), strike("a", time.Hour)}, now, false},
		"one target crashed in two incarnations":  {[]coltsfootlink.Strike{again(1), again(2)}, now, true},
		"one crash reported twice":                {[]coltsfootlink.Strike{again(1), again(1)}, now, false},
		"one crash, its incarnation known later":  {[]coltsfootlink.Strike{strike("a", time.Second), again(1)}, now, false},
		"cleared after two crashes":               {[]coltsfootlink.Strike{again(1), again(2), cleared}, now, false},
		"one crash after strikes were cleared":    {[]coltsfootlink.Strike{again(1), again(2), cleared, again(3)}, now, false},
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
	probes := map[string]struct {
		incarnations []uint64
		delay        time.Duration
	}{
		"two crashes":   {[]uint64{1, 2}, probeDelay},
		"three crashes": {[]uint64{1, 2, 3}, 2 * probeDelay},
		"seven crashes": {[]uint64{1, 2, 3, 4, 5, 6, 7}, StrikeTTL},
	}
	for name, test := range probes {
		Convey("each crash of a probe doubles the time to the next one: "+name, t, func() {
			strikes := NewStrikes()
			for _, incarnation := range test.incarnations {
				strikes, _ = strikes.WithStrike(coltsfootlink.Strike{Fingerprint: 7, Target: "a", Incarnation: incarnation, Deadline: now.Add(StrikeTTL)})
			}
			So(strikes.ProbeAt(now, 7), ShouldEqual, now.Add(test.delay))
		})
	}
	Convey("the number of fingerprints is bounded, and those with more crashes stay", t, func() {
		strikes := NewStrikes().WithStrikes([]coltsfootlink.Strike{again(1), again(2)})
		for fingerprint := range uint64(maxFingerprints + 10) {
			strikes, _ = strikes.WithStrike(coltsfootlink.Strike{Fingerprint: 1000 + fingerprint, Target: "a", Deadline: now.Add(time.Hour)})
		}
		So(strikes.byFingerprint.Len(), ShouldEqual, maxFingerprints)
		So(strikes.Barred(now, 7), ShouldBeTrue)
	})
	Convey("a strike with an earlier deadline changes nothing", t, func() {
		strikes, changed := NewStrikes().WithStrike(strike("a", time.Minute))
		So(changed, ShouldBeTrue)
		_, changed = strikes.WithStrike(strike("a", time.Second))
		So(changed, ShouldBeFalse)
	})
}
