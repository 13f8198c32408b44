package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// subject is the part of the site that a fault affects.
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
	targetLeavesKind    faultKind = "target-leaves"
	targetShedsKind     faultKind = "target-sheds"
	targetRepeatsKind   faultKind = "target-repeats"
	targetLosesKind     faultKind = "target-loses"
	targetTricklesKind  faultKind = "target-trickles"
	oddRecordsKind      faultKind = "odd-records"
	storeDownKind       faultKind = "store-down"
	storeSlowKind       faultKind = "store-slow"
	storeLossyKind      faultKind = "store-lossy"
	storeForgetsKind    faultKind = "store-forgets"
	storeRestoredKind   faultKind = "store-restored"
	floodKind           faultKind = "flood"
	newTableKind        faultKind = "table"
	revokeKind          faultKind = "revoke"
	evacuateKind        faultKind = "evacuate"
	moveGoodKind        faultKind = "move-good"
	moveBadKind         faultKind = "move-bad"
	// moveSupersededKind is a move to a bad version that another order follows at once.
	moveSupersededKind  faultKind = "move-superseded"
	crashingPromptsKind faultKind = "crashing-prompts"
)

// faultSpec describes a kind of fault.
type faultSpec struct {
	subject subject
	// shortest and longest bound the duration of the fault.
	shortest, longest time.Duration
	// planned indicates that the fault is an operation that also occurs in normal service, in contrast to a failure.
	planned bool
	// mode is the mode of the affected proxy while the fault lasts; Pass if the fault affects no connections.
	mode rig.Mode
}

// step is one fault of a plan.
type step struct {
	Kind    faultKind `json:"kind"`
	Subject subject   `json:"subject"`
	// Index is the index of the instance, target or zone.
	Index int `json:"index"`
	// Starts and Ends are in milliseconds after the start of the plan.
	Starts int64 `json:"starts-ms"`
	Ends   int64 `json:"ends-ms"`
}

func (step step) String() string {
	return fmt.Sprintf("%6d..%6d ms  %s %s-%d", step.Starts, step.Ends, step.Kind, step.Subject, step.Index)
}

// size holds the numbers of instances, targets and zones of a site.
type size struct {
	Instances, Targets, Zones int
}

// faultSpecs returns the specifications of all kinds of faults.
func faultSpecs() map[faultKind]faultSpec {
	second := time.Second
	return map[faultKind]faultSpec{
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
		targetLeavesKind:    {onTarget, 5 * second, 8 * second, true, rig.Pass},
		targetShedsKind:     {onTarget, 2 * second, 5 * second, false, rig.Pass},
		targetRepeatsKind:   {onTarget, second, 4 * second, false, rig.Pass},
		targetLosesKind:     {onTarget, second, 4 * second, false, rig.Pass},
		targetTricklesKind:  {onTarget, second, 4 * second, false, rig.Pass},
		oddRecordsKind:      {onTable, second, 4 * second, true, rig.Pass},
		storeDownKind:       {onStore, second, 5 * second, false, rig.Pass},
		storeSlowKind:       {onStore, second, 5 * second, false, rig.Pass},
		storeLossyKind:      {onStore, second, 5 * second, false, rig.Pass},
		storeForgetsKind:    {onStore, second, 2 * second, false, rig.Pass},
		storeRestoredKind:   {onStore, second, 3 * second, false, rig.Pass},
		floodKind:           {onTable, 2 * second, 6 * second, true, rig.Pass},
		newTableKind:        {onTable, second / 4, second / 2, true, rig.Pass},
		revokeKind:          {onTable, 4 * second, 8 * second, true, rig.Pass},
		evacuateKind:        {onZone, 6 * second, 9 * second, true, rig.Pass},
		moveGoodKind:        {onTable, 12 * second, 14 * second, true, rig.Pass},
		moveBadKind:         {onTable, 12 * second, 14 * second, true, rig.Pass},
		moveSupersededKind:  {onTable, 8 * second, 12 * second, true, rig.Pass},
		crashingPromptsKind: {onTable, 8 * second, 12 * second, false, rig.Pass},
	}
}

const (
	// minFaultsPerSecond and maxFaultsPerSecond bound the rate at which faults begin, which is drawn for each seed, and
	// addedFaultsPerSecond is the rate of those of the added kinds.
	minFaultsPerSecond   = 0.3
	maxFaultsPerSecond   = 1.5
	addedFaultsPerSecond = 0.3
)

// addedKinds are the kinds that are drawn after all others, so that seeds from before they were added keep their faults.
var addedKinds = []faultKind{targetLeavesKind, targetShedsKind, targetRepeatsKind, targetLosesKind, targetTricklesKind, oddRecordsKind}

