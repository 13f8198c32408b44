package queue

import (
	"cmp"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// bucketDuration is the period that one bucket of served requests covers.
	bucketDuration = 10 * time.Second
	// retention is how long served requests are kept for queries.
	retention = time.Hour
)

// Served counts what an instance has served to each team; it is immutable.
type Served struct {
	buckets *immutable.SortedMap[bucketKey, usage]
}

type bucketKey struct {
	start int64
	pool  coltsfootlink.PoolName
	team  coltsfootlink.TeamName
}

// usage is the number of answers and their cost in the pool's unit.
type usage struct {
	answers int
	cost    float64
}

type bucketComparer struct{}

// Compare orders buckets by time, pool and team.
func (bucketComparer) Compare(left, right bucketKey) int {
	return cmp.Or(cmp.Compare(left.start, right.start), cmp.Compare(left.pool, right.pool), cmp.Compare(left.team, right.team))
}

// NewServed returns an empty state.
func NewServed() Served {
	return Served{buckets: immutable.NewSortedMap[bucketKey, usage](bucketComparer{})}
}

// WithAnswer adds one answer and its cost to the bucket of the current time.
func (served Served) WithAnswer(now time.Time, pool coltsfootlink.PoolName, team coltsfootlink.TeamName, cost float64) Served {
	key := bucketKey{start: now.Truncate(bucketDuration).Unix(), pool: pool, team: team}
	total, _ := served.buckets.Get(key)
	total.answers++
	total.cost += cost
	served.buckets = served.buckets.Set(key, total)
	return served
}

// WithoutOld removes the buckets that are older than the retention period.
func (served Served) WithoutOld(now time.Time) Served {
	oldest := now.Add(-retention).Unix()
	for iterator := served.buckets.Iterator(); !iterator.Done(); {
		key, _, _ := iterator.Next()
		if key.start >= oldest {
			break
		}
		served.buckets = served.buckets.Delete(key)
	}
	return served
}

// Table returns the number of answers and the total cost per pool and team since a time. A bucket that only partly
// lies after that time counts in full.
func (served Served) Table(since time.Time) coltsfootlink.Table {
	totals := immutable.NewSortedMap[bucketKey, usage](bucketComparer{})
	for iterator := served.buckets.Iterator(); !iterator.Done(); {
		key, total, _ := iterator.Next()
		if time.Unix(key.start, 0).Add(bucketDuration).Before(since) {
			continue
		}
		key.start = 0
		before, _ := totals.Get(key)
		totals = totals.Set(key, usage{answers: before.answers + total.answers, cost: before.cost + total.cost})
	}
	table := coltsfootlink.Table{Columns: []string{"pool", "team", "answers", "service"}}
	for iterator := totals.Iterator(); !iterator.Done(); {
		key, total, _ := iterator.Next()
		table = table.WithRow(string(key.pool), string(key.team), strconv.Itoa(total.answers), strconv.FormatFloat(total.cost, 'f', 0, 64))
	}
	return table
}
