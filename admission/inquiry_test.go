package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/explain"
)

// TestExplainTargets guards against an answer to operators that differs from the verdict, or that reserves something.
func TestExplainTargets(t *testing.T) {
	fill := func(task *Task) { task.ledgers["t"] = granted(task.ledgers["t"], start, 12, "") }
	cases := map[string]struct {
		change func(task *Task)
		state  string
		reason coltsfootlink.Reason
	}{
		"at work":   {func(*Task) {}, explain.AtWork, ""},
		"full":      {fill, explain.AtWork, coltsfootlink.TargetFull},
		"not owned": {func(task *Task) { clear(task.ledgers) }, "not-the-owner", coltsfootlink.NotTheOwner},
		"leaving":   {func(task *Task) { task.catalog = task.catalog.WithZoneOut("", true) }, "target-leaving", coltsfootlink.TargetLeaving},
		"backoff": {func(task *Task) {
			task.ledgers["t"] = task.ledgers["t"].WithNotice(coltsfootlink.TargetNotice{RetryAt: start.Add(time.Second)})
		}, "target-backoff", coltsfootlink.TargetBackoff},
		"trial running":  {func(task *Task) { task.trials[7] = start.Add(time.Second) }, explain.AtWork, coltsfootlink.TrialRunning},
		"recovering":     {func(task *Task) { task.ledgers["t"] = task.ledgers["t"].WithZoneReturned(start) }, "zone-returned", ""},
		"breaker opened": {func(task *Task) { task.ledgers["t"] = granted(task.ledgers["t"], start, 9, coltsfootlink.Failed) }, explain.BreakerOpen, coltsfootlink.TargetFailing},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, last := ownerTask(start)
			task.trials = make(map[uint64]time.Time)
			test.change(task)
			inquiry := explain.TargetInquiry{
				Targets: []coltsfootlink.TargetName{"t"}, Team: "x", Work: prompt(0, 800, 9), Trial: 7, ObjectiveLeft: time.Second, TimeoutLeft: 10 * time.Second,
			}
			arguments, err := explain.Arguments(inquiry)
			So(err, ShouldBeNil)
			before, reply := fmt.Sprintf("%+v", task), make(chan coltsfootlink.Table, 1)
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.Inquiry{Subject: coltsfootlink.ExplainTargetsSubject, Arguments: arguments, Reply: reply}})
			So(fmt.Sprintf("%+v", task), ShouldEqual, before)
			So(last.Verdict, ShouldResemble, coltsfootlink.Verdict{})

			answers, err := explain.ParseTable[explain.Answers](<-reply)
			So(err, ShouldBeNil)
			answer := answers.Answers[0]
			So(answer.State, ShouldEqual, test.state)
			So(answer.Reason, ShouldEqual, test.reason)
			task.handle(coltsfootlink.Delivery{From: "i", Message: inquiry.Ask(start, "t")})
			So(last.Reason, ShouldEqual, answer.Reason)
			So(last.RetryAt.Equal(answer.RetryAt), ShouldBeTrue)
		})
	}
}

// TestExplainArguments guards against arguments that end the task, or that the ledgers are not made for.
func TestExplainArguments(t *testing.T) {
	cases := map[string]string{
		"no JSON":          "{",
		"empty":            "",
		"negative tokens":  `{"Targets":["t"],"Work":{"Prompt":[{"Tokens":-1}]}}`,
		"too many tokens":  `{"Targets":["t"],"Work":{"PromptTokens":99999999999}}`,
		"too many parts":   `{"Targets":["t"],"Work":{"Prompt":[{}` + strings.Repeat(",{}", 1<<10) + `]}}`,
		"too many targets": `{"Targets":["t"` + strings.Repeat(`,"t"`, 1<<5) + `]}`,
	}
	for name, arguments := range cases {
		Convey(name, t, func() {
			task, _ := ownerTask(start)
			So(task.inquired(start, coltsfootlink.Inquiry{Subject: coltsfootlink.ExplainTargetsSubject, Arguments: arguments}).Columns, ShouldBeEmpty)
		})
	}
}
