package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
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

// trait is what the plan has to know of a kind of fault.
type trait struct {
	subject subject
	// longest is the longest span of the fault, and shortest its shortest.
	shortest, longest time.Duration
	// planned says that operators do this in calm operation.
	planned bool
}

// step is one fault of a plan.
type step struct {
	Kind    string  `json:"kind"`
	Subject subject `json:"subject"`
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
func traits() map[string]trait {
	second := time.Second
	return map[string]trait{
		"kill":              {onInstance, second / 2, 3 * second, false},
		"stop":              {onInstance, 4 * second, 10 * second, true},
		"freeze":            {onInstance, second / 4, 4 * second, false},
		"hangup":            {onInstance, second / 4, second / 2, true},
		"callers-reset":     {onInstance, second / 20, second, false},
		"callers-slow":      {onInstance, second, 4 * second, false},
		"callers-silent":    {onInstance, second / 2, 4 * second, false},
		"callers-one-way":   {onInstance, second / 2, 4 * second, false},
		"store-link-reset":  {onInstance, second / 4, 4 * second, false},
		"store-link-silent": {onInstance, second / 2, 5 * second, false},
		"store-link-slow":   {onInstance, second / 2, 5 * second, false},
		"target-reset":      {onTarget, second / 20, 2 * second, false},
		"target-slow":       {onTarget, second / 2, 4 * second, false},
		"target-silent":     {onTarget, second / 2, 4 * second, false},
		"target-one-way":    {onTarget, second / 2, 4 * second, false},
		"target-crash":      {onTarget, 2 * second, 5 * second, false},
		"target-drain":      {onTarget, 4 * second, 7 * second, true},
		"target-cold":       {onTarget, second, 3 * second, false},
		"target-fails":      {onTarget, second, 5 * second, false},
		"target-lies":       {onTarget, second, 5 * second, false},
		"target-garbles":    {onTarget, second / 2, 3 * second, false},
		"target-endless":    {onTarget, second / 4, second, false},
		"target-cuts":       {onTarget, second, 4 * second, false},
		"store-down":        {onStore, second, 5 * second, false},
		"store-slow":        {onStore, second, 5 * second, false},
		"store-lossy":       {onStore, second, 5 * second, false},
		"store-forgets":     {onStore, second, 2 * second, false},
		"flood":             {onTable, 2 * second, 6 * second, true},
		"table":             {onTable, second / 4, second / 2, true},
		"revoke":            {onTable, 4 * second, 8 * second, true},
		"evacuate":          {onZone, 6 * second, 9 * second, true},
		"move-good":         {onTable, 12 * second, 14 * second, true},
		"move-bad":          {onTable, 12 * second, 14 * second, true},
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
	case "kill", "stop":
		return fmt.Sprint("process-", planned.Index)
	case "callers-reset", "callers-slow", "callers-silent", "callers-one-way":
		return fmt.Sprint("callers-", planned.Index)
	case "store-link-reset", "store-link-silent", "store-link-slow":
		return fmt.Sprint("store-link-", planned.Index)
	case "target-reset", "target-slow", "target-silent", "target-one-way":
		return fmt.Sprint("target-link-", planned.Index)
	case "target-fails", "target-lies", "target-garbles", "target-endless", "target-cuts":
		return fmt.Sprint("conduct-", planned.Index)
	case "target-crash", "target-drain", "target-cold":
		return fmt.Sprint("target-", planned.Index)
	case "store-down", "store-slow", "store-lossy":
		return "store"
	case "move-good", "move-bad":
		return "move"
	}
	return planned.Kind + fmt.Sprint(planned.Index)
}
