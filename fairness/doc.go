// Package fairness decides which team's request a target serves next.
package fairness
