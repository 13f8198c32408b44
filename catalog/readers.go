package catalog

import (
	"maps"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/ownership"
)

const (
	// readersPerZone is the number of instances of a zone that read the platform. A single one may be cut off or rejected by the
	// platform, and this may go unnoticed for longer than an update may take.
	readersPerZone = 2
	// readerTimeout is how long a reader may be silent before the next instance of the zone reads in its place. Membership
	// notices only later that it is gone, and a change of the configuration has to be in force within two seconds.
	readerTimeout = 1200 * time.Millisecond
	// substituteDelay is added to readerTimeout once for each instance that ranks between the regular readers and this one,
	// maxSubstituteDelay at most.
	substituteDelay    = 30 * time.Millisecond
	maxSubstituteDelay = 300 * time.Millisecond
	// updateTimeout is how long ago the readers of a zone may have read the platform before another instance reads, too, and
	// rankDelay is added to it once for each instance of the zone that ranks higher as a reader.
	updateTimeout = 5 * time.Second
	rankDelay     = 300 * time.Millisecond
)

// heardReaders is when each reader was last heard of. It is immutable.
type heardReaders map[coltsfootlink.InstanceName]time.Time

// With returns the times with that of one reader replaced.
func (heard heardReaders) With(name coltsfootlink.InstanceName, at time.Time) heardReaders {
	next := maps.Clone(heard)
	if next == nil {
		next = make(heardReaders)
	}
	next[name] = at
	return next
}

// Among returns the times without those of instances that are not in a view.
func (heard heardReaders) Among(view coltsfootlink.View) heardReaders {
	next := maps.Clone(heard)
	maps.DeleteFunc(next, func(name coltsfootlink.InstanceName, _ time.Time) bool {
		_, found := view.Member(name)
		return !found
	})
	return next
}

// Since returns how many of the instances were heard of since a time.
func (heard heardReaders) Since(from time.Time, names []coltsfootlink.InstanceName) int {
	count := 0
	for _, name := range names {
		if at, found := heard[name]; found && !at.Before(from) {
			count++
		}
	}
	return count
}

// readers returns the instances of a zone that always read the platform.
func (task *Task) readers(zone coltsfootlink.ZoneName) []coltsfootlink.InstanceName {
	ranked := task.ranked(zone)
	return ranked[:min(readersPerZone, len(ranked))]
}

// setView takes over a view, and who reads the platform in it.
func (task *Task) setView(view coltsfootlink.View) {
	task.view, task.heard = view, task.heard.Among(view)
	task.ranking = task.ranked(task.Self.Zone)
}

// ranked returns the instances of a zone that may read the platform, in the order in which they do: the capable ones first.
func (task *Task) ranked(zone coltsfootlink.ZoneName) []coltsfootlink.InstanceName {
	name := "catalog " + string(zone)
	ranked := ownership.Ranked(name, task.view.Capable(zone))
	for _, candidate := range ownership.Ranked(name, task.view.Candidates(zone)) {
		if !slices.Contains(ranked, candidate) {
			ranked = append(ranked, candidate)
		}
	}
	return ranked
}

// shouldRead reports whether the instance has to read the platform: until it has read all streams once, if it is one of its
// zone's readers, or if these have not read for too long.
func (task *Task) shouldRead() bool {
	if !task.loaded[coltsfootlink.OperatorStream] || !task.loaded[coltsfootlink.TargetStream] {
		return true
	}
	now := task.Clock.Now()
	if task.isRegularReader(now) {
		return true
	}
	rank := slices.Index(task.ranking, task.Self.Name)
	timeout := updateTimeout + time.Duration(max(0, rank))*rankDelay
	return now.Sub(task.lastUpdateAt) > timeout
}

// isRegularReader reports whether the zone relies on this instance: fewer than readersPerZone of those that rank before it exist, or
// were heard of as readers of late.
func (task *Task) isRegularReader(now time.Time) bool {
	rank := slices.Index(task.ranking, task.Self.Name)
	if rank < 0 {
		return false
	}
	if rank < readersPerZone {
		return true
	}
	delay := min(time.Duration(rank-readersPerZone)*substituteDelay, maxSubstituteDelay)
	return task.heard.Since(now.Add(-readerTimeout-delay), task.ranking[:rank]) < readersPerZone
}
