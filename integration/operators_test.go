package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

// writeFleetFile writes a fleet configuration in which the team carpenters has this weight, and returns the path.
func writeFleetFile(t *testing.T, weight float64) string {
	t.Helper()
	team := configuration().Teams["carpenters"].WithWeight(weight)
	text, err := settings.FormatFleet(configuration().WithTeam(team))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestConfiguration(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("an accepted revision is in force on all instances", t, func() {
		answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "apply "+writeFleetFile(t, 2))
		So(err, ShouldBeNil)
		So(answer.Rows, ShouldResemble, [][]string{{"2", "8 of 8 instances"}})
	})
	Convey("a document with errors is refused by every instance, with a list of all errors", t, func() {
		file := filepath.Join(t.TempDir(), "bad.toml")
		So(os.WriteFile(file, []byte("[[team]]\nname = \"X\"\nweight = 0.0\n"), 0o600), ShouldBeNil)
		for _, instance := range fleet.Instances[:3] {
			_, err := fleet.RunStatement(ctx, instance, "apply "+file)
			So(err, ShouldNotBeNil)
			for _, location := range []string{"fleet:2: team[0].name", "fleet:3: team[0].weight", "team[0].token-hash", "pool"} {
				So(err.Error(), ShouldContainSubstring, location)
			}
		}
	})
	Convey("of concurrent changes at least one is accepted, and the others are refused as conflicts", t, func() {
		errs := make(chan error, 4)
		for operator := range 4 {
			file := writeFleetFile(t, float64(10+operator))
			go func() {
				_, err := fleet.RunStatement(ctx, fleet.Instances[operator], "apply "+file)
				errs <- err
			}()
		}
		conflicts := 0
		for range 4 {
			if err := <-errs; err != nil {
				So(err.Error(), ShouldContainSubstring, "came first")
				conflicts++
			}
		}
		So(conflicts, ShouldBeLessThan, 4)
	})
	Convey("while the platform is down changes are refused, and a restarted instance gets the revision from its peers", t, func() {
		before, err := fleet.RunStatement(ctx, fleet.Instances[0], "show revision")
		So(err, ShouldBeNil)
		So(fleet.SetOutage(ctx, standin.Outage{Down: true}), ShouldBeNil)
		_, err = fleet.RunStatement(ctx, fleet.Instances[0], "take zone a out")
		So(err, ShouldNotBeNil)
		So(fleet.Instances[4].Kill(), ShouldBeNil)
		So(fleet.Instances[4].Start(), ShouldBeNil)
		So(fleet.WaitReady(ctx), ShouldBeNil)
		after, err := fleet.RunStatement(ctx, fleet.Instances[4], "show revision")
		So(err, ShouldBeNil)
		So(after.Revision, ShouldEqual, before.Revision)
		So(fleet.SetOutage(ctx, standin.Outage{}), ShouldBeNil)
	})
	Convey("a revision applied on one instance comes into force on all", t, func() {
		fleet.SetPlatform(rig.Pass)
		answer, err := fleet.RunStatement(ctx, fleet.Instances[1], "apply "+writeFleetFile(t, 3))
		So(err, ShouldBeNil)
		eventually(t, "the revision is in force everywhere", func() bool {
			for _, instance := range fleet.Instances {
				seen, err := fleet.RunStatement(ctx, instance, "show revision")
				if err != nil || seen.Revision < answer.Revision {
					return false
				}
			}
			return true
		})
	})
}

func TestZoneOutOfService(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("a zone that is out of service gets no new requests, and returns to service with cold limits", t, func() {
		running := make(chan rig.Result, 1)
		go func() { running <- fleet.Do(ctx, layoutCall(fleet.InZone("b")[0], "through", 400)) }()
		eventually(t, "the request runs", func() bool { return executions(ctx, fleet, "through") == 1 })
		answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "take zone b out")
		So(err, ShouldBeNil)
		So(answer.Rows[0][1], ShouldEqual, "8 of 8 instances")
		before := startedInZone(ctx, fleet, "b")
		for count := range 30 {
			instance := fleet.Instances[count%len(fleet.Instances)]
			So(fleet.Do(ctx, layoutCall(instance, fmt.Sprint("out-", count), 10)).Complete, ShouldBeTrue)
		}
		So(startedInZone(ctx, fleet, "b"), ShouldEqual, before)
		So((<-running).Complete, ShouldBeTrue)

		_, err = fleet.RunStatement(ctx, fleet.Instances[1], "take zone b out")
		So(err.Error(), ShouldContainSubstring, "already out")
		_, err = fleet.RunStatement(ctx, fleet.Instances[2], "bring zone b back")
		So(err, ShouldBeNil)
		owned, err := fleet.RunStatement(ctx, fleet.Instances[0], "show targets where zone = b")
		So(err, ShouldBeNil)
		for _, cells := range owned.Rows {
			if cells[1] == "assistant" {
				So(cells[5], ShouldEqual, "2")
			}
		}
		eventually(t, "zone b gets requests again", func() bool {
			fleet.Do(ctx, layoutCall(fleet.InZone("b")[0], "back", 10))
			return startedInZone(ctx, fleet, "b") > before
		})
	})
}

