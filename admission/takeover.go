package admission

import (
	"time"

	"coltsfootlink"
)

// WithHeld adds the requests that an instance already holds on the target and that a previous owner permitted. Their
// prompts do not extend the reading queue. Requests that are in the ledger already are left unchanged.
func (ledger Ledger) WithHeld(now time.Time, from coltsfootlink.InstanceName, held coltsfootlink.Held) Ledger {
	for _, other := range held.Requests {
		id := requestID{holder: from, serial: other.Serial}
		if _, found := ledger.requests.Get(id); found {
			continue
		}
		added := request{team: other.Team, work: other.Work, deadline: other.Deadline, grantedAt: now, expectedAt: now, firstEventReceived: other.FirstEventReceived}
		if ledger.traits.Engine && !other.FirstEventReceived {
			added.readMillis = ledger.readMillis(other.Work)
		}
		ledger.cache = ledger.cache.WithPrompt(now, other.Work, ledger.traits.MemoryTokens)
		ledger.requests = ledger.requests.Set(id, added)
	}
	return ledger.withHeldEvidence(now, held)
}

// running is the number of requests on the target, including orphaned ones.
func (ledger Ledger) running() int { return ledger.requests.Len() + ledger.orphaned }

// WithProbe reports whether a report is to be requested from the target now. A new owner needs it to learn of requests
// left on the target by instances that have failed.
func (ledger Ledger) WithProbe(now time.Time) (Ledger, bool) {
	if !ledger.traits.Engine || now.Before(ledger.announced.backoffUntil) || now.Before(ledger.probeAt) || now.After(ledger.probeUntil) && ledger.orphaned == 0 {
		return ledger, false
	}
	ledger.probeAt = now.Add(reportInterval)
	return ledger, true
}

// WithReport derives from a report how many requests on the target are orphaned. The reading queue then lasts at
// least as long as reading the prompts of those that wait, with a default size for each.
func (ledger Ledger) WithReport(now time.Time, report coltsfootlink.EngineReport) Ledger {
	known, unread := 0, 0
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		known++
		if !held.firstEventReceived {
			unread++
		}
	}
	ledger.orphaned = max(0, report.Running+report.Waiting-known)
	waiting := min(max(0, report.Waiting-unread), ledger.orphaned)
	if queueEndsAt := now.Add(durationOf(float64(waiting) * ledger.defaultReadMillis())); queueEndsAt.After(ledger.queueEndsAt) {
		ledger.queueEndsAt = queueEndsAt
	}
	return ledger
}

// defaultReadMillis is the expected reading time in milliseconds of a prompt of unknown size.
func (ledger Ledger) defaultReadMillis() float64 {
	return ledger.currentSlowdown() * ledger.policy.Rates.ReadMillis(0, defaultPromptTokens, ledger.running())
}

// WithoutHolder removes the requests of an instance that has failed or left.
func (ledger Ledger) WithoutHolder(holder coltsfootlink.InstanceName) Ledger {
	ledger.speed = ledger.speed.WithoutHolder(holder)
	return ledger.without(func(id requestID, _ request) bool { return id.holder == holder })
}

// WithoutExpired removes the requests whose deadlines have passed.
func (ledger Ledger) WithoutExpired(now time.Time) Ledger {
	return ledger.without(func(_ requestID, held request) bool { return now.After(held.deadline) })
}

// without removes the requests for which drop is true.
func (ledger Ledger) without(drop func(requestID, request) bool) Ledger {
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if drop(id, held) {
			ledger.requests = ledger.requests.Delete(id)
		}
	}
	if _, found := ledger.requests.Get(ledger.head); !found {
		ledger = ledger.withHead()
	}
	return ledger
}
