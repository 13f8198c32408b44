package share

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

const (
	// evaluationInterval is the time between two evaluations of the shares.
	evaluationInterval = 250 * time.Millisecond
	// renewInterval is the maximum time between two announcements of similar shares.
	renewInterval = time.Second
	// tolerance is the relative difference up to which two values count as similar.
	tolerance = 0.1
	// logInterval is the time between two groups of log lines on the teams of a pool, and maxLogged the maximum number
	// of lines in a group.
	logInterval = time.Second
	maxLogged   = 10
)

// Task is the share coordinator of the pools assigned to its instance: it evaluates the teams' demand and announces the
// shares to all instances.
type Task struct {
	Self coltsfootlink.InstanceName
	// BearableFactor is the rate that the targets can sustain, as a multiple of the guaranteed rate.
	BearableFactor float64
	// MinWaitFraction is the lower bound of the maximum wait of Bearable requests, as a fraction of their objective.
	MinWaitFraction float64
	Clock           coltsfootlink.Clock
	Sender          coltsfootlink.Sender
	Log             zerolog.Logger
	Inbox           *mailbox.Deliveries

	ledgers   map[coltsfootlink.PoolName]Ledger
	announced map[coltsfootlink.PoolName]announcedShares
	catalog   coltsfootlink.Catalog
	view      coltsfootlink.View
}

// announcedShares is what was last announced to all instances for one pool.
type announcedShares struct {
	shares coltsfootlink.Shares
	// renewAt is when the shares are announced again even if they have not changed.
	renewAt time.Time
	// logAt is when the next log lines are due.
	logAt time.Time
}

// Coordinator returns the instance that is the share coordinator of a pool; false if there is none.
func Coordinator(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return ownership.SingletonOwner("shares "+string(pool), view)
}

// Run evaluates and announces shares until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.evaluate()
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery.Message)
			task.recordZone(delivery)
		}
		task.evaluateBursts()
	}
}

func (task *Task) reset() {
	task.ledgers = make(map[coltsfootlink.PoolName]Ledger)
	task.announced = make(map[coltsfootlink.PoolName]announcedShares)
}

func (task *Task) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case coltsfootlink.Offered:
		ledger, found := task.ledgers[message.Pool]
		if !found {
			ledger = NewLedger(task.Clock.Now(), task.MinWaitFraction)
		}
		task.ledgers[message.Pool] = ledger.WithOffered(message)
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
	case coltsfootlink.ViewChanged:
		task.view = message.View
	}
}

// recordZone adds a reported load to the work of the sender's zone.
func (task *Task) recordZone(delivery coltsfootlink.Delivery) {
	offered, reported := delivery.Message.(coltsfootlink.Offered)
	if member, known := task.view.Member(delivery.From); reported && known {
		task.ledgers[offered.Pool] = task.ledgers[offered.Pool].WithZone(member.Zone, offered)
	}
}

// evaluate updates the ledgers, announces the shares of the coordinated pools, and drops the pools that have moved to
// another coordinator.
func (task *Task) evaluate() {
	now := task.Clock.Now()
	for pool, ledger := range task.ledgers {
		if !task.coordinates(pool) {
			delete(task.ledgers, pool)
			delete(task.announced, pool)
			continue
		}
		task.announce(now, pool, ledger.WithTime(now))
	}
}

// evaluateBursts announces, ahead of the next evaluation, the shares of pools in which a burst has been detected.
func (task *Task) evaluateBursts() {
	now, guaranteed := task.Clock.Now(), task.catalog.Table.TokensPerSecond
	for pool, ledger := range task.ledgers {
		if guaranteed > 0 && ledger.BurstDetected(guaranteed) && task.coordinates(pool) {
			task.announce(now, pool, ledger.WithBursts(now))
		}
	}
}

// coordinates reports whether this instance is the share coordinator of a pool.
func (task *Task) coordinates(pool coltsfootlink.PoolName) bool {
	coordinator, found := Coordinator(pool, task.view)
	return found && coordinator == task.Self
}

// announce stores the ledger of a pool, and sends its shares to all instances if they have changed or are due for
// renewal.
func (task *Task) announce(now time.Time, pool coltsfootlink.PoolName, ledger Ledger) {
	task.ledgers[pool] = ledger
	guaranteed := task.catalog.Table.TokensPerSecond
	if guaranteed <= 0 {
		return
	}
	shares := ledger.Shares(pool, guaranteed, guaranteed*task.BearableFactor)
	last := task.announced[pool]
	if now.Before(last.renewAt) && similar(shares, last.shares) {
		return
	}
	task.ledgers[pool] = ledger.WithAnnounced(shares)
	logAt := task.log(now, last.logAt, ledger, shares)
	task.announced[pool] = announcedShares{shares: shares, renewAt: now.Add(renewInterval), logAt: logAt}
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, shares)
	}
}

// log logs the demand and the grants of the teams with the highest demand, if log lines are due, and returns when the
// next are due.
func (task *Task) log(now, due time.Time, ledger Ledger, shares coltsfootlink.Shares) time.Time {
	if now.Before(due) {
		return due
	}
	largest := slices.SortedFunc(slices.Values(shares.Teams), func(one, other coltsfootlink.TeamShare) int {
		return cmp.Compare(ledger.demand(other.Team), ledger.demand(one.Team))
	})
	for _, team := range largest[:min(maxLogged, len(largest))] {
		task.Log.Info().Str("pool", string(shares.Pool)).Str("team", string(team.Team)).
			Float64("asks", ledger.demand(team.Team)).Float64("gets", ledger.granted(team.Team)).
			Float64("entitled", team.Entitled).Float64("bearable", team.Bearable).Float64("surplus", team.Surplus).
			Float64("patience", shares.MaxWaitFraction).Int("teams-over", len(shares.Teams)).Msg("share: team requests more than its fair share; its requests are limited")
	}
	return now.Add(logInterval)
}

// similar reports whether two announcements differ by no more than the tolerance.
func similar(one, other coltsfootlink.Shares) bool {
	if len(one.Teams) != len(other.Teams) || !near(one.MaxWaitFraction, other.MaxWaitFraction) {
		return false
	}
	for index, team := range one.Teams {
		previous := other.Teams[index]
		if team.Team != previous.Team || !near(team.Entitled, previous.Entitled) || !near(team.Bearable, previous.Bearable) || !near(team.Surplus, previous.Surplus) {
			return false
		}
	}
	return true
}

func near(one, other float64) bool {
	return math.Abs(one-other) <= tolerance*max(one, other)
}
