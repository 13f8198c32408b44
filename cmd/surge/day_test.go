package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReadDay(t *testing.T) {
	text, err := days.ReadFile(defaultDay)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		change  func(string) string
		finding string
	}{
		"the built-in day":           {func(text string) string { return text }, ""},
		"engines is zero":            {func(text string) string { return strings.Replace(text, "engines = 4", "engines = 0", 1) }, "engines: must be positive"},
		"unknown policy":             {func(text string) string { return strings.Replace(text, `"affinity"`, `"luck"`, 1) }, "luck is not known"},
		"unknown key":                {func(text string) string { return text + "\nnovel = 1\n" }, "novel"},
		"class without an objective": {func(text string) string { return strings.Replace(text, "objective-ms = 800", "objective-ms = 0", 1) }, "class.layout"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			file := filepath.Join(t.TempDir(), "day.toml")
			So(os.WriteFile(file, []byte(test.change(string(text))), 0o600), ShouldBeNil)
			_, err := readDay(file)
			if test.finding == "" {
				So(err, ShouldBeNil)
				return
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, test.finding)
		})
	}
}

func TestArrivals(t *testing.T) {
	Convey("requests arrive at the rates of the day, also in a burst, and the same seed gives the same requests", t, func() {
		day, err := readDay("")
		So(err, ShouldBeNil)
		first, second := day.arrivals(3), day.arrivals(3)
		So(first, ShouldResemble, second)
		baseline, flood := 0, 0
		for _, arrival := range first {
			switch seconds := arrival.at.Seconds(); {
			case seconds < 5:
				baseline++
			case seconds >= 11 && seconds < 15 && arrival.team == 1:
				flood++
			}
		}
		So(float64(baseline), ShouldAlmostEqual, 5*60, 60)
		So(float64(flood), ShouldAlmostEqual, 4*60*8*day.teamFraction(1), 120)
	})
}

func TestScore(t *testing.T) {
	Convey("a complete answer earns its full value in time and less when late; refused and failed requests earn nothing", t, func() {
		day := dayPlan{Seconds: 2, Teams: 2, Classes: []class{{ObjectiveMillis: 100, Value: 4, LateValue: 1}}}
		result := day.score("p", []callResult{
			{arrival: arrival{team: 0}, status: http.StatusOK, firstEvent: 50 * time.Millisecond},
			{arrival: arrival{team: 0, at: time.Second}, status: http.StatusOK, firstEvent: 150 * time.Millisecond},
			{arrival: arrival{team: 1}, status: http.StatusServiceUnavailable},
			{arrival: arrival{team: 1}, status: 0, firstEvent: 50 * time.Millisecond},
		})
		So([]int{result.InTime, result.Late, result.Refused, result.Failed}, ShouldResemble, []int{1, 1, 1, 1})
		So(result.EarnedShare, ShouldEqual, 5.0/16)
		So(result.WorstTeamShare, ShouldEqual, 0)
		So(result.EarnedShareBySecond, ShouldResemble, []float64{4.0 / 12, 1.0 / 4})
	})
}