func TestQueries(t *testing.T) {
	fleet := startFleet(t)
	ctx := t.Context()
	Convey("backlogs and served requests are summed over all instances", t, func() {
		for _, instance := range fleet.Instances {
			So(fleet.Do(ctx, layoutCall(instance, "served-"+instance.Name, 25)).Complete, ShouldBeTrue)
		}
		eventually(t, "all served requests are counted", func() bool {
			answer, err := fleet.RunStatement(ctx, fleet.Instances[3], "show served by team in pool assistant last 10m")
			return err == nil && len(answer.Rows) == 1 && answer.Rows[0][1] == "8" && answer.Rows[0][2] == "200"
		})
		answer, err := fleet.RunStatement(ctx, fleet.Instances[3], "show waiting by team")
		So(err, ShouldBeNil)
		So(answer.Rows, ShouldBeEmpty)
	})
	Convey("the timeline holds events of all instances", t, func() {
		answer, err := fleet.RunStatement(ctx, fleet.Instances[2], "show timeline")
		So(err, ShouldBeNil)
		instances := make(map[string]bool)
		for _, cells := range answer.Rows {
			instances[cells[1]] = true
		}
		So(instances, ShouldHaveLength, 8)
	})
	Convey("a partial answer names the instance that did not reply", t, func() {
		So(fleet.Instances[7].Suspend(), ShouldBeNil)
		answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "show waiting")
		So(err, ShouldBeNil)
		So(answer.Missing, ShouldResemble, []string{fleet.Instances[7].Name})
		So(fleet.Instances[7].Resume(), ShouldBeNil)
	})
	Convey("a syntax error is reported with its column", t, func() {
		_, err := fleet.RunStatement(ctx, fleet.Instances[0], "show tragets")
		So(err.Error(), ShouldContainSubstring, "column 6")
	})
	Convey("a wrong token is refused", t, func() {
		_, err := fleet.RunStatementAs(ctx, "guess", fleet.Instances[0], "show targets")
		So(err.Error(), ShouldContainSubstring, "unauthorized")
	})
}

// TestConfigurationAcrossARestore guards against a change that was confirmed to an operator and is in force on some instances only, or
// on none, after the store has lost it, also on an instance that starts after the restore.
func TestConfigurationAcrossARestore(t *testing.T) {
	Convey("a change is lost and written again", t, func() {
		fleet := startFleet(t)
		ctx := t.Context()
		time.Sleep(100 * time.Millisecond)
		copied := time.Now()
		answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "apply "+writeFleetFile(t, 2))
		So(err, ShouldBeNil)
		So(fleet.Instances[4].Kill(), ShouldBeNil)
		So(fleet.Restore(ctx, standin.Restore{AgeMillis: ageSince(copied), AwayMillis: 300}), ShouldBeNil)
		So(fleet.Instances[4].Start(), ShouldBeNil)
		So(fleet.WaitReady(ctx), ShouldBeNil)
		var next rig.StatementResult
		eventually(t, "another change is accepted", func() bool {
			next, err = fleet.RunStatement(ctx, fleet.Instances[1], "apply "+writeFleetFile(t, 3))
			return err == nil
		})
		So(next.Revision, ShouldEqual, answer.Revision+1)
		eventually(t, "it is in force everywhere", func() bool {
			for _, instance := range fleet.Instances {
				seen, err := fleet.RunStatement(ctx, instance, "show revision")
				if err != nil || seen.Revision != next.Revision {
					return false
				}
			}
			return true
		})
	})
}
