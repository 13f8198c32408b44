package dispatch

import (
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/placement"
)

// placementInterval is the time between two changes of weights and preferences by announcements, so that a burst of them
// moves prefixes, and logs it, once.
const placementInterval = time.Second

// liveZones returns the zones with live instances.
func liveZones(view coltsfootlink.View) map[coltsfootlink.ZoneName]bool {
	zones := make(map[coltsfootlink.ZoneName]bool)
	for _, member := range view.Live() {
		zones[member.Zone] = true
	}
	return zones
}

// updatePlacement puts in force what has been announced of the targets' speeds and the zones' demand, and logs what that
// changes.
func (task *Task) updatePlacement(now time.Time) {
	previous := task.placement
	task.placement = previous.WithCatalog(now, task.catalog)
	task.placementDueAt = now.Add(placementInterval)
	names := append(previous.Pools(), task.placement.Pools()...)
	slices.Sort(names)
	weighted := 0
	for _, pool := range slices.Compact(names) {
		weights, zones := task.placement.Weights(pool), task.placement.Zones(pool)
		weighted += weights.Len()
		if !weights.Equal(previous.Weights(pool)) {
			lowest, highest := weights.Range()
			task.Log.Info().Str("pool", string(pool)).Int("weighted", weights.Len()).Float64("lowest", lowest).Float64("highest", highest).
				Msg("dispatch: weights of the pool's targets changed, because owners announced other speeds or targets changed")
		}
		if before := previous.Zones(pool); zones.Uneven != before.Uneven || zones.Own != before.Own {
			task.Log.Info().Str("pool", string(pool)).Bool("uneven", zones.Uneven).Float64("demand", zones.Demand).Float64("targets", zones.Targets).
				Float64("own", zones.Own).Msg("dispatch: fraction of cheap prefixes that prefer the own zone changed with the zone's part of the demand")
		}
	}
	metrics.SetTargetWeights(weighted)
}

// candidates returns the targets that a request is offered to, and its preference for zones.
func (task *Task) candidates(now time.Time, catalog coltsfootlink.Catalog, want Want, draw uint64, tried map[coltsfootlink.TargetName]bool) ([]coltsfootlink.Target, placement.Preference) {
	preference := task.placement.Preference(now, want.Pool, want.Work, want.Objective)
	request := placement.Request{Pool: want.Pool, Work: want.Work, Draw: draw, Avoid: tried, OwnZone: preference.OwnZone}
	return task.placement.Candidates(catalog, request), preference
}

// withoutFull returns a request after its first candidate was refused because the target is full. One with a cheap prefix
// goes on with the targets that have the shortest waits instead of the next ones by hash.
func (task *Task) withoutFull(now time.Time, waiting pending) pending {
	full := waiting.candidates[0]
	waiting.candidates = waiting.candidates[1:]
	if waiting.want.Standing != coltsfootlink.Entitled {
		// For a request beyond its team's share it is not worth reading the shared prefix again on another target.
		waiting.candidates = nil
		return waiting
	}
	if waiting.preference.OwnZone && full.Zone == task.Self.Zone {
		task.pauseOwnZone(now, waiting.want.Pool, full.Name)
	}
	if waiting.preference.ByWait {
		waiting.spills += len(waiting.candidates)
		waiting.candidates = nil
	}
	return waiting
}

// pauseOwnZone notes that a target of the own zone was full for a request that preferred the zone.
func (task *Task) pauseOwnZone(now time.Time, pool coltsfootlink.PoolName, full coltsfootlink.TargetName) {
	metrics.Count("own-zone-full")
	if !task.placement.Paused(now, pool) {
		task.Log.Info().Str("pool", string(pool)).Str("target", string(full)).Msg("dispatch: own zone is not preferred for a second, because one of its targets is full")
	}
	task.placement = task.placement.WithOwnZoneFull(now, pool)
}

// countPlacement counts a request that was given a target by whether that is in the instance's own zone.
func (task *Task) countPlacement(target coltsfootlink.Target) {
	if target.Zone == task.Self.Zone {
		metrics.Count("placed-in-own-zone")
	} else {
		metrics.Count("placed-in-other-zones")
	}
}
