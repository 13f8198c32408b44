package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink/rig"
)

// subject is what a fault happens to.
type subject string

// The subjects of faults.
const (
	onInstance subject = "instance"
	onTarget   subject = "target"
	onZone     subject = "zone"
	onStore    subject = "store"
	onTable    subject = "table"
)

// faultKind is a kind of fault.
type faultKind string

// The kinds of faults.
const (
	killedKind          faultKind = "kill"
	stoppedKind         faultKind = "stop"
	frozenKind          faultKind = "freeze"
	hungUpKind          faultKind = "hangup"
	callersResetKind    faultKind = "callers-reset"
	callersSlowKind     faultKind = "callers-slow"
	callersSilentKind   faultKind = "callers-silent"
	callersOneWayKind   faultKind = "callers-one-way"
	storeLinkResetKind  faultKind = "store-link-reset"
	storeLinkSilentKind faultKind = "store-link-silent"
	storeLinkSlowKind   faultKind = "store-link-slow"
	targetResetKind     faultKind = "target-reset"
	targetSlowKind      faultKind = "target-slow"
	targetSilentKind    faultKind = "target-silent"
	targetOneWayKind    faultKind = "target-one-way"
	targetCrashKind     faultKind = "target-crash"
	targetDrainKind     faultKind = "target-drain"
	targetColdKind      faultKind = "target-cold"
	targetFailsKind     faultKind = "target-fails"
	targetLiesKind      faultKind = "target-lies"
	targetGarblesKind   faultKind = "target-garbles"
	targetEndlessKind   faultKind = "target-endless"
	targetCutsKind      faultKind = "target-cuts"
	storeDownKind       faultKind = "store-down"
	storeSlowKind       faultKind = "store-slow"
	storeLossyKind      faultKind = "store-lossy"
	storeForgetsKind    faultKind = "store-forgets"
	floodKind           faultKind = "flood"
	newTableKind        faultKind = "table"
	revokeKind          faultKind = "revoke"
	evacuateKind        faultKind = "evacuate"
	moveGoodKind        faultKind = "move-good"
	moveBadKind         faultKind = "move-bad"
)

// trait is what the plan has to know of a kind of fault.
type trait struct {
	subject subject
	// longest is the longest span of the fault, and shortest its shortest.
	shortest, longest time.Duration
	// planned says that operators do this in calm operation.
	planned bool
	// mode is that of the connections that the fault is about.
	mode rig.Mode
}

// step is one fault of a plan.
type step struct {
	Kind    faultKind `json:"kind"`
	Subject subject   `json:"subject"`
	// Index is the place of the instance, target or zone.
	Index int `json:"index"`
	// Starts and Ends are milliseconds after the start of the faults.
	Starts int64 `json:"starts-ms"`
	Ends   int64 `json:"ends-ms"`
}

func (planned step) String() string {
	return fmt.Sprintf("%6d..%6d ms  %s %s-%d", planned.Starts, planned.Ends, planned.Kind, planned.Subject, planned.Index)
}

// size is the size of a site.
type size struct {
	Instances, Targets, Zones int
}

// traits returns the kinds of faults.
func traits() map[faultKind]trait {
	second := time.Second
	return map[faultKind]trait{
		killedKind:          {onInstance, second / 2, 3 * second, false, rig.Pass},
		stoppedKind:         {onInstance, 4 * second, 10 * second, true, rig.Pass},
		frozenKind:          {onInstance, second / 4, 4 * second, false, rig.Pass},
		hungUpKind:          {onInstance, second / 4, second / 2, true, rig.Pass},
		callersResetKind:    {onInstance, second / 20, second, false, rig.Abort},
		callersSlowKind:     {onInstance, second, 4 * second, false, rig.Slow},
		callersSilentKind:   {onInstance, second / 2, 4 * second, false, rig.Hold},
		callersOneWayKind:   {onInstance, second / 2, 4 * second, false, rig.HoldRequests},
		storeLinkResetKind:  {onInstance, second / 4, 4 * second, false, rig.Abort},
		storeLinkSilentKind: {onInstance, second / 2, 5 * second, false, rig.Hold},
		storeLinkSlowKind:   {onInstance, second / 2, 5 * second, false, rig.Slow},
		targetResetKind:     {onTarget, second / 20, 2 * second, false, rig.Abort},
		targetSlowKind:      {onTarget, second / 2, 4 * second, false, rig.Slow},
		targetSilentKind:    {onTarget, second / 2, 4 * second, false, rig.Hold},
		targetOneWayKind:    {onTarget, second / 2, 4 * second, false, rig.HoldRequests},
		targetCrashKind:     {onTarget, 2 * second, 5 * second, false, rig.Pass},
		targetDrainKind:     {onTarget, 4 * second, 7 * second, true, rig.Pass},
		targetColdKind:      {onTarget, second, 3 * second, false, rig.Pass},
		targetFailsKind:     {onTarget, second, 5 * second, false, rig.Pass},
		targetLiesKind:      {onTarget, second, 5 * second, false, rig.Pass},
		targetGarblesKind:   {onTarget, second / 2, 3 * second, false, rig.Pass},
		targetEndlessKind:   {onTarget, second / 4, second, false, rig.Pass},
		targetCutsKind:      {onTarget, second, 4 * second, false, rig.Pass},
		storeDownKind:       {onStore, second, 5 * second, false, rig.Pass},
		storeSlowKind:       {onStore, second, 5 * second, false, rig.Pass},
		storeLossyKind:      {onStore, second, 5 * second, false, rig.Pass},
		storeForgetsKind:    {onStore, second, 2 * second, false, rig.Pass},
		floodKind:           {onTable, 2 * second, 6 * second, true, rig.Pass},
		newTableKind:        {onTable, second / 4, second / 2, true, rig.Pass},
		revokeKind:          {onTable, 4 * second, 8 * second, true, rig.Pass},
		evacuateKind:        {onZone, 6 * second, 9 * second, true, rig.Pass},
		moveGoodKind:        {onTable, 12 * second, 14 * second, true, rig.Pass},
		moveBadKind:         {onTable, 12 * second, 14 * second, true, rig.Pass},
	}
}

