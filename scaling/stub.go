// Package scaling decides the number of targets of each pool and zone. This file stands in for the package until it is merged,
// and is removed then.
package scaling

import (
	"time"

	"coltsfootlink"
)

// Order orders a number of targets.
type Order struct {
	Pool   coltsfootlink.PoolName
	Zone   coltsfootlink.ZoneName
	Count  int
	Reason string
}

// Planner orders one target more than it has heard of.
type Planner struct{ loads []coltsfootlink.TargetsLoad }

// NewPlanner returns a planner that knows no loads.
func NewPlanner() Planner { return Planner{} }

// WithLoads returns the planner with an instance's loads.
func (planner Planner) WithLoads(_ time.Time, _ coltsfootlink.InstanceName, loads []coltsfootlink.TargetsLoad) Planner {
	planner.loads = append(planner.loads[:len(planner.loads):len(planner.loads)], loads...)
	return planner
}

// WithCatalog returns the planner with another catalog and view.
func (planner Planner) WithCatalog(time.Time, coltsfootlink.Catalog, coltsfootlink.View) Planner {
	return planner
}

// Orders returns the orders that are due, and the planner after them.
func (planner Planner) Orders(time.Time) (Planner, []Order) {
	var orders []Order
	for _, load := range planner.loads {
		orders = append(orders, Order{Pool: load.Pool, Zone: load.Zone, Count: load.Targets + 1, Reason: "stub"})
	}
	planner.loads = nil
	return planner, orders
}
