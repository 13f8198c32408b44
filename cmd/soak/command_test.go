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

	// With this import a change of the gateway makes old results void.
	_ "coltsfootlink/gateway"
)

func TestPlan(t *testing.T) {
	size := size{Instances: 5, Targets: 8, Zones: 2}
	Convey("a plan is a function of its seed", t, func() {
		So(newPlan(7, size, time.Minute), ShouldResemble, newPlan(7, size, time.Minute))
		So(newPlan(7, size, time.Minute), ShouldNotResemble, newPlan(8, size, time.Minute))
	})
	Convey("faults end in time, and none ends another", t, func() {
		drawn := make(map[faultKind]bool)
		for seed := range uint64(50) {
			plan := newPlan(seed, size, time.Minute)
			for place, planned := range plan {
				drawn[planned.Kind] = true
				So(planned.Ends, ShouldBeBetweenOrEqual, planned.Starts, time.Minute.Milliseconds())
				for _, other := range plan[:place] {
					So(planned.excludes(other), ShouldBeFalse)
				}
			}
		}
		So(len(drawn), ShouldEqual, len(traits()))
	})
}

func TestMistakes(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		text      string
	}{
		"an unknown flag":    {[]string{"--sed", "1"}, "sed"},
		"no seeds":           {[]string{"--seeds", "0"}, "--seeds must be at least 1"},
		"a number of words":  {[]string{"--seed", "one"}, "one"},
		"too short a time":   {[]string{"--for", "1s"}, "--for must be at least 5s"},
		"no instances":       {[]string{"--instances", "0"}, "--instances must be between"},
		"a word too many":    {[]string{"again"}, `unexpected argument "again"`},
		"too many instances": {[]string{"--instances", "1000"}, "--instances must be between"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			err := run(test.arguments, new(bytes.Buffer))
			So(errors.Is(err, errMistake), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, test.text)
		})
	}
}

func TestRegressions(t *testing.T) {
	Convey("each seed that has failed says what broke, and why", t, func() {
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
	Convey("a short soak keeps all promises", t, func() {
		var out bytes.Buffer
		So(run([]string{"--seed", "1", "--for", "10s", "--instances", "4", "--json", "--no-regressions", "--folder", filepath.Join(os.TempDir(), "soak-failures")}, &out), ShouldBeNil)
		var ended outcome
		So(json.Unmarshal(out.Bytes(), &ended), ShouldBeNil)
		So(ended.Breaches, ShouldBeEmpty)
		So(ended.Served, ShouldBeGreaterThan, 0)
		So(ended.Steps, ShouldBeGreaterThan, 0)
	})
}
