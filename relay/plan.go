package relay

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink/pressure"
)

// refusedPause is how long an instance that has refused a connection is not asked again.
const refusedPause = 250 * time.Millisecond

// Plan is how much an instance passes on, and to where, and how much it refuses unread; it is immutable. Its zero
// value does neither.
type Plan struct {
	// part is the part of the new connections that is passed on, and refused that of the others that is refused unread, from
	// 0 to 1.
	part, refused float64
	// wait is how long what is ready to run waits for the processor here.
	wait time.Duration
	// addresses are where the others take connections, and resting until when some of them are not asked.
	addresses []string
	resting   map[string]time.Time
}

// WithPressure returns the plan by how much the instance itself takes.
func (plan Plan) WithPressure(state pressure.State) Plan {
	plan.part, plan.wait = 1-state.Admitted()/pressure.FullAdmission, state.Wait()
	// What would be refused within shares, too, is not worth reading.
	plan.refused = max(0, 1-2*state.Admitted()/pressure.FullAdmission)
	return plan
}

// WithAddresses returns the plan for others that take connections.
func (plan Plan) WithAddresses(addresses []string) Plan {
	plan.addresses = slices.Clone(addresses)
	return plan
}

// WithRefusal returns the plan after an address has taken no connection.
func (plan Plan) WithRefusal(now time.Time, address string) Plan {
	resting := make(map[string]time.Time, len(plan.resting)+1)
	maps.Copy(resting, plan.resting)
	maps.DeleteFunc(resting, func(_ string, until time.Time) bool { return now.After(until) })
	resting[address] = now.Add(refusedPause)
	plan.resting = resting
	return plan
}

// Passes says whether a connection is to be passed on; the draw is a number from 0 to 1.
func (plan Plan) Passes(now time.Time, draw float64) bool {
	return draw < plan.part && plan.Room(now)
}

// Refuses says whether a connection that is not passed on is to be refused unread; the draw is a number from 0 to 1.
func (plan Plan) Refuses(draw float64) bool { return draw >= 1-plan.refused }

// Room says whether others may have room: one that was asked lately and refused has none.
func (plan Plan) Room(now time.Time) bool {
	_, found := plan.next(now, 0, nil)
	return found
}

// Address draws an address that was not tried yet; false if there is none.
func (plan Plan) Address(now time.Time, tried []string) (string, bool) {
	return plan.next(now, rand.IntN(math.MaxInt32), tried)
}

func (plan Plan) next(now time.Time, draw int, tried []string) (string, bool) {
	for place := range plan.addresses {
		address := plan.addresses[(draw+place)%len(plan.addresses)]
		if !now.Before(plan.resting[address]) && !slices.Contains(tried, address) {
			return address, true
		}
	}
	return "", false
}
