package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// TestARestoreDoesNotBringBackWhatIsGone guards against gateways that use a revoked key or a target that has left again, because
// the store was restored from a copy in which these are still listed, also where a gateway starts before they have been
// written again.
func TestARestoreDoesNotBringBackWhatIsGone(t *testing.T) {
	const (
		away, rewrite = 300 * time.Millisecond, 1500 * time.Millisecond
		// watched is how long the gateways are called after the restore began: beyond the time for changes.
		watched = 6 * time.Second
	)
	cases := map[string]struct{ restarts bool }{
		"all gateways go on":                     {false},
		"one gateway starts during the rewrites": {true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			bed := startTestbed(t)
			time.Sleep(time.Second)
			changedAt := time.Now()
			left := bed.targets["t-0"]
			bed.put(t, platform.TargetTopic, left.name, nil)
			bed.configure(t, "new-key")
			for index := range bed.gateways {
				eventually(t, "all gateways know the new key", func() bool {
					status, _, err := bed.call(index, "/safe/a", fmt.Sprint("before-", time.Now()), "new-key")
					return err == nil && status == http.StatusOK
				})
			}
			time.Sleep(500 * time.Millisecond)
			restore := standin.Restore{
				AgeMillis:  int(time.Since(changedAt).Milliseconds()) + 200,
				AwayMillis: int(away.Milliseconds()), RewriteMillis: int(rewrite.Milliseconds()), Seed: 7,
			}
			restored := make(chan error, 1)
			began := time.Now()
			go func() { restored <- bed.restore(restore) }()
			if test.restarts {
				So(bed.gateways[0].Kill(), ShouldBeNil)
				time.Sleep(time.Until(began.Add(away + 100*time.Millisecond)))
				So(bed.gateways[0].Start(), ShouldBeNil)
				So(bed.gateways[0].WaitReady(t.Context()), ShouldBeNil)
			}
			for number := 0; time.Since(began) < watched; number++ {
				for index := range bed.gateways {
					status, _, err := bed.call(index, "/safe/a", fmt.Sprintf("revoked-%d-%d", index, number), "key")
					So(err, ShouldBeNil)
					So(status, ShouldEqual, http.StatusUnauthorized)
					status, _, err = bed.call(index, "/safe/a", fmt.Sprintf("new-%d-%d", index, number), "new-key")
					So(err, ShouldBeNil)
					if test.restarts {
						// Requests may be refused while the targets of the killed gateway have no owner.
						So(status, ShouldBeIn, http.StatusOK, http.StatusServiceUnavailable)
						continue
					}
					So(status, ShouldEqual, http.StatusOK)
				}
				time.Sleep(pollInterval)
			}
			So(<-restored, ShouldBeNil)
			So(left.arrivalsBetween(began, time.Now()), ShouldEqual, 0)
		})
	}
}

// restore has the store restored from an earlier copy, and returns when all lost records have been written again.
func (bed *testbed) restore(restore standin.Restore) error {
	body, err := json.Marshal(restore)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+bed.storeAddress+standin.RestorePath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the restore was refused with status %d", response.StatusCode)
	}
	return nil
}
