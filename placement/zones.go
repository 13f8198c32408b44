package placement

import (
	"math"
	"time"

	"coltsfootlink"
)

const (
	// demandTTL is how long an announcement of the zones' demand is used. It is repeated every second; one repetition may
	// be lost.
	demandTTL = 3 * time.Second
	// Demand is uneven from when a zone's part of it is unevenFactor times the zone's part of the targets until no zone's is
	// evenFactor times that. In three zones, 2.5 times the demand of each other zone is a factor of 1.67.
	unevenFactor, evenFactor = 1.5, 1.25
	// cheapFraction is the reading time of a cheap prefix as a fraction of the request's objective, at most.
	cheapFraction = 1.0 / 20
	// fractionSteps is the number of steps in which the fraction of prefixes that prefer the own zone changes, so that few
	// prefixes move while the demand fluctuates.
	fractionSteps = 10
	// pauseDuration is how long the own zone is not preferred after one of its targets was full.
	pauseDuration = time.Second
)

// demand is the announced fraction of a pool's work that the callers of each zone ask for.
type demand struct {
	fractions  map[coltsfootlink.ZoneName]float64
	validUntil time.Time
}

// known reports whether the announcement is still valid.
func (demand demand) known(now time.Time) bool { return now.Before(demand.validUntil) }

// Zones decides on the zones of a pool's requests. It answers the load of a zone whose callers ask for several times as
// much as those of the others, while targets are spread evenly: requests stay in their zone as far as that keeps the
// targets of all zones evenly loaded.
type Zones struct {
	// Uneven indicates that the demand of the zones differs from their parts of the targets.
	Uneven bool
	// Demand is the own zone's part of the demand, Targets its part of the targets.
	Demand, Targets float64
	// Own is the fraction of cheap prefixes that prefer the own zone; zero if all ignore zones.
	Own float64
}

// WithZoneDemand replaces the fractions of a pool's work that the callers of each zone ask for.
func (state State) WithZoneDemand(now time.Time, pool coltsfootlink.PoolName, zones []coltsfootlink.ZoneDemand) State {
	if len(zones) == 0 {
		return state
	}
	fractions := make(map[coltsfootlink.ZoneName]float64, len(zones))
	for _, zone := range zones {
		fractions[zone.Zone] = zone.Fraction
	}
	changed := state.pools[pool]
	changed.demand = demand{fractions: fractions, validUntil: now.Add(demandTTL)}
	return state.withPool(pool, changed)
}

// WithOwnZoneFull notes that a target of the own zone was full for a request that preferred the zone.
func (state State) WithOwnZoneFull(now time.Time, pool coltsfootlink.PoolName) State {
	changed := state.pools[pool]
	changed.pausedUntil = now.Add(pauseDuration)
	return state.withPool(pool, changed)
}

// Paused reports whether the own zone is not preferred because one of its targets was full.
func (state State) Paused(now time.Time, pool coltsfootlink.PoolName) bool {
	return now.Before(state.pools[pool].pausedUntil)
}

// targetsByZone counts the usable targets of a pool in zones with live instances.
func (state State) targetsByZone(pool coltsfootlink.PoolName, catalog coltsfootlink.Catalog) map[coltsfootlink.ZoneName]int {
	counts := make(map[coltsfootlink.ZoneName]int)
	for _, target := range catalog.Targets {
		if target.Pool == pool && catalog.Usable(target) && state.live[target.Zone] {
			counts[target.Zone]++
		}
	}
	return counts
}

// withZones derives the preference for the own zone. Of zones without targets, only the demand counts, so that the loss of
// a zone's targets alone changes no preference.
func (pool poolState) withZones(now time.Time, own coltsfootlink.ZoneName, targets map[coltsfootlink.ZoneName]int) poolState {
	factor := unevenFactor
	if pool.zones.Uneven {
		factor = evenFactor
	}
	pool.zones = Zones{}
	if !pool.demand.known(now) || len(targets) < 2 || targets[own] == 0 {
		return pool
	}
	sum := 0
	for _, count := range targets {
		sum += count
	}
	for zone, count := range targets {
		pool.zones.Uneven = pool.zones.Uneven || pool.demand.fractions[zone] >= factor*float64(count)/float64(sum)
	}
	pool.zones.Demand, pool.zones.Targets = pool.demand.fractions[own], float64(targets[own])/float64(sum)
	if pool.zones.Uneven {
		pool.zones.Own = ownFraction(pool.zones.Demand, pool.zones.Targets)
	}
	return pool
}

// ownFraction returns the fraction of a zone's requests that may prefer the zone, from its parts of the demand and of the
// targets. If the remaining ones are spread over all zones, and other zones keep all of theirs, the zone's targets get
// demand x (own + (1 - own) x targets), which this fraction makes equal to their part of all targets.
func ownFraction(demand, targets float64) float64 {
	if demand <= targets {
		return 1
	}
	fraction := targets * (1 - demand) / (demand * (1 - targets))
	return math.Round(max(0, fraction)*fractionSteps) / fractionSteps
}

// Preference is the preference of a request for zones.
type Preference struct {
	// OwnZone indicates that the best target of the own zone is the first candidate.
	OwnZone bool
	// ByWait indicates that, once a target is full, the next ones are those with the shortest known waits in any zone.
	ByWait bool
}

// Preference returns the preference of a request that is due at its objective. Only requests with a cheap prefix have one:
// reading it once more in each zone takes little of their time, and of the targets' time.
func (state State) Preference(now time.Time, pool coltsfootlink.PoolName, work coltsfootlink.Work, objective time.Time) Preference {
	known := state.pools[pool]
	if !known.zones.Uneven || !known.demand.known(now) || work.Affinity() == 0 || !state.cheap(work, objective.Sub(now)) {
		return Preference{}
	}
	const noTarget = ""
	drawn := float64(hash(noTarget, work.Affinity())) / (1 << 64)
	return Preference{OwnZone: drawn < known.zones.Own && !state.Paused(now, pool), ByWait: true}
}

// cheap reports whether reading the shared prefix takes only a small part of the time until the objective.
func (state State) cheap(work coltsfootlink.Work, remaining time.Duration) bool {
	tokens := 0
	for _, part := range work.SharedPrefix() {
		tokens += part.Tokens
	}
	const alone = 1
	return state.rates.ReadMillis(0, tokens, alone) < cheapFraction*float64(remaining)/float64(time.Millisecond)
}