const (
	// leastPace and mostPace are how many faults begin in a second.
	leastPace = 0.3
	mostPace  = 1.5
)

// newPlan returns the faults of a seed in the order of their starts; they end within the span.
func newPlan(seed uint64, size size, span time.Duration) []step {
	chance := rand.New(rand.NewPCG(seed, 0))
	kinds := traits()
	names := slices.Sorted(maps.Keys(kinds))
	counts := map[subject]int{onInstance: size.Instances, onTarget: size.Targets, onZone: size.Zones, onStore: 1, onTable: 1}
	pace := leastPace + chance.Float64()*(mostPace-leastPace)
	var plan []step
	for range int(max(1, span.Seconds()*pace)) {
		name := names[chance.IntN(len(names))]
		kind := kinds[name]
		lasts := kind.shortest + time.Duration(chance.Float64()*float64(kind.longest-kind.shortest))
		starts := time.Duration(chance.Float64() * float64(span-lasts))
		drawn := step{
			Kind: name, Subject: kind.subject, Index: chance.IntN(counts[kind.subject]),
			Starts: starts.Milliseconds(), Ends: (starts + lasts).Milliseconds(),
		}
		if lasts <= span && !slices.ContainsFunc(plan, drawn.excludes) {
			plan = append(plan, drawn)
		}
	}
	slices.SortStableFunc(plan, func(one, other step) int { return int(one.Starts - other.Starts) })
	return plan
}

// excludes says that two faults cannot be told apart if they overlap: the second would end the first.
func (planned step) excludes(other step) bool {
	apart := planned.Starts > other.Ends || other.Starts > planned.Ends
	same := planned.Kind == other.Kind && (planned.Subject == onTable || planned.Subject == onStore || planned.Index == other.Index)
	return !apart && (same || planned.seat() == other.seat())
}

// seat is the part of the site that a fault takes for itself.
func (planned step) seat() string {
	switch planned.Kind {
	case killedKind, stoppedKind:
		return fmt.Sprint("process-", planned.Index)
	case callersResetKind, callersSlowKind, callersSilentKind, callersOneWayKind:
		return fmt.Sprint(callersSeat, planned.Index)
	case storeLinkResetKind, storeLinkSilentKind, storeLinkSlowKind:
		return fmt.Sprint(storeLinkSeat, planned.Index)
	case targetResetKind, targetSlowKind, targetSilentKind, targetOneWayKind:
		return targetLink(planned.Index)
	case targetFailsKind, targetLiesKind, targetGarblesKind, targetEndlessKind, targetCutsKind:
		return fmt.Sprint("conduct-", planned.Index)
	case targetCrashKind, targetDrainKind, targetColdKind:
		return fmt.Sprint("target-", planned.Index)
	case storeDownKind, storeSlowKind, storeLossyKind:
		return "store"
	case moveGoodKind, moveBadKind:
		return "move"
	}
	return fmt.Sprint(planned.Kind, planned.Index)
}

// Seats of instances' connections; the place of the instance comes behind.
const (
	callersSeat   = "callers-"
	storeLinkSeat = "store-link-"
)

// targetLink is the seat of a target's connections.
func targetLink(index int) string { return fmt.Sprint("target-link-", index) }
