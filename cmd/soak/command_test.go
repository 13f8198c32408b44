package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	// This import makes cached test results invalid when the gateway changes.
	_ "coltsfootlink/gateway"
)

func TestPlan(t *testing.T) {
	size := size{Instances: 5, Targets: 8, Zones: 2}
	Convey("the plan depends on nothing but its parameters", t, func() {
		So(newPlan(7, size, time.Minute), ShouldResemble, newPlan(7, size, time.Minute))
		So(newPlan(7, size, time.Minute), ShouldNotResemble, newPlan(8, size, time.Minute))
	})
	Convey("all faults end within the duration, and no two of them conflict", t, func() {
		drawn := make(map[faultKind]bool)
		for seed := range uint64(50) {
			plan := newPlan(seed, size, time.Minute)
			for index, step := range plan {
				drawn[step.Kind] = true
				So(step.Ends, ShouldBeBetweenOrEqual, step.Starts, time.Minute.Milliseconds())
				for _, other := range plan[:index] {
					So(step.conflicts(other), ShouldBeFalse)
				}
			}
		}
		So(len(drawn), ShouldEqual, len(faultSpecs()))
	})
}

// TestRestoresOfPlans guards against restores of the store that last longer than the fault that is judged.
func TestRestoresOfPlans(t *testing.T) {
	Convey("a restore and what is written again after it fit into the fault", t, func() {
		restores, late := 0, 0
		for seed := range uint64(50) {
			for _, step := range newPlan(seed, size{Instances: 5, Targets: 8, Zones: 2}, time.Minute) {
				if step.Kind != storeRestoredKind {
					continue
				}
				restores++
				planned := step.restore()
				So(int64(planned.AwayMillis+planned.RewriteMillis+planned.LateMillis), ShouldBeLessThanOrEqualTo, step.Ends-step.Starts)
				So(planned.AgeMillis, ShouldBeBetween, 0, 5001)
				if planned.LateMillis > 0 {
					late++
				}
			}
		}
		So(restores, ShouldBeGreaterThan, 0)
		So(late, ShouldBeBetween, 0, restores)
	})
}

func TestUsageErrors(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		text      string
	}{
		"an unknown flag":             {[]string{"--sed", "1"}, "sed"},
		"no seeds":                    {[]string{"--seeds", "0"}, "--seeds must be at least 1"},
		"a seed that is not a number": {[]string{"--seed", "one"}, "one"},
		"too short a duration":        {[]string{"--for", "1s"}, "--for must be at least 5s"},
		"no instances":                {[]string{"--instances", "0"}, "--instances must be between"},
		"an extra argument":           {[]string{"again"}, `unexpected argument "again"`},
		"too many instances":          {[]string{"--instances", "1000"}, "--instances must be between"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			err := run(test.arguments, new(bytes.Buffer))
			So(errors.Is(err, errUsage), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, test.text)
		})
	}
}

func TestRegressions(t *testing.T) {
	Convey("each regression gives its size, the broken rule and the cause", t, func() {
		known, err := readRegressions(regressionsText)
		So(err, ShouldBeNil)
		for _, failed := range known {
			So(failed.Instances, ShouldBeGreaterThan, 0)
			So(failed.Seconds, ShouldBeGreaterThan, 0)
			So(failed.Broke, ShouldNotBeEmpty)
			So(failed.Cause, ShouldNotBeEmpty)
		}
	})
}

func TestShortSoak(t *testing.T) {
	Convey("a short soak finds no breaches", t, func() {
		var out bytes.Buffer
		So(run([]string{"--seed", "1", "--for", "10s", "--instances", "4", "--json", "--no-regressions", "--folder", filepath.Join(os.TempDir(), "soak-failures")}, &out), ShouldBeNil)
		var result outcome
		So(json.Unmarshal(out.Bytes(), &result), ShouldBeNil)
		So(result.Breaches, ShouldBeEmpty)
		So(result.Served, ShouldBeGreaterThan, 0)
		So(result.FaultCount, ShouldBeGreaterThan, 0)
	})
}
