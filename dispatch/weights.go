package dispatch

import (
	"maps"
	"time"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/placement"
)

// weightsInterval is the minimum time between two changes of the targets' weights by announcements, so that a burst of
// them moves prefixes, and logs it, once.
const weightsInterval = time.Second

// updateWeights derives the targets' weights from the announced speeds and logs the pools in which they have changed.
func (task *Task) updateWeights(now time.Time) {
	previous := task.placement.Weights()
	task.placement = task.placement.WithCatalog(now, task.catalog)
	task.weightsDueAt = now.Add(weightsInterval)
	current := task.placement.Weights()
	inForce := 0
	for pool, weights := range current {
		inForce += len(weights)
		if !maps.Equal(weights, previous[pool]) {
			task.logWeights(pool, weights)
		}
	}
	for pool := range previous {
		if _, found := current[pool]; !found {
			task.logWeights(pool, nil)
		}
	}
	metrics.SetTargetWeights(inForce)
}

func (task *Task) logWeights(pool coltsfootlink.PoolName, weights placement.Weights) {
	lowest, highest := weights.Range()
	task.Log.Info().Str("pool", string(pool)).Int("weighted", len(weights)).Float64("lowest", lowest).Float64("highest", highest).
		Msg("dispatch: weights of the pool's targets changed, because their owners announced other speeds or no longer do")
}
