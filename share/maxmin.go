// Package share decides which part of each team's requests lies within its fair share of a pool.
package share

import (
	"cmp"
	"slices"
)

// Level returns the level at which capacity is used up if every team gets what it asks up to the level; if
// all can have all, what the largest could ask for. Demands and capacity are rates in one unit.
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(left, right float64) int { return cmp.Compare(left, right) })
	rest := capacity
	for index, demand := range sorted {
		even := rest / float64(len(sorted)-index)
		if demand > even {
			return even
		}
		rest -= demand
	}
	if len(sorted) == 0 {
		return capacity
	}
	return sorted[len(sorted)-1] + rest
}

func sum(numbers []float64) float64 {
	var total float64
	for _, number := range numbers {
		total += number
	}
	return total
}
