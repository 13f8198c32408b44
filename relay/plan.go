package relay

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink/pressure"
)

// refusalBackoff is how long an instance that has not accepted a connection is not tried again.
const refusalBackoff = 250 * time.Millisecond

// Plan determines which fraction of new connections an instance forwards and to which addresses, and which fraction it
// refuses unread. It is immutable. The zero value neither forwards nor refuses.
type Plan struct {
	// forwardFraction is the fraction of new connections that are forwarded, and refuseFraction the fraction of the
	// others that are refused unread; both are from 0 to 1.
	forwardFraction, refuseFraction float64
	// cpuWait is the instance's CPU wait at the last pressure sample (of goroutines, or of connections to be accepted);
	// zero while no requests are refused.
	cpuWait time.Duration
	// addresses are where the other instances accept forwarded connections. An address with an entry in backoffUntil
	// is not tried before that time.
	addresses    []string
	backoffUntil map[string]time.Time
	// leaving indicates that this instance shuts down: what it forwards might outlast it, and whether it ends in time is
	// not known.
	leaving bool
}

// WithLeaving returns the plan of an instance that shuts down.
func (plan Plan) WithLeaving() Plan {
	plan.leaving = true
	return plan
}

// WithPressure returns the plan adjusted to the CPU pressure on this instance.
func (plan Plan) WithPressure(state pressure.State) Plan {
	plan.forwardFraction, plan.cpuWait = 1-state.Admitted()/pressure.FullAdmission, state.Wait()
	// Reading a request is not worth its CPU time if the request would be refused even when its team is within its
	// share.
	plan.refuseFraction = max(0, 1-2*state.Admitted()/pressure.FullAdmission)
	return plan
}

// WithAddresses returns the plan with new addresses of the other instances.
func (plan Plan) WithAddresses(addresses []string) Plan {
	plan.addresses = slices.Clone(addresses)
	return plan
}

// WithRefusal returns the plan after an address has not accepted a connection; the address is not tried again during
// the backoff.
func (plan Plan) WithRefusal(now time.Time, address string) Plan {
	backoffUntil := make(map[string]time.Time, len(plan.backoffUntil)+1)
	maps.Copy(backoffUntil, plan.backoffUntil)
	maps.DeleteFunc(backoffUntil, func(_ string, until time.Time) bool { return now.After(until) })
	backoffUntil[address] = now.Add(refusalBackoff)
	plan.backoffUntil = backoffUntil
	return plan
}

// ShouldForward reports whether a connection should be forwarded; the draw is a random number from 0 to 1.
func (plan Plan) ShouldForward(now time.Time, draw float64) bool {
	return !plan.leaving && draw < plan.forwardFraction && plan.HasCapacity(now)
}

// ShouldRefuse reports whether a connection that is not forwarded should be refused unread; the draw is a random
// number from 0 to 1.
func (plan Plan) ShouldRefuse(draw float64) bool { return draw >= 1-plan.refuseFraction }

// HasCapacity reports whether another instance may have capacity, that is, whether any address is not in its backoff.
func (plan Plan) HasCapacity(now time.Time) bool {
	_, found := plan.pick(now, 0, nil)
	return found
}

// Address picks a random address that has not been attempted and is not in its backoff; false if there is none.
func (plan Plan) Address(now time.Time, attempted []string) (string, bool) {
	return plan.pick(now, rand.IntN(math.MaxInt32), attempted)
}

func (plan Plan) pick(now time.Time, start int, attempted []string) (string, bool) {
	for offset := range plan.addresses {
		address := plan.addresses[(start+offset)%len(plan.addresses)]
		if !now.Before(plan.backoffUntil[address]) && !slices.Contains(attempted, address) {
			return address, true
		}
	}
	return "", false
}
