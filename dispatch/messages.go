package dispatch

import (
	"time"

	"coltsfootlink"
)

// Want asks for a target for a request.
type Want struct {
	coltsfootlink.Local

	ID   coltsfootlink.RequestID
	Pool coltsfootlink.PoolName
	Team coltsfootlink.TeamName
	// Rule is the name of the routing rule.
	Rule      string
	Work      coltsfootlink.Work
	Objective time.Time
	Deadline  time.Time
	// Rank is how many priorities of the pool's requests go before this one's.
	Rank int
	// Standing is how the request stands to its team's fair share.
	Standing coltsfootlink.Standing
	// Patience is the part of its objective that a bearable request may wait; zero for the owners' own setting.
	Patience float64
	// Retry says that the request has been sent before.
	Retry bool
	// Fingerprint identifies requests that are alike.
	Fingerprint uint64
	// Avoid are targets that the request is not to be sent to again.
	Avoid map[coltsfootlink.TargetName]bool
	// Gone is closed when the caller has left; nil if that is not known.
	Gone <-chan struct{}
	// Reply receives one Choice; it has room for it.
	Reply chan<- Choice
}

// useless says why a target would be of no use to the request any more; nil if it would.
func (want Want) useless(now time.Time) *coltsfootlink.Refusal {
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

// Shed tells of a request that was refused without being offered: it lies too far beyond its team's share, or the
// instance's processor is behind.
type Shed struct {
	coltsfootlink.Local

	Pool coltsfootlink.PoolName
	Team coltsfootlink.TeamName
	Work coltsfootlink.Work
}

// Choice is a target for a request, or a refusal.
type Choice struct {
	// Serial and Owner are the newest question and who was asked; empty if nobody was.
	Serial uint64
	Owner  coltsfootlink.InstanceName
	Target coltsfootlink.Target
	// ExpectedMillis is the expected time to a stream's first event.
	ExpectedMillis int
	Refusal        *coltsfootlink.Refusal
}

// Report tells how far a request with a target has come.
type Report struct {
	coltsfootlink.Local

	Serial uint64
	Stage  coltsfootlink.ProgressStage
	Result coltsfootlink.Result
	// Millis is the time since the request was sent.
	Millis int
}
