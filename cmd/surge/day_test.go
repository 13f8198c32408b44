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
		"the one that comes with it": {func(text string) string { return text }, ""},
		"no engines":                 {func(text string) string { return strings.Replace(text, "engines = 4", "engines = 0", 1) }, "engines: must be positive"},
		"an unknown policy":          {func(text string) string { return strings.Replace(text, `"affinity"`, `"luck"`, 1) }, "luck is not known"},
		"an unknown key":             {func(text string) string { return text + "\nnovel = 1\n" }, "novel"},
		"a class without an aim":     {func(text string) string { return strings.Replace(text, "objective-ms = 800", "objective-ms = 0", 1) }, "class.layout"},
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
	Convey("requests come as often as the day says, the same for each seed", t, func() {
		played, err := readDay("")
		So(err, ShouldBeNil)
		first, again := played.arrivals(3), played.arrivals(3)
		So(first, ShouldResemble, again)
		usual, flood := 0, 0
		for _, one := range first {
			switch seconds := one.at.Seconds(); {
			case seconds < 5:
				usual++
			case seconds >= 11 && seconds < 15 && one.team == 1:
				flood++
			}
		}
		So(float64(usual), ShouldAlmostEqual, 5*60, 60)
		So(float64(flood), ShouldAlmostEqual, 4*60*8*played.part(1), 120)
	})
}

func TestAccounts(t *testing.T) {
	Convey("whole answers in time earn their worth, late ones less, others nothing", t, func() {
		played := day{Seconds: 2, Teams: 2, Classes: []class{{ObjectiveMillis: 100, Worth: 4, Late: 1}}}
		sum := played.add("p", []served{
			{arrival: arrival{team: 0}, status: http.StatusOK, first: 50 * time.Millisecond},
			{arrival: arrival{team: 0, at: time.Second}, status: http.StatusOK, first: 150 * time.Millisecond},
			{arrival: arrival{team: 1}, status: http.StatusServiceUnavailable},
			{arrival: arrival{team: 1}, status: 0, first: 50 * time.Millisecond},
		})
		So([]int{sum.InTime, sum.Late, sum.Refused, sum.Failed}, ShouldResemble, []int{1, 1, 1, 1})
		So(sum.Worth, ShouldEqual, 5.0/16)
		So(sum.LeastTeam, ShouldEqual, 0)
		So(sum.BySecond, ShouldResemble, []float64{4.0 / 12, 1.0 / 4})
	})
}
