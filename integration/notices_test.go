package integration

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
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
