package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/pace"
)

// agrees reports whether the explanation gives a verdict, and figures from which the same verdict follows.
func (explanation Explanation) agrees(verdict coltsfootlink.Verdict) bool {
	full := explanation.Requests >= explanation.MaxRequests || explanation.Wait > explanation.MaxWait ||
		explanation.UsedTokens > explanation.MaxTokens && explanation.Requests > 0
	figures := true
	switch verdict.Reason {
	case "":
		figures = !full && (explanation.Window == 0 || explanation.Unresponsive || explanation.Unanswered < explanation.Window)
	case coltsfootlink.TargetFull:
		figures = full
	case coltsfootlink.TargetPaced:
		figures = !full && explanation.Unanswered >= explanation.Window && explanation.Window > 0
	case coltsfootlink.TargetCold:
		figures = explanation.Granted >= explanation.MaxGranted || explanation.Cold
	case coltsfootlink.TargetFailing:
		figures = explanation.BreakerOpen
	}
	expected := time.Duration(verdict.ExpectedMillis) * time.Millisecond
	return explanation.Verdict == verdict && figures && (expected == 0 || (explanation.Answer-expected).Abs() <= time.Millisecond)
}

// TestExplain guards against an explanation that differs from what the owner decides, or that changes what it decides next.
func TestExplain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traits := rapid.SampledFrom([]coltsfootlink.PoolTraits{engineTraits, plainTraits}).Draw(t, "pool")
		target := coltsfootlink.Target{Name: "t", Slots: rapid.IntRange(1, 12).Draw(t, "slots"), ColdUntil: start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "cold")) * time.Second)}
		ledger, now := NewLedger(start, target, traits, policy), start.Add(settleDelay)
		for serial := range uint64(rapid.IntRange(1, 60).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			asked := ask(now, serial, prompt(0, rapid.IntRange(1, 9000).Draw(t, "tokens"), serial%9), 700*time.Millisecond)
			explanation := ledger.Explain(now, asked)
			updated, verdict := ledger.WithAsk(now, "b", asked)
			if !explanation.agrees(verdict) {
				t.Fatalf("explanation %+v does not agree with verdict %+v", explanation, verdict)
			}
			if again := ledger.Explain(now, asked); again != explanation {
				t.Fatalf("explanation %+v became %+v", explanation, again)
			}
			result := rapid.SampledFrom([]coltsfootlink.Result{coltsfootlink.Succeeded, coltsfootlink.Succeeded, coltsfootlink.Failed, coltsfootlink.Refused}).Draw(t, "result")
			ended := coltsfootlink.Progress{Serial: serial - uint64(rapid.IntRange(0, 5).Draw(t, "behind")), Stage: coltsfootlink.Ended, Result: result}
			ledger = updated.WithProgress(now, "b", ended)
		}
	})
}

// TestExplainedState guards against an explanation that hides why a target takes no requests.
func TestExplainedState(t *testing.T) {
	cases := map[string]struct {
		change      func(ledger Ledger, now time.Time) Ledger
		unavailable coltsfootlink.Reason
		pace        pace.Cause
		cold, open  bool
	}{
		"at work":      {func(ledger Ledger, _ time.Time) Ledger { return ledger }, "", "", false, false},
		"full":         {func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 12, "") }, "", "", false, false},
		"returned":     {func(ledger Ledger, now time.Time) Ledger { return ledger.WithZoneReturned(now) }, "", pace.ZoneReturned, false, false},
		"blocked":      {func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 1, coltsfootlink.Refused) }, coltsfootlink.TargetDown, "", true, false},
		"breaker open": {func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 9, coltsfootlink.Failed) }, coltsfootlink.TargetFailing, "", false, true},
		"leaving": {func(ledger Ledger, _ time.Time) Ledger {
			return ledger.WithNotice(coltsfootlink.TargetNotice{Leaving: true})
		}, coltsfootlink.TargetLeaving, "", false, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, 12)
			explanation := test.change(ledger, now).Explain(now, ask(now, 99, prompt(0, 10, 99), time.Second))
			So(explanation.Unavailable, ShouldEqual, test.unavailable)
			So(explanation.Pace, ShouldEqual, test.pace)
			So(explanation.Cold, ShouldEqual, test.cold)
			So(explanation.BreakerOpen, ShouldEqual, test.open)
		})
	}
}
