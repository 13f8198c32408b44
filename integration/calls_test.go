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

func TestCallOutcomes(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("every instance returns complete answers", t, func() {
		for _, instance := range fleet.Instances {
			result := fleet.Do(ctx, layoutCall(instance, "roof-"+instance.Name, 30))
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
		"an unknown team":          {func(call *rig.Call) { call.Token = "nobody" }, http.StatusUnauthorized, coltsfootlink.UnknownTeam},
		"an unknown pool":          {func(call *rig.Call) { call.Pool = "nothing" }, http.StatusNotFound, coltsfootlink.UnknownPool},
		"an unknown route":         {func(call *rig.Call) { call.Route = "nowhere" }, http.StatusNotFound, coltsfootlink.UnknownRoute},
		"a body that is too large": {func(call *rig.Call) { call.Work.Serial = strings.Repeat("x", 5000) }, http.StatusRequestEntityTooLarge, coltsfootlink.BodyTooLarge},
		"a deadline in the past":   {func(call *rig.Call) { call.Deadline = time.Now().Add(-time.Minute) }, http.StatusGatewayTimeout, coltsfootlink.PastDeadline},
		"a malformed key":          {func(call *rig.Call) { call.Pool, call.Route, call.Key = "desk", "pickup", "seven" }, http.StatusBadRequest, coltsfootlink.MalformedKey},
		"a missing key":            {func(call *rig.Call) { call.Pool, call.Route = "desk", "pickup" }, http.StatusBadRequest, coltsfootlink.MissingKey},
	}
	for name, test := range refusals {
		Convey("a request is refused for "+name, t, func() {
			call := layoutCall(instance, "refused", 10)
			test.change(&call)
			result := fleet.Do(ctx, call)
			So(result.Status, ShouldEqual, test.status)
			So(result.Reason, ShouldEqual, test.reason)
			So(result.Outcome, ShouldEqual, coltsfootlink.NotRun)
			So(executions(ctx, fleet, call.Work.Serial), ShouldEqual, 0)
		})
	}

	faults := map[string]struct {
		fault    standin.Fault
		complete bool
	}{
		"a failed request is retried on another target":               {standin.Fault{Fail: 1}, true},
		"an answer to another request is never forwarded":             {standin.Fault{Cross: 1}, true},
		"a truncated answer is never ended as complete":               {standin.Fault{Cut: 1}, false},
		"an answer without its end marker is never ended as complete": {standin.Fault{Unmarked: 1}, false},
	}
	for name, test := range faults {
		Convey(name, t, func() {
			for _, target := range fleet.Plan.Targets {
				So(fleet.SetFault(ctx, target.Name, test.fault), ShouldBeNil)
			}
			serial := "fault-" + strings.ReplaceAll(name, " ", "-")
			result := fleet.Do(ctx, layoutCall(instance, serial, 40))
			So(result.Crossed, ShouldBeFalse)
			So(result.Complete, ShouldEqual, test.complete)
			if !test.complete {
				So(result.Ended, ShouldBeFalse)
			}
			for _, target := range fleet.Plan.Targets {
				So(fleet.SetFault(ctx, target.Name, standin.Fault{}), ShouldBeNil)
			}
		})
	}
}

func TestCrashingRequestIsBarred(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("a request that crashes its targets is sent to two at most, through whichever instance it comes", t, func() {
		call := layoutCall(fleet.Instances[0], "poison", 10)
		call.Work.Poison = true
		first := fleet.Do(ctx, call)
		So(first.Outcome, ShouldEqual, coltsfootlink.MayHaveRun)
		So(executions(ctx, fleet, "poison"), ShouldBeLessThanOrEqualTo, 2)
		for _, instance := range fleet.Instances[1:] {
			eventually(t, "the request is refused on "+instance.Name, func() bool {
				call.Instance = instance
				result := fleet.Do(ctx, call)
				return result.Reason == coltsfootlink.CrashingRequest && result.Outcome == coltsfootlink.MayHaveRun
			})
		}
		eventually(t, "all targets are up again", func() bool { return len(fleet.Stats(ctx)) == len(fleet.Plan.Targets) })
		So(executions(ctx, fleet, "poison"), ShouldEqual, 2)
	})
	Convey("other requests of the team are still served", t, func() {
		So(fleet.Do(ctx, layoutCall(fleet.Instances[0], "harmless", 10)).Complete, ShouldBeTrue)
	})
}

func TestCallerDisconnect(t *testing.T) {
	fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, planTargets(1, 1) })
	ctx := t.Context()
	Convey("the target of a disconnected caller becomes free, and later requests are served", t, func() {
		call := layoutCall(fleet.Instances[0], "long", 400)
		call.Deadline = time.Now().Add(time.Second / 10)
		for range 20 {
			So(fleet.Do(ctx, call).Complete, ShouldBeFalse)
		}
		eventually(t, "no target runs a request", func() bool {
			running := 0
			for _, target := range fleet.Stats(ctx) {
				running += target.Running
			}
			return running == 0
		})
		for count := range 10 {
			So(fleet.Do(ctx, layoutCall(fleet.Instances[1], fmt.Sprint("after-", count), 10)).Complete, ShouldBeTrue)
		}
	})
}
