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
	// interval is the time between two looks at the shares.
	interval = 250 * time.Millisecond
	// renewInterval is the longest time between two words on shares that stay about the same.
	renewInterval = time.Second
	// sameWithin is how far figures may differ that count as about the same, as a part of the larger one.
	sameWithin = 0.1
	// logInterval is the time between two rows of lines on the teams of one pool, and maxLogged the most lines of a row.
	logInterval = time.Second
	maxLogged   = 10
)

// Task keeps the shares of the pools that fall to its instance.
type Task struct {
	Self coltsfootlink.InstanceName
	// BearableFactor is what the targets can do over what the operators promise.
	BearableFactor float64
	// LeastPatience is the part of its objective that a request beyond what is promised may wait in any case.
	LeastPatience float64
	Clock         coltsfootlink.Clock
	Sender        coltsfootlink.Sender
	Log           zerolog.Logger
	Inbox         *mailbox.Deliveries

	ledgers map[coltsfootlink.PoolName]Ledger
	told    map[coltsfootlink.PoolName]told
	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
}

// told is what all instances have been told last.
type told struct {
	shares coltsfootlink.Shares
	// renewAt is when they are told again.
	renewAt time.Time
	// logAt is when the next lines of the log are due.
	logAt time.Time
}

// Keeper returns the instance that keeps the shares of a pool.
func Keeper(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return ownership.Keeper("shares "+string(pool), view)
}

// Run keeps shares until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.tell()
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery.Message)
		}
		task.tellSurges()
	}
}

func (task *Task) reset() {
	task.ledgers = make(map[coltsfootlink.PoolName]Ledger)
	task.told = make(map[coltsfootlink.PoolName]told)
}

func (task *Task) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case coltsfootlink.Offered:
		ledger, known := task.ledgers[message.Pool]
		if !known {
			ledger = NewLedger(task.Clock.Now(), task.LeastPatience)
		}
		task.ledgers[message.Pool] = ledger.WithOffered(message)
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
	case coltsfootlink.ViewChanged:
		task.view = message.View
	}
}

// tell looks at what has come, and tells all instances of the shares of the pools that this one keeps.
func (task *Task) tell() {
	now := task.Clock.Now()
	for pool, ledger := range task.ledgers {
		if !task.keeps(pool) {
			delete(task.ledgers, pool)
			delete(task.told, pool)
			continue
		}
		task.tellPool(now, pool, ledger.WithTime(now))
	}
}

// tellSurges tells of the pools of which so much is asked since the last look that the next one would come late.
func (task *Task) tellSurges() {
	now, promised := task.Clock.Now(), task.catalog.Table.TokensPerSecond
	for pool, ledger := range task.ledgers {
		if promised > 0 && ledger.Surges(promised) && task.keeps(pool) {
			task.tellPool(now, pool, ledger.WithSurges(now))
		}
	}
}

// keeps says whether this instance keeps the shares of a pool.
func (task *Task) keeps(pool coltsfootlink.PoolName) bool {
	keeper, found := Keeper(pool, task.view)
	return found && keeper == task.Self
}

// tellPool keeps the ledger of a pool, and tells all instances of its shares if they have changed or are due.
func (task *Task) tellPool(now time.Time, pool coltsfootlink.PoolName, ledger Ledger) {
	task.ledgers[pool] = ledger
	promised := task.catalog.Table.TokensPerSecond
	if promised <= 0 {
		return
	}
	shares := ledger.Shares(pool, promised, promised*task.BearableFactor)
	last := task.told[pool]
	if now.Before(last.renewAt) && alike(shares, last.shares) {
		return
	}
	task.ledgers[pool] = ledger.WithTold(shares)
	logAt := task.log(now, last.logAt, ledger, shares)
	task.told[pool] = told{shares: shares, renewAt: now.Add(renewInterval), logAt: logAt}
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, shares)
	}
}

// log writes what the teams that ask for most ask for and get, if the next lines are due, and returns when they are then.
func (task *Task) log(now, due time.Time, ledger Ledger, shares coltsfootlink.Shares) time.Time {
	if now.Before(due) {
		return due
	}
	largest := slices.SortedFunc(slices.Values(shares.Teams), func(one, other coltsfootlink.TeamShare) int {
		return cmp.Compare(ledger.demand(other.Team), ledger.demand(one.Team))
	})
	for _, team := range largest[:min(maxLogged, len(largest))] {
		task.Log.Info().Str("pool", string(shares.Pool)).Str("team", string(team.Team)).
			Float64("asks", ledger.demand(team.Team)).Float64("gets", ledger.gets(team.Team)).
			Float64("entitled", team.Entitled).Float64("bearable", team.Bearable).Float64("surplus", team.Surplus).
			Float64("patience", shares.MaxWaitFraction).Int("teams-over", len(shares.Teams)).Msg("share: team asks for more than its share")
	}
	return now.Add(logInterval)
}

// alike says whether two words on shares say about the same.
func alike(one, other coltsfootlink.Shares) bool {
	if len(one.Teams) != len(other.Teams) || !near(one.MaxWaitFraction, other.MaxWaitFraction) {
		return false
	}
	for place, team := range one.Teams {
		before := other.Teams[place]
		if team.Team != before.Team || !near(team.Entitled, before.Entitled) || !near(team.Bearable, before.Bearable) || !near(team.Surplus, before.Surplus) {
			return false
		}
	}
	return true
}

func near(one, other float64) bool {
	return math.Abs(one-other) <= sameWithin*max(one, other)
}
