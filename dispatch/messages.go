package dispatch

import (
	"time"

	"coltsfootlink"
)

// Want requests a target for one request of a caller. The task replies with a Choice.
type Want struct {
	coltsfootlink.Local

	ID   coltsfootlink.RequestID
	Pool coltsfootlink.PoolName
	Team coltsfootlink.TeamName
	// Rule is the name of the routing rule that the request matched.
	Rule      string
	Work      coltsfootlink.Work
	Objective time.Time
	Deadline  time.Time
	// ForwarderEndsAt is when the instance ends that forwards the caller's connection; zero if there is none, or it does not
	// shut down.
	ForwarderEndsAt time.Time
	// Rank is the number of priorities in the pool that are served before this request's.
	Rank int
	// Standing is the request's position relative to its team's fair share.
	Standing coltsfootlink.Standing
	// MaxWaitFraction is the maximum wait of a Bearable request as a fraction of its objective, if that is more than
	// the owner's own setting; the maximum wait of a Surplus request grows by the same factor. Zero for the owner's own
	// setting.
	MaxWaitFraction float64
	// Retry indicates that the request has been sent before.
	Retry bool
	// Fingerprint is the same for similar requests; strikes against requests that crash targets are counted by it.
	Fingerprint uint64
	// Trial identifies the barred parts of the prompt if the request is a trial of them, which goes to one target only; zero
	// if it is none.
	Trial uint64
	// Avoid is the set of targets that the request must not be sent to again.
	Avoid map[coltsfootlink.TargetName]bool
	// Gone is closed when the caller has disconnected; nil if that is not known.
	Gone <-chan struct{}
	// Reply receives exactly one Choice. It must be buffered, so that the task does not block on the send.
	Reply chan<- Choice
}

// abandoned returns the refusal of a request that no longer needs a target, because its caller has disconnected or
// its deadline has passed; nil if it still needs one.
func (want Want) abandoned(now time.Time) *coltsfootlink.Refusal {
	select {
	case <-want.Gone:
		return coltsfootlink.Refuse(coltsfootlink.CallerGone, "the caller went away")
	default:
	}
	if !want.Deadline.IsZero() && !now.Before(want.Deadline) {
		return coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")
	}
	return nil
}

// Shed reports a request that was refused before it asked for a target, because it exceeds its team's share by too
// much or the instance is short of CPU. Its work still counts towards the team's reported load.
type Shed struct {
	coltsfootlink.Local

	Pool coltsfootlink.PoolName
	Team coltsfootlink.TeamName
	Work coltsfootlink.Work
}

// Choice is the reply to a Want: a target or a refusal.
type Choice struct {
	// Serial is the serial of the newest Ask and Owner the target owner that it was sent to; empty if no owner was
	// asked.
	Serial uint64
	Owner  coltsfootlink.InstanceName
	Target coltsfootlink.Target
	// ExpectedMillis is the expected time to a stream's first event.
	ExpectedMillis int
	Refusal        *coltsfootlink.Refusal
}

// Report reports the progress of a request that was given a target.
type Report struct {
	coltsfootlink.Local

	Serial uint64
	Stage  coltsfootlink.ProgressStage
	Result coltsfootlink.Result
	// Millis is the time since the request was sent.
	Millis int
}
