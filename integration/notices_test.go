package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

// arrivalsBetween returns the number of requests that arrived at the target in a time span.
func (target *recordingTarget) arrivalsBetween(from, to time.Time) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	count := 0
	for _, at := range target.arrivals {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

func TestLeavingTargetsGetNoNewRequests(t *testing.T) {
	Convey("a target that says in its answers that it is leaving gets no requests, though its record says that it is ready", t, func() {
		bed := startTestbed(t)
		stop := bed.load("/safe/a", 0, 1, 2, 3)
		defer stop()
		target := bed.targets["t-0"]
		eventually(t, "the target gets requests", func() bool { return target.arrivalsBetween(time.Time{}, time.Now()) > 0 })
		target.leaving.Store(true)
		time.Sleep(time.Second)
		from := time.Now()
		bed.register(t, target, platform.ReadyState)
		time.Sleep(time.Second)
		So(target.arrivalsBetween(from, time.Now()), ShouldEqual, 0)
		Convey("until it has restarted under its name", func() {
			target.leaving.Store(false)
			target.born = 1
			bed.register(t, target, platform.ReadyState)
			restarted := time.Now()
			eventually(t, "the target gets requests again", func() bool { return target.arrivalsBetween(restarted, time.Now()) > 0 })
		})
	})
}

func TestTargetsThatWantNoRequestsAreLeftAlone(t *testing.T) {
	// forwardedBefore is how long after the target's refusal requests that were already on their way may still arrive.
	const seconds, forwardedBefore, mostAfter = 2, 500 * time.Millisecond, 2
	Convey("a target that refuses requests with a Retry-After gets none from any gateway until then, and then some again", t, func() {
		bed := startTestbed(t)
		stop := bed.load("/safe/a", 0, 1, 2, 3)
		defer stop()
		target := bed.targets["t-0"]
		eventually(t, "the target gets requests", func() bool { return target.arrivalsBetween(time.Time{}, time.Now()) > 0 })
		refusedAt := time.Now()
		target.retryAfterSeconds.Store(seconds)
		eventually(t, "the target refuses a request", func() bool { return target.arrivalsBetween(refusedAt, time.Now()) > 0 })
		refusedAt = time.Now()
		time.Sleep(seconds*time.Second - forwardedBefore/2)
		So(target.arrivalsBetween(refusedAt.Add(forwardedBefore), time.Now()), ShouldBeLessThanOrEqualTo, mostAfter)
		target.retryAfterSeconds.Store(0)
		wantedAt := time.Now()
		eventually(t, "the target gets requests again", func() bool { return target.arrivalsBetween(wantedAt, time.Now()) > 0 })
	})
}

// TestRestartsDoNotBringBackWhatIsGone checks that a gateway that restarts uses neither a key that was revoked nor a target
// that has left, although one of its peers, which is cut off from the platform, knows of neither.
func TestRestartsDoNotBringBackWhatIsGone(t *testing.T) {
	const outdated, restarted = 1, 0
	cases := map[string]rig.Mode{"the platform can be read": rig.Pass, "the platform cannot be read": rig.Abort}
	for name, mode := range cases {
		Convey("neither a revoked key nor a target that has left is in use again: "+name, t, func() {
			bed := startProxiedTestbed(t)
			bed.gateways[outdated].StoreProxy.Set(rig.Abort)
			time.Sleep(500 * time.Millisecond)
			left := bed.targets["t-0"]
			bed.put(t, platform.TargetTopic, left.name, nil)
			bed.configure(t, "new-key")
			eventually(t, "the other gateways know the new key", func() bool {
				status, _, err := bed.call(2, "/safe/a", fmt.Sprint("before-", time.Now()), "new-key")
				return err == nil && status == http.StatusOK
			})
			So(bed.gateways[restarted].Kill(), ShouldBeNil)
			bed.gateways[restarted].StoreProxy.Set(mode)
			So(bed.gateways[restarted].Start(), ShouldBeNil)
			So(bed.gateways[restarted].WaitReady(t.Context()), ShouldBeNil)
			// The gateway has heard of some peers only at first.
			time.Sleep(2 * time.Second)
			from := time.Now()
			for number := range 40 {
				status, _, err := bed.call(restarted, "/safe/a", fmt.Sprint("revoked-", number), "key")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusUnauthorized)
				status, _, err = bed.call(restarted, "/safe/a", fmt.Sprint("new-", number), "new-key")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			}
			So(left.arrivalsBetween(from, time.Now()), ShouldEqual, 0)
		})
	}
}
