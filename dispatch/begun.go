package dispatch

import (
	"maps"
	"time"

	"coltsfootlink"
)

// resumeTTL is how long a request without a deadline may be sent to another target after its answer broke off.
const resumeTTL = time.Minute

// begunRequests are the requests whose answers broke off after they had begun, and until when other targets may go on with
// them.
type begunRequests map[coltsfootlink.RequestID]time.Time

// with adds a request, and drops those that are over.
func (begun begunRequests) with(now time.Time, want Want) {
	maps.DeleteFunc(begun, func(_ coltsfootlink.RequestID, until time.Time) bool { return now.After(until) })
	until := want.Deadline
	if until.IsZero() {
		until = now.Add(resumeTTL)
	}
	begun[want.ID] = until
}

// countBegun tells the duty task that a request of a team has begun: at its first event, or at a successful end without one.
// A request that is resumed on another target after its first event is not counted again.
func (task *Task) countBegun(request running, report Report) {
	if task.Duties == nil || request.want.Team == "" {
		return
	}
	now, ended := task.Clock.Now(), report.Stage == coltsfootlink.Ended
	if ended && request.firstEventReceived {
		if report.Result != coltsfootlink.Succeeded && report.Result != coltsfootlink.Cancelled {
			task.begun.with(now, request.want)
		}
		return
	}
	if ended && report.Result != coltsfootlink.Succeeded || !ended && request.firstEventReceived {
		return
	}
	if _, counted := task.begun[request.want.ID]; counted && request.want.Retry {
		return
	}
	task.Duties.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.UsageBegun{At: now, Team: request.want.Team}})
}
