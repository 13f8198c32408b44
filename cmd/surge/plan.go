package main

import (
	"fmt"
	"math/rand/v2"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

// The size of the measured fleet and its load. unreportedRequests bounds the service of a team that an owner has given
// but not yet reported to the other owners, as a multiple of the largest cost.
const (
	fleetInstances      = 8
	teams               = 16
	largeTeams          = 4
	enginesPerZone      = 4
	plainTargetsPerZone = 1
	engineSlots         = 8
	engineColdSlots     = 2
	plainSlots          = 8
	tokensPerSecond     = 400
	maxCostTokens       = 400
	warmUpMillis        = 2000
	growthPerSecond     = 2.5
	unreportedRequests  = 0.5
	maxPlainMillis      = 200
	enginePool          = "truss-assistant"
	plainPool           = "order-desk"
	bulkRoute           = "layout"
	interactiveRoute    = "load-check"
	repeatableRoute     = "lumber"
	nonRepeatableRoute  = "pickup"
)

// spareZone is a zone without instances and targets, so that taking it out of service moves no work.
const spareZone = "mazowsze-spare"

// zones lists the availability zones that have instances and targets.
var zones = []string{"mazowsze-a", "mazowsze-b", "mazowsze-c"}

// fleetPlan returns the plan of a fleet with the given policy and number of instances, and the standard targets,
// teams and pools.
func (bench *benchmark) fleetPlan(policy settings.Policy, instances int) (rig.Plan, error) {
	folder, err := bench.fleetFolder()
	return rig.Plan{
		Programs:      bench.programs,
		Folder:        folder,
		Zones:         zones,
		Instances:     instances,
		Targets:       targets(),
		Configuration: fleetConfiguration(teams),
		Policy:        policy,
	}, err
}

func targets() []standin.SceneTarget {
	var all []standin.SceneTarget
	for _, zone := range zones {
		for number := range enginesPerZone {
			all = append(all, standin.SceneTarget{
				Name: fmt.Sprintf("engine-%s-%d", zone, number+1), Pool: enginePool, Kind: string(coltsfootlink.EnginePool),
				Zone: zone, Version: "v1", Cold: engineColdSlots, Warm: engineSlots, WarmUpMillis: warmUpMillis,
				TokensPerSecond: tokensPerSecond, FirstTokenMillis: 20, ColdFirstTokenMillis: 100,
			})
		}
		for number := range plainTargetsPerZone {
			all = append(all, standin.SceneTarget{
				Name: fmt.Sprintf("plain-%s-%d", zone, number+1), Pool: plainPool, Kind: string(coltsfootlink.PlainPool),
				Zone: zone, Version: "v1", Cold: plainSlots, Warm: plainSlots,
			})
		}
	}
	return all
}

func fleetConfiguration(teamCount int) coltsfootlink.Configuration {
	var configuration coltsfootlink.Configuration
	for _, zone := range zones {
		configuration = configuration.WithZone(coltsfootlink.AvailabilityZone{Name: coltsfootlink.ZoneName(zone)})
	}
	configuration = configuration.WithZone(coltsfootlink.AvailabilityZone{Name: spareZone})
	for number := range teamCount {
		name := teamName(number)
		team := coltsfootlink.Team{Name: coltsfootlink.TeamName(name), Weight: teamWeight(number)}
		configuration = configuration.WithTeam(team.WithToken(name))
	}
	configuration = configuration.WithPool(coltsfootlink.Pool{
		Name: enginePool, Kind: coltsfootlink.EnginePool, ColdLimit: engineColdSlots, MaxLimit: engineSlots,
		GrowthPerSecond: growthPerSecond, MaxBodyBytes: 1 << 20, QueuePerTeam: 1024, ShardsPerZone: 1,
		MaxCost: maxCostTokens, EndMarker: standin.EndMarker,
		Routes: []coltsfootlink.Route{
			{Path: bulkRoute, Class: coltsfootlink.Bulk, Repeatable: true},
			{Path: interactiveRoute, Class: coltsfootlink.Interactive, Repeatable: true},
		},
	})
	return configuration.WithPool(coltsfootlink.Pool{
		Name: plainPool, Kind: coltsfootlink.PlainPool, ColdLimit: plainSlots, MaxLimit: plainSlots,
		GrowthPerSecond: growthPerSecond, MaxBodyBytes: 1 << 20, QueuePerTeam: 1024, ShardsPerZone: 1,
		MaxCost: maxPlainMillis,
		Routes: []coltsfootlink.Route{
			{Path: repeatableRoute, Class: coltsfootlink.Interactive, Repeatable: true},
			{Path: nonRepeatableRoute, Class: coltsfootlink.Interactive, Repeatable: false},
		},
	})
}

func teamName(number int) string { return fmt.Sprintf("team-%02d", number+1) }

// teamWeight returns the weight of a team: 2 for the first half of the large teams, 1 for all others.
func teamWeight(number int) float64 {
	if number < largeTeams/2 {
		return 2
	}
	return 1
}

func totalWeight() float64 {
	total := 0.0
	for number := range teams {
		total += teamWeight(number)
	}
	return total
}

// cost returns a random cost in tokens from a heavy-tailed distribution, limited to between 8 and maxCostTokens. The
// teams cycle through three means.
func cost(random *rand.Rand, team int) float64 {
	mean := []float64{30, 60, 120}[team%3]
	value := mean * random.ExpFloat64() * random.ExpFloat64()
	return min(maxCostTokens, max(8, value))
}

// hint returns a rough estimate of a cost, between 0.3 and 3 times the actual cost.
func hint(random *rand.Rand, cost float64) float64 { return cost * (0.3 + 2.7*random.Float64()) }
