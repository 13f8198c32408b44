package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// TestRequestsCountOnceForUsage checks the requests that are counted for the platform's usage reports.
func TestRequestsCountOnceForUsage(t *testing.T) {
	first := Report{Stage: coltsfootlink.FirstEvent}
	ended := func(result coltsfootlink.Result) Report { return Report{Stage: coltsfootlink.Ended, Result: result} }
	cases := map[string]struct {
		team coltsfootlink.TeamName
		// attempts are the reports on each attempt of one request.
		attempts [][]Report
		begun    int
	}{
		"a stream":                              {"x", [][]Report{{first, ended(coltsfootlink.Succeeded)}}, 1},
		"a first event that is reported twice":  {"x", [][]Report{{first, first, ended(coltsfootlink.Succeeded)}}, 1},
		"an answer of a plain service":          {"x", [][]Report{{ended(coltsfootlink.Succeeded)}}, 1},
		"a stream that the caller left":         {"x", [][]Report{{first, ended(coltsfootlink.Cancelled)}}, 1},
		"a request that never reached a target": {"x", [][]Report{{ended(coltsfootlink.Unused)}}, 0},
		"a connection that broke, and a retry":  {"x", [][]Report{{ended(coltsfootlink.Crashed)}, {first, ended(coltsfootlink.Succeeded)}}, 1},
		"a stream that broke and was resumed":   {"x", [][]Report{{first, ended(coltsfootlink.Crashed)}, {first, ended(coltsfootlink.Succeeded)}}, 1},
		"a public route, without a team":        {"", [][]Report{{first, ended(coltsfootlink.Succeeded)}}, 0},
	}
	for name, test := range cases {
		Convey("a request is counted twice or not at all: "+name, t, func() {
			task, _, clock := newTask()
			task.Duties = mailbox.NewDeliveries()
			for attempt, reports := range test.attempts {
				want := newWant(clock, nil)
				want.Team, want.Retry = test.team, attempt > 0
				task.running[7] = running{want: want, target: "t-1"}
				for _, report := range reports {
					report.Serial = 7
					task.handleReport(report)
				}
			}
			begun := task.Duties.Drain()
			So(begun, ShouldHaveLength, test.begun)
			for _, delivery := range begun {
				So(delivery.Message, ShouldResemble, coltsfootlink.UsageBegun{At: clock.now, Team: "x"})
			}
			clock.now = clock.now.Add(time.Hour)
			task.begun.with(clock.now, Want{ID: "other"})
			So(task.begun, ShouldHaveLength, 1)
		})
	}
	Convey("a caller that uses the identifier of a request again begins another one", t, func() {
		task, _, clock := newTask()
		task.Duties = mailbox.NewDeliveries()
		for range 2 {
			task.running[7] = running{want: newWant(clock, nil), target: "t-1"}
			for _, report := range []Report{first, ended(coltsfootlink.Crashed)} {
				report.Serial = 7
				task.handleReport(report)
			}
		}
		So(task.Duties.Drain(), ShouldHaveLength, 2)
	})
	Convey("without duties nothing is counted", t, func() {
		task, _, clock := newTask()
		task.running[7] = running{want: newWant(clock, nil), target: "t-1"}
		task.handleReport(Report{Serial: 7, Stage: coltsfootlink.FirstEvent})
		task.handleReport(Report{Serial: 7, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
		So(task.begun, ShouldBeEmpty)
	})
}
