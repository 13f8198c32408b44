package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

func TestCalls(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("every instance serves whole answers", t, func() {
		for _, instance := range fleet.Instances {
			result := fleet.Do(ctx, layout(instance, "roof-"+instance.Name, 30))
			So(result.Complete, ShouldBeTrue)
			So(result.Outcome, ShouldEqual, coltsfootlink.Ran)
		}
	})

	instance := fleet.Instances[0]
	refusals := map[string]struct {
		change func(*rig.Call)
		status int
		reason coltsfootlink.Reason
	}{
		"an unknown team":    {func(call *rig.Call) { call.Token = "nobody" }, http.StatusUnauthorized, coltsfootlink.UnknownTeam},
		"an unknown pool":    {func(call *rig.Call) { call.Pool = "nothing" }, http.StatusNotFound, coltsfootlink.UnknownPool},
		"an unknown route":   {func(call *rig.Call) { call.Route = "nowhere" }, http.StatusNotFound, coltsfootlink.UnknownRoute},
		"a body too large":   {func(call *rig.Call) { call.Work.Serial = strings.Repeat("x", 5000) }, http.StatusRequestEntityTooLarge, coltsfootlink.BodyTooLarge},
		"a past deadline":    {func(call *rig.Call) { call.Deadline = time.Now().Add(-time.Minute) }, http.StatusGatewayTimeout, coltsfootlink.PastDeadline},
		"a key that is none": {func(call *rig.Call) { call.Pool, call.Route, call.Key = "desk", "pickup", "seven" }, http.StatusBadRequest, coltsfootlink.MalformedKey},
		"a missing key":      {func(call *rig.Call) { call.Pool, call.Route = "desk", "pickup" }, http.StatusBadRequest, coltsfootlink.MissingKey},
	}
	for name, test := range refusals {
		Convey("refused: "+name, t, func() {
			call := layout(instance, "refused", 10)
			test.change(&call)
			result := fleet.Do(ctx, call)
			So(result.Status, ShouldEqual, test.status)
			So(result.Reason, ShouldEqual, test.reason)
			So(result.Outcome, ShouldEqual, coltsfootlink.NotRun)
			So(runs(ctx, fleet, call.Work.Serial), ShouldEqual, 0)
		})
	}

	faults := map[string]struct {
		fault standin.Fault
		whole bool
	}{
		"errors are tried elsewhere":                       {standin.Fault{Fail: 1}, true},
		"another request's answer is never passed on":      {standin.Fault{Cross: 1}, true},
		"a cut answer never looks whole":                   {standin.Fault{Cut: 1}, false},
		"an answer without its end mark never looks whole": {standin.Fault{Unmarked: 1}, false},
	}
	for name, test := range faults {
		Convey(name, t, func() {
			for _, target := range fleet.Plan.Targets {
				So(fleet.SetFault(ctx, target.Name, test.fault), ShouldBeNil)
			}
			serial := "fault-" + strings.ReplaceAll(name, " ", "-")
			result := fleet.Do(ctx, layout(instance, serial, 40))
			So(result.Crossed, ShouldBeFalse)
			So(result.Complete, ShouldEqual, test.whole)
			if !test.whole {
				So(result.Ended, ShouldBeFalse)
			}
			for _, target := range fleet.Plan.Targets {
				So(fleet.SetFault(ctx, target.Name, standin.Fault{}), ShouldBeNil)
			}
		})
	}
}

func TestCrashingRequest(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("a request that crashes targets takes no third one, on any instance", t, func() {
		call := layout(fleet.Instances[0], "poison", 10)
		call.Work.Poison = true
		first := fleet.Do(ctx, call)
		So(first.Outcome, ShouldEqual, coltsfootlink.MayHaveRun)
		So(runs(ctx, fleet, "poison"), ShouldBeLessThanOrEqualTo, 2)
		for _, instance := range fleet.Instances[1:] {
			eventually(t, "the request is barred on "+instance.Name, func() bool {
				call.Instance = instance
				result := fleet.Do(ctx, call)
				return result.Reason == coltsfootlink.CrashingRequest && result.Outcome == coltsfootlink.MayHaveRun
			})
		}
		eventually(t, "the targets are back", func() bool { return len(fleet.Stats(ctx)) == len(fleet.Plan.Targets) })
		So(runs(ctx, fleet, "poison"), ShouldEqual, 2)
	})
	Convey("other requests of the team go on", t, func() {
		So(fleet.Do(ctx, layout(fleet.Instances[0], "harmless", 10)).Complete, ShouldBeTrue)
	})
}

func TestCallerThatLeaves(t *testing.T) {
	fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, targets(1, 1) })
	ctx := t.Context()
	Convey("a caller that goes away frees its target, and what waits is served", t, func() {
		call := layout(fleet.Instances[0], "long", 400)
		call.Deadline = time.Now().Add(time.Second / 10)
		for range 20 {
			So(fleet.Do(ctx, call).Complete, ShouldBeFalse)
		}
		eventually(t, "nothing runs", func() bool {
			running := 0
			for _, target := range fleet.Stats(ctx) {
				running += target.Running
			}
			return running == 0
		})
		for count := range 10 {
			So(fleet.Do(ctx, layout(fleet.Instances[1], fmt.Sprint("after-", count), 10)).Complete, ShouldBeTrue)
		}
	})
}
