package ownership

import (
	"strconv"

	"coltsfootlink"
)

// MoveCoordinator returns the instance that ends the version moves of a pool; false if there is none. Two
// coordinators at a time do no harm, because only the first record on the log counts.
func MoveCoordinator(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return highestRanked("moves/"+string(pool), withoutLeaving(view.Live()))
}

// PartitionOwner returns the instance that appends the claims of a partition; false if there is none.
// Two owners at a time do no harm, because only the first claim of a key on the log counts.
func PartitionOwner(partition int, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return highestRanked("claims/"+strconv.Itoa(partition), withoutLeaving(view.Live()))
}
