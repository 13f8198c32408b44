package admission

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/speed"
)

// withProgress applies a report to all but the pace of the target.
func (ledger Ledger) withProgress(now time.Time, from coltsfootlink.InstanceName, progress coltsfootlink.Progress) Ledger {
	id := requestID{holder: from, serial: progress.Serial}
	held, found := ledger.requests.Get(id)
	if !found {
		return ledger
	}
	if progress.Stage == coltsfootlink.FirstEvent {
		held.firstEventReceived = true
		ledger.requests = ledger.requests.Set(id, held)
		return ledger.withFirstEvent(now, from, held, held.seenAt(now, progress))
	}
	ledger.requests = ledger.requests.Delete(id)
	ledger = ledger.withReadingSaved(now, held, ledger.savedReading(now, held, progress.Result))
	if id == ledger.head {
		ledger = ledger.withHead()
	}
	switch progress.Result {
	case coltsfootlink.Succeeded:
		ledger.lastProgressAt = now
		ledger.breaker = ledger.breaker.withResult(now, held.grantedAt, false)
		ledger = ledger.withDuration(float64(progress.Millis))
	case coltsfootlink.Failed:
		ledger.lastProgressAt = now
		ledger.breaker = ledger.breaker.withResult(now, held.grantedAt, true)
	case coltsfootlink.Refused:
		ledger.blockedUntil = now.Add(blockDuration)
		ledger.coldUntil = ledger.blockedUntil.Add(ledger.traits.ColdStartDuration)
	case coltsfootlink.Crashed:
		ledger.breaker = ledger.breaker.withResult(now, held.grantedAt, true)
		ledger = ledger.withCrash(now)
	}
	return ledger
}

// seenAt is when the holder received the event that it reports. It is computed from the duration in the report, because
// the report itself may have been delayed at a holder or owner that is short of CPU, which is not the target's fault.
func (held request) seenAt(now time.Time, progress coltsfootlink.Progress) time.Time {
	seen := held.grantedAt.Add(time.Duration(progress.Millis) * time.Millisecond)
	if progress.Millis <= 0 || seen.After(now) {
		return now
	}
	return seen
}

// withFirstEvent adjusts the slowdown, the lag and the end of the queue by when a prompt was actually read.
func (ledger Ledger) withFirstEvent(now time.Time, from coltsfootlink.InstanceName, held request, seen time.Time) Ledger {
	ledger.lastProgressAt = now
	ledger.speed = ledger.speed.WithReport(from, now.Sub(seen))
	if !ledger.traits.Engine || held.readMillis == 0 {
		return ledger
	}
	correction := ledger.correction(held, seen.Sub(held.expectedAt.Add(ledger.lag+durationOf(ledger.firstEventMillis()))))
	if ledger.unread(held) {
		ledger = ledger.withReading(held, seen)
	}
	if held.firstInQueue && held.basicMillis >= minSlowdownSample {
		took := float64(seen.Add(-durationOf(ledger.policy.Rates.FirstEventMillis)).Sub(held.grantedAt)) / float64(time.Millisecond)
		ratio := min(maxSlowdown, max(minSlowdown, took/held.basicMillis)) * ledger.slowdown
		ledger.slowdown = min(maxSlowdown, max(minSlowdown, ledger.slowdown+smoothing*(ratio-ledger.slowdown)))
	}
	ledger.lag += correction
	ledger.queueEndsAt = ledger.queueEndsAt.Add(correction)
	return ledger
}

// correction is by how much the expected times of later prompts move when one was read later than expected. If later ones are
// known to have been read, the delay was the holder's. Of a prompt that another owner permitted little is known.
func (ledger Ledger) correction(held request, difference time.Duration) time.Duration {
	switch {
	case ledger.policy.BasicEstimate || held.readStartsAt.IsZero():
		return time.Duration(correctionGain * float64(difference))
	case !ledger.unread(held):
		return 0
	default:
		return speed.Correction(difference)
	}
}

// withDuration adds the duration of a request to the moving average.
func (ledger Ledger) withDuration(millis float64) Ledger {
	if ledger.meanDurationMillis == 0 {
		ledger.meanDurationMillis = millis
	}
	ledger.meanDurationMillis += smoothing * (millis - ledger.meanDurationMillis)
	return ledger
}

// withCrash records a broken connection. A target that crashes breaks all of its connections at once and may restart
// cold. While more requests remain on the target than connections broke, only the responses of the broken ones are
// taken as lost, and the target counts as cold just for crashWindow, by the end of which the others would have broken
// too.
func (ledger Ledger) withCrash(now time.Time) Ledger {
	ledger.crashTimes = append(timesAfter(ledger.crashTimes, now.Add(-crashWindow)), now)
	broken, held := len(ledger.crashTimes), ledger.requests.Len()
	if broken >= crashThreshold && broken >= held {
		ledger.blockedUntil = now.Add(blockDuration)
	}
	coldFor := crashWindow
	if broken >= held {
		coldFor = ledger.traits.ColdStartDuration
	}
	if until := now.Add(coldFor); until.After(ledger.coldUntil) {
		ledger.coldUntil = until
	}
	return ledger
}
