// Package queue holds the state of an entry instance: its queues of waiting requests, which decide the request that
// uses a permit, its permits, the demand it has reported to owners, and what it has served.
package queue

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// queueFullRetryDelay is how long a caller is asked to wait before it retries after its team's queue was full.
const queueFullRetryDelay = time.Second

// Waiting is a request that waits for a permit.
type Waiting struct {
	ID       coltsfootlink.RequestID
	Team     coltsfootlink.TeamName
	Pool     coltsfootlink.PoolName
	Class    coltsfootlink.Class
	Arrived  time.Time
	Deadline time.Time
	CostHint float64
}

// sortKey orders the requests of a queue.
type sortKey struct {
	bulk    bool
	arrived int64
	id      coltsfootlink.RequestID
}

// queueKey identifies the queue of one team in one pool.
type queueKey struct {
	pool coltsfootlink.PoolName
	team coltsfootlink.TeamName
}

type sortKeyComparer struct{}

// Compare puts interactive requests before bulk ones and older requests before newer ones.
func (sortKeyComparer) Compare(left, right sortKey) int {
	if left.bulk != right.bulk {
		if right.bulk {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(left.arrived, right.arrived), cmp.Compare(left.id, right.id))
}

type queueComparer struct{}

// Compare orders queues by pool, then by team.
func (queueComparer) Compare(left, right queueKey) int {
	return cmp.Or(cmp.Compare(left.pool, right.pool), cmp.Compare(left.team, right.team))
}

type teamQueue = *immutable.SortedMap[sortKey, Waiting]

// State holds the requests that wait on one instance; it is immutable.
type State struct {
	queues   *immutable.SortedMap[queueKey, teamQueue]
	requests *immutable.Map[coltsfootlink.RequestID, Waiting]
}

// NewState returns a state without requests.
func NewState() State {
	return State{
		queues:   immutable.NewSortedMap[queueKey, teamQueue](queueComparer{}),
		requests: immutable.NewMap[coltsfootlink.RequestID, Waiting](nil),
	}
}

// WithRequest adds a request. It is refused if its deadline has passed or its team already has limit requests waiting
// in the pool.
func (state State) WithRequest(now time.Time, waiting Waiting, limit int) (State, *coltsfootlink.Refusal) {
	if !now.Before(waiting.Deadline) {
		return state, coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the deadline has passed")
	}
	key := queueKey{pool: waiting.Pool, team: waiting.Team}
	queue := state.queue(key)
	if queue.Len() >= limit {
		refusal := coltsfootlink.Refuse(coltsfootlink.QueueFull, "the team has too many waiting requests in this pool")
		return state, refusal.WithRetryAt(now.Add(queueFullRetryDelay))
	}
	state.queues = state.queues.Set(key, queue.Set(sortKeyOf(waiting), waiting))
	state.requests = state.requests.Set(waiting.ID, waiting)
	return state, nil
}

// WithoutRequest removes a request; it does nothing if the request is not waiting.
func (state State) WithoutRequest(id coltsfootlink.RequestID) State {
	waiting, found := state.requests.Get(id)
	if !found {
		return state
	}
	key := queueKey{pool: waiting.Pool, team: waiting.Team}
	queue := state.queue(key).Delete(sortKeyOf(waiting))
	state.requests = state.requests.Delete(id)
	if queue.Len() == 0 {
		state.queues = state.queues.Delete(key)
		return state
	}
	state.queues = state.queues.Set(key, queue)
	return state
}

// WithPermit removes and returns the first request that a permit can serve; false if none waits or the permit has
// expired.
func (state State) WithPermit(now time.Time, permit coltsfootlink.Permit) (State, Waiting, bool) {
	if !now.Before(permit.StartBy) {
		return state, Waiting{}, false
	}
	head, found := state.head(queueKey{pool: permit.Shard.Pool, team: permit.Team})
	if !found {
		return state, Waiting{}, false
	}
	return state.WithoutRequest(head.ID), head, true
}

// WithoutExpired removes and returns the requests whose deadlines have passed.
func (state State) WithoutExpired(now time.Time) (State, []Waiting) {
	var expired []Waiting
	for iterator := state.requests.Iterator(); !iterator.Done(); {
		_, waiting, _ := iterator.Next()
		if !now.Before(waiting.Deadline) {
			expired = append(expired, waiting)
		}
	}
	for _, waiting := range expired {
		state = state.WithoutRequest(waiting.ID)
	}
	return state, expired
}

// Request returns a waiting request.
func (state State) Request(id coltsfootlink.RequestID) (Waiting, bool) { return state.requests.Get(id) }

// Len returns the number of waiting requests.
func (state State) Len() int { return state.requests.Len() }

// Demand returns the demand of each team in a pool.
func (state State) Demand(pool coltsfootlink.PoolName) []coltsfootlink.TeamDemand {
	var teams []coltsfootlink.TeamDemand
	iterator := state.queues.Iterator()
	for iterator.Seek(queueKey{pool: pool}); !iterator.Done(); {
		key, queue, _ := iterator.Next()
		if key.pool != pool {
			break
		}
		teams = append(teams, demandOf(key.team, queue))
	}
	return teams
}

// TeamDemand returns the demand of one team in a pool.
func (state State) TeamDemand(pool coltsfootlink.PoolName, team coltsfootlink.TeamName) coltsfootlink.TeamDemand {
	queue, found := state.queues.Get(queueKey{pool: pool, team: team})
	if !found {
		return coltsfootlink.TeamDemand{Team: team}
	}
	return demandOf(team, queue)
}

func demandOf(team coltsfootlink.TeamName, queue teamQueue) coltsfootlink.TeamDemand {
	_, head, _ := queue.Iterator().Next()
	return coltsfootlink.TeamDemand{Team: team, Waiting: queue.Len(), Oldest: head.Arrived, Hint: head.CostHint}
}

func (state State) queue(key queueKey) teamQueue {
	if queue, found := state.queues.Get(key); found {
		return queue
	}
	return immutable.NewSortedMap[sortKey, Waiting](sortKeyComparer{})
}

func (state State) head(key queueKey) (Waiting, bool) {
	queue := state.queue(key)
	if queue.Len() == 0 {
		return Waiting{}, false
	}
	_, head, _ := queue.Iterator().Next()
	return head, true
}

func sortKeyOf(waiting Waiting) sortKey {
	return sortKey{
		bulk:    waiting.Class == coltsfootlink.Bulk,
		arrived: waiting.Arrived.UnixNano(),
		id:      waiting.ID,
	}
}
