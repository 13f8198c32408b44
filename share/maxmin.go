// Package share computes the fair share of each team in a pool (max-min fairness) and classifies requests as Entitled,
// Bearable or Surplus by it.
package share

import (
	"cmp"
	"slices"
)

// Level returns the max-min fair level: the capacity is used up if every team gets its demand up to the level. If the
// capacity covers all demands, the level is the largest demand plus the remaining capacity. Demands and capacity are
// rates in the same unit.
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
