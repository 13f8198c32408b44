package standin

import (
	"context"
	"maps"
	"slices"
	"time"
)

// partitionsPerTopic is the number of partitions of each topic that a consumer group divides among its members.
const partitionsPerTopic = 12

// group is a consumer group: its members divide the partitions of the group's topics among themselves.
type group struct {
	generation uint64
	// members holds the time at which each member's lease expires.
	members map[string]time.Time
	topics  map[string]bool
	// owners holds the member that owns each partition, and ownedSince the generation in which it got the partition.
	owners     map[partitionName]string
	ownedSince map[partitionName]uint64
	offsets    map[partitionName]uint64
}

// joinResult is the store's answer to a join: the generation of the group and the rows of the member's partitions.
type joinResult struct {
	era, generation uint64
	rows            [][]any
}

// join adds a member to a group or renews its lease. A new member or a new topic starts a new generation.
func (store *Store) join(ctx context.Context, name, member string, topics []string, lease time.Duration) (joinResult, error) {
	var result joinResult
	era, err := store.do(ctx, func(state *storeState) {
		joined := state.changedGroup(name)
		joined.expire(time.Now())
		_, known := joined.members[member]
		joined.members[member] = time.Now().Add(lease)
		for _, topic := range topics {
			known = known && joined.topics[topic]
			joined.topics[topic] = true
		}
		if !known {
			joined.rebalance()
		}
		result.generation = joined.generation
		result.rows = joined.rows(func(owner string) bool { return owner == member }, false)
	})
	result.era = era
	return result, err
}

// leave removes a member from a group and reassigns its partitions to the other members. It returns the store's era.
func (store *Store) leave(ctx context.Context, name, member string) (uint64, error) {
	return store.do(ctx, func(state *storeState) {
		group := state.changedGroup(name)
		if _, known := group.members[member]; known {
			delete(group.members, member)
			group.rebalance()
		}
	})
}

// commit stores the offset up to which a member has processed a partition. It returns the store's era, and false if the
// member does not own the partition, or got it in a later generation than the one given.
func (store *Store) commit(ctx context.Context, name, member string, generation uint64, part partitionName, offset uint64) (uint64, bool, error) {
	var accepted bool
	era, err := store.do(ctx, func(state *storeState) {
		found := state.changedGroup(name)
		found.expire(time.Now())
		accepted = found.owners[part] == member && generation >= found.ownedSince[part]
		if accepted {
			found.offsets[part] = offset
		}
	})
	return era, accepted, err
}

// owners returns the store's era, and a row of topic, partition, owning member and committed offset for each partition that
// has an owner.
func (store *Store) owners(ctx context.Context, name string) (uint64, [][]any, error) {
	var rows [][]any
	era, err := store.do(ctx, func(state *storeState) {
		found := state.changedGroup(name)
		found.expire(time.Now())
		rows = found.rows(func(string) bool { return true }, true)
	})
	return era, rows, err
}

func (state *storeState) group(name string) *group {
	found, known := state.groups[name]
	if !known {
		found = &group{
			members:    make(map[string]time.Time),
			topics:     make(map[string]bool),
			owners:     make(map[partitionName]string),
			ownedSince: make(map[partitionName]uint64),
			offsets:    make(map[partitionName]uint64),
		}
		state.groups[name] = found
	}
	return found
}

// clone returns a copy that shares no map with the group.
func (group *group) clone() *group {
	copied := *group
	copied.members, copied.topics = maps.Clone(group.members), maps.Clone(group.topics)
	copied.owners, copied.ownedSince = maps.Clone(group.owners), maps.Clone(group.ownedSince)
	copied.offsets = maps.Clone(group.offsets)
	return &copied
}

// expire removes the members whose lease has expired, and reassigns their partitions.
func (group *group) expire(now time.Time) {
	before := len(group.members)
	maps.DeleteFunc(group.members, func(_ string, until time.Time) bool { return now.After(until) })
	if len(group.members) < before {
		group.rebalance()
	}
}

// rebalance starts a new generation and assigns the partitions to the members in turn, so that the numbers of partitions
// per member differ by one at most.
func (group *group) rebalance() {
	group.generation++
	members := slices.Sorted(maps.Keys(group.members))
	next := 0
	for _, topic := range slices.Sorted(maps.Keys(group.topics)) {
		for part := range partitionsPerTopic {
			name := partitionName{topic: topic, part: part}
			if len(members) == 0 {
				delete(group.owners, name)
				continue
			}
			if owner := members[next%len(members)]; group.owners[name] != owner {
				group.owners[name] = owner
				group.ownedSince[name] = group.generation
			}
			next++
		}
	}
}

func (group *group) rows(include func(owner string) bool, withOwner bool) [][]any {
	rows := [][]any{}
	for _, topic := range slices.Sorted(maps.Keys(group.topics)) {
		for part := range partitionsPerTopic {
			name := partitionName{topic: topic, part: part}
			owner, owned := group.owners[name]
			switch {
			case !owned || !include(owner):
			case withOwner:
				rows = append(rows, []any{topic, part, owner, group.offsets[name]})
			default:
				rows = append(rows, []any{topic, part, group.offsets[name]})
			}
		}
	}
	return rows
}