// newPlan draws the faults of a seed, sorted by their starts. All end within the duration, and none conflicts with
// another. The same seed, size and duration give the same plan.
func newPlan(seed uint64, size size, duration time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Sorted(maps.Keys(faultSpecs()))
	kinds = slices.DeleteFunc(kinds, func(kind faultKind) bool {
		return slices.Contains(addedKinds, kind) || kind == crashingPromptsKind || kind == storeRestoredKind || kind == moveSupersededKind
	})
	faultsPerSecond := minFaultsPerSecond + random.Float64()*(maxFaultsPerSecond-minFaultsPerSecond)
	plan := drawFaults(random, nil, kinds, faultsPerSecond, size, duration)
	plan = drawFaults(rand.New(rand.NewPCG(seed, 1)), plan, addedKinds, addedFaultsPerSecond, size, duration)
	plan = drawFaults(rand.New(rand.NewPCG(seed, 2)), plan, []faultKind{crashingPromptsKind}, 0, size, duration)
	plan = drawFaults(rand.New(rand.NewPCG(seed, 3)), plan, []faultKind{storeRestoredKind}, 0, size, duration)
	plan = drawFaults(rand.New(rand.NewPCG(seed, 4)), plan, []faultKind{moveSupersededKind}, 0, size, duration)
	plan = killAll(rand.New(rand.NewPCG(seed, 5)), plan, size, duration)
	slices.SortStableFunc(plan, func(one, other step) int { return int(one.Starts - other.Starts) })
	return plan
}

// restore returns the restore of the store that a fault consists of. The store is away for half of its duration, and lost records
// are written again in another quarter. The rest follows from when the fault starts: the age of the copy, from a half to some five
// seconds, the order in which records are written again, and whether appends are carried out late.
func (step step) restore() standin.Restore {
	const minAgeMillis, ageSpanMillis, lateMillis = 500, 4500, 200
	length := int(step.Ends - step.Starts)
	restore := standin.Restore{
		AgeMillis: minAgeMillis + int(step.Starts)%ageSpanMillis, AwayMillis: length / 2, RewriteMillis: length / 4, Seed: uint64(step.Starts),
	}
	if step.Starts%2 == 1 {
		restore.LateMillis = lateMillis
	}
	return restore
}

// killAll adds the kill of all instances at the same moment to a plan, in its second half; instances with another fault of their process at
// that time are left out.
func killAll(random *rand.Rand, plan []step, size size, duration time.Duration) []step {
	const downTime = time.Second
	starts := duration/2 + time.Duration(random.Float64()*float64(duration/2-downTime))
	for index := range size.Instances {
		kill := step{Kind: killedKind, Subject: onInstance, Index: index, Starts: starts.Milliseconds(), Ends: (starts + downTime).Milliseconds()}
		if !slices.ContainsFunc(plan, kill.conflicts) {
			plan = append(plan, kill)
		}
	}
	return plan
}

// drawFaults adds faults of the given kinds to a plan, at least one is drawn; those that conflict with others are left out.
func drawFaults(random *rand.Rand, plan []step, kinds []faultKind, perSecond float64, size size, duration time.Duration) []step {
	specs := faultSpecs()
	counts := map[subject]int{onInstance: size.Instances, onTarget: size.Targets, onZone: size.Zones, onStore: 1, onTable: 1}
	for range int(max(1, duration.Seconds()*perSecond)) {
		kind := kinds[random.IntN(len(kinds))]
		spec := specs[kind]
		length := spec.shortest + time.Duration(random.Float64()*float64(spec.longest-spec.shortest))
		starts := time.Duration(random.Float64() * float64(duration-length))
		drawn := step{
			Kind: kind, Subject: spec.subject, Index: random.IntN(counts[spec.subject]),
			Starts: starts.Milliseconds(), Ends: (starts + length).Milliseconds(),
		}
		if length <= duration && !slices.ContainsFunc(plan, drawn.conflicts) {
			plan = append(plan, drawn)
		}
	}
	return plan
}

// conflicts reports whether two faults overlap and affect the same resource, so that the end of one would also end the
// other.
func (step step) conflicts(other step) bool {
	disjoint := step.Starts > other.Ends || other.Starts > step.Ends
	sameFault := step.Kind == other.Kind && (step.Subject == onTable || step.Subject == onStore || step.Index == other.Index)
	return !disjoint && (sameFault || step.resource() == other.resource())
}

// resource names the part of the site that at most one fault may affect at a time.
func (step step) resource() string {
	switch step.Kind {
	case killedKind, stoppedKind:
		return fmt.Sprint("process-", step.Index)
	case callersResetKind, callersSlowKind, callersSilentKind, callersOneWayKind:
		return fmt.Sprint(callersResource, step.Index)
	case storeLinkResetKind, storeLinkSilentKind, storeLinkSlowKind:
		return fmt.Sprint(storeLinkResource, step.Index)
	case targetResetKind, targetSlowKind, targetSilentKind, targetOneWayKind:
		return targetLinkResource(step.Index)
	case targetFailsKind, targetLiesKind, targetGarblesKind, targetEndlessKind, targetCutsKind,
		targetShedsKind, targetRepeatsKind, targetLosesKind, targetTricklesKind:
		return fmt.Sprint("conduct-", step.Index)
	case targetCrashKind, targetDrainKind, targetColdKind, targetLeavesKind:
		return fmt.Sprint("target-", step.Index)
	case storeDownKind, storeSlowKind, storeLossyKind, storeRestoredKind:
		return "store"
	case moveGoodKind, moveBadKind, moveSupersededKind:
		return "move"
	}
	return fmt.Sprint(step.Kind, step.Index)
}

// Prefixes of the resources that are an instance's connections; the index of the instance follows.
const (
	callersResource   = "callers-"
	storeLinkResource = "store-link-"
)

// targetLinkResource returns the resource that is a target's connections.
func targetLinkResource(index int) string { return fmt.Sprint("target-link-", index) }
