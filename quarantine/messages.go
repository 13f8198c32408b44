package quarantine

import (
	"time"

	"coltsfootlink"
)

// Crashed reports the crash of a target that had just begun to answer a request of this instance. The task fills in when the
// suspects were last answered, and replies whether the request may be sent to another target.
type Crashed struct {
	coltsfootlink.Local

	Crash coltsfootlink.PromptCrash
	// Reply receives exactly one value. It must be buffered, so that the task does not block on the send.
	Reply chan<- bool
}

// TrialSent reports that a request of this instance whose prompt is barred is being sent to a target as a trial. Until it is
// answered, it counts as a crash: its end may never be seen.
type TrialSent struct {
	coltsfootlink.Local

	// Crash is the crash that the trial counts as; it has the time of sending as the time of the crash.
	Crash coltsfootlink.PromptCrash
}

// Answered reports that a target has answered a request of this instance.
type Answered struct {
	coltsfootlink.Local

	Pool coltsfootlink.PoolName
	// Parts are the shared parts of the request's prompt.
	Parts []coltsfootlink.PartID
	At    time.Time
}

// Changed announces a new view to the tasks of this instance.
type Changed struct {
	coltsfootlink.Local

	View View
}
