package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestAnnouncedRefusals(t *testing.T) {
	now := start.Add(2 * time.Second)
	retryAt := now.Add(5 * time.Second)
	cases := map[string]struct {
		notice coltsfootlink.TargetNotice
		after  time.Duration
		reason coltsfootlink.Reason
	}{
		"nothing announced":                       {coltsfootlink.TargetNotice{}, 0, ""},
		"leaving":                                 {coltsfootlink.TargetNotice{Leaving: true}, time.Hour, coltsfootlink.TargetLeaving},
		"its previous incarnation was leaving":    {coltsfootlink.TargetNotice{Leaving: true, Incarnation: 9}, 0, ""},
		"no requests wanted yet":                  {coltsfootlink.TargetNotice{RetryAt: retryAt}, 4999 * time.Millisecond, coltsfootlink.TargetBackoff},
		"requests wanted again":                   {coltsfootlink.TargetNotice{RetryAt: retryAt}, 5 * time.Second, ""},
		"the previous incarnation wanted no more": {coltsfootlink.TargetNotice{RetryAt: retryAt, Incarnation: 9}, 0, ""},
	}
	for name, test := range cases {
		for kind, traits := range map[string]coltsfootlink.PoolTraits{"engine": engineTraits, "plain service": plainTraits} {
			Convey("all instances follow what a target announced to one of them: "+name+", "+kind, t, func() {
				ledger, _ := settledLedger(traits, 12)
				ledger = ledger.WithNotice(test.notice)
				at := now.Add(test.after)
				_, verdict := ledger.WithAsk(at, "b", ask(at, 1, prompt(0, 100, 1), time.Second))
				So(verdict.Reason, ShouldEqual, test.reason)
				if test.reason == coltsfootlink.TargetBackoff {
					So(verdict.RetryAt, ShouldEqual, retryAt)
				}
			})
		}
	}
	Convey("a target that has restarted takes requests", t, func() {
		ledger, now := settledLedger(engineTraits, 12)
		ledger = ledger.WithNotice(coltsfootlink.TargetNotice{Leaving: true, RetryAt: retryAt})
		ledger = ledger.WithTarget(ledger.target.WithIncarnation(1), engineTraits)
		_, verdict := ledger.WithAsk(now, "b", ask(now, 1, prompt(0, 100, 1), time.Second))
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
	})
	Convey("a target that wants no requests is not asked for its report", t, func() {
		ledger, now := settledLedger(engineTraits, 12)
		_, due := ledger.WithProbe(now)
		So(due, ShouldBeTrue)
		_, due = ledger.WithNotice(coltsfootlink.TargetNotice{RetryAt: retryAt}).WithProbe(now)
		So(due, ShouldBeFalse)
	})
}

// TestRampAfterBackoff checks how many requests a target gets in the first second after its backoff without a pace, if 195
// instances have waited for that moment.
func TestRampAfterBackoff(t *testing.T) {
	cases := map[string]struct {
		traits coltsfootlink.PoolTraits
		slots  int
		most   int
	}{
		"engine, as many as a cold one":     {engineTraits, 128, 13},
		"plain service, as many as it runs": {plainTraits, 6, 6},
	}
	for name, test := range cases {
		Convey("a target whose backoff is over is not flooded: "+name, t, func() {
			ledger, now := settledLedger(test.traits, test.slots)
			ledger.policy.Pace = false
			retryAt := now.Add(time.Second)
			ledger = ledger.WithNotice(coltsfootlink.TargetNotice{RetryAt: retryAt})
			granted := 0
			for instance := range uint64(195) {
				at := retryAt.Add(time.Duration(instance) * 5 * time.Millisecond)
				updated, verdict := ledger.WithAsk(at, "b", ask(at, instance, prompt(0, 10, instance), time.Second))
				ledger = updated
				if verdict.Reason == "" {
					So(verdict.Paced, ShouldBeTrue)
					granted++
					ledger = ledger.WithProgress(at, "b", coltsfootlink.Progress{Serial: instance, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
				}
			}
			So(granted, ShouldBeBetweenOrEqual, 1, test.most)
			later := retryAt.Add(10 * time.Second)
			So(ledger.rateLimited(later), ShouldBeFalse)
		})
	}
}

// TestNoticesInReports checks that what a target announces with its load report reaches the instance's own tasks.
func TestNoticesInReports(t *testing.T) {
	cases := map[string]struct {
		report coltsfootlink.EngineReport
		notice coltsfootlink.TargetNotice
		sent   bool
	}{
		"nothing announced":   {coltsfootlink.EngineReport{Running: 3}, coltsfootlink.TargetNotice{}, false},
		"leaving":             {coltsfootlink.EngineReport{Running: 3, Leaving: true}, coltsfootlink.TargetNotice{Target: "t", Incarnation: 4, Leaving: true}, true},
		"refused with a time": {coltsfootlink.EngineReport{Refused: true, RetryAt: start}, coltsfootlink.TargetNotice{Target: "t", Incarnation: 4, RetryAt: start}, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _ := ownerTask(start)
			sent := new(noticeRecorder)
			task.Sender = sent
			task.handle(coltsfootlink.Delivery{Message: probeResult{target: "t", incarnation: 4, askedAt: start, report: test.report}})
			So(len(sent.notices) == 1, ShouldEqual, test.sent)
			if test.sent {
				So(sent.notices[0], ShouldResemble, test.notice)
			}
			So(task.ledgers["t"].orphaned, ShouldEqual, test.report.Running)
		})
	}
}

// noticeRecorder is a sender that records notices.
type noticeRecorder struct{ notices []coltsfootlink.TargetNotice }

// Send records a notice and drops other messages.
func (recorder *noticeRecorder) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if notice, is := message.(coltsfootlink.TargetNotice); is {
		recorder.notices = append(recorder.notices, notice)
	}
}
