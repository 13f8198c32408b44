package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// maxConfigurationDelay is the time within which a configuration that was written again has to be in force everywhere.
const maxConfigurationDelay = 3 * time.Second

// restore has the stand-in store restored from a copy of the given age, and returns once the lost records of the operator and the
// targets have been written again.
func restore(t *testing.T, address string, plan standin.Restore) {
	t.Helper()
	body, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+standin.RestorePath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("the restore was refused with status %d", response.StatusCode)
	}
}

// ageSince returns the age of a copy that was made at the given time, in milliseconds.
func ageSince(copied time.Time) int { return int(time.Since(copied).Milliseconds()) }

// TestGatewaysAcrossARestore restores the store under load. It guards against requests that run twice, configurations that were
// written again and are not in force within maxConfigurationDelay, moves that lose their outcome, and calls that fail afterwards.
func TestGatewaysAcrossARestore(t *testing.T) {
	cases := map[string]struct {
		// before is done after the copy was made and before the store goes away; it is lost.
		before func(t *testing.T, bed *testbed)
		// away and rewrite are in milliseconds.
		away, rewrite, late int
		// key is the API key that is valid in the end, and status the state of the move.
		key, status string
		// abandoned is the version that may get no requests after the restore; empty for none.
		abandoned string
	}{
		"nothing but what the gateways wrote is lost": {func(*testing.T, *testbed) { time.Sleep(time.Second) }, 500, 0, 0, "key", "", ""},
		"a configuration is lost": {func(t *testing.T, bed *testbed) {
			bed.configure(t, "new-key")
			time.Sleep(time.Second)
		}, 500, 300, 0, "new-key", "", ""},
		"late appends are carried out after the restore": {func(t *testing.T, bed *testbed) {
			bed.configure(t, "new-key")
			time.Sleep(time.Second)
		}, 500, 300, 300, "new-key", "", ""},
		"the outcome of a rolled-back move and its order are lost":    {endMove(true, false), 500, 300, 0, "key", platform.RolledBackStatus, "v2"},
		"the outcome of a completed move and its order are lost":      {endMove(false, false), 500, 300, 0, "key", platform.CompletedStatus, "v1"},
		"the outcome of a rolled-back move is lost, the order is not": {endMove(true, true), 500, 0, 0, "key", platform.RolledBackStatus, "v2"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			bed := startTestbed(t)
			time.Sleep(100 * time.Millisecond)
			copied := time.Now()
			stop := bed.load("/unsafe/a", 0, 1, 2, 3)
			time.Sleep(300 * time.Millisecond)
			test.before(t, bed)
			if !bed.copied.IsZero() {
				copied = bed.copied
			}
			restore(t, bed.storeAddress, standin.Restore{AgeMillis: ageSince(copied), AwayMillis: test.away, RewriteMillis: test.rewrite, LateMillis: test.late})
			writtenAgain := time.Now()
			eventually(t, "the configuration that was written again is in force on all gateways", func() bool {
				for index := range bed.gateways {
					if status, _, _ := bed.call(index, "/safe/a", fmt.Sprint("restored-", index, "-", time.Now().UnixNano()), test.key); status != http.StatusOK {
						return false
					}
				}
				return true
			})
			So(time.Since(writtenAgain), ShouldBeLessThan, maxConfigurationDelay)
			if test.status != "" {
				eventually(t, "the outcome is recorded again", func() bool { return bed.status() == test.status })
			}
			settled := time.Now()
			time.Sleep(2 * time.Second)
			for _, result := range stop() {
				So(bed.executions(result.id), ShouldBeLessThanOrEqualTo, 1)
			}
			if test.abandoned != "" {
				So(bed.lastExecution(withVersion(test.abandoned)), ShouldHappenBefore, settled)
				So(bed.status(), ShouldEqual, test.status)
			}
			for index := range bed.gateways {
				for number := range 5 {
					status, _, err := bed.call(index, "/unsafe/a", fmt.Sprint("after-", index, "-", number), test.key)
					So(err, ShouldBeNil)
					So(status, ShouldEqual, http.StatusOK)
				}
			}
		})
	}
}

// endMove returns what orders a move to version v2 and waits for its end. If the order is kept, the copy is made after it.
func endMove(fails, orderKept bool) func(t *testing.T, bed *testbed) {
	return func(t *testing.T, bed *testbed) {
		t.Helper()
		for index := range 4 {
			bed.add(t, &recordingTarget{name: fmt.Sprint("n-", index), zone: zones[index%2], version: "v2", fails: fails})
		}
		bed.put(t, platform.OperatorTopic, "rollout/p", platform.MoveOrderDocument{Service: "p", Target: "v2", Seconds: 6})
		if orderKept {
			time.Sleep(100 * time.Millisecond)
			bed.copied = time.Now()
		}
		eventually(t, "the move has ended", func() bool {
			return bed.status() == platform.RolledBackStatus || bed.status() == platform.CompletedStatus
		})
		// The outcome is announced to all gateways.
		time.Sleep(500 * time.Millisecond)
	}
}
