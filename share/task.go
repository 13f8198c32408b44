package share

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

// interval is the time between two looks at the shares.
const interval = 250 * time.Millisecond

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
	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
}

// Keeper returns the instance that keeps the shares of a pool.
func Keeper(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return ownership.Keeper("shares "+string(pool), view)
}

// Run keeps shares until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.ledgers = make(map[coltsfootlink.PoolName]Ledger)
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
	}
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

// tell tells all instances of the shares of the pools that this one keeps.
func (task *Task) tell() {
	now := task.Clock.Now()
	for pool, ledger := range task.ledgers {
		keeper, found := Keeper(pool, task.view)
		if !found || keeper != task.Self {
			delete(task.ledgers, pool)
			continue
		}
		ledger = ledger.WithTime(now)
		task.ledgers[pool] = ledger
		promised := task.catalog.Table.TokensPerSecond
		if promised <= 0 {
			continue
		}
		shares := ledger.Shares(pool, promised, promised*task.BearableFactor)
		for _, member := range task.view.Live() {
			task.Sender.Send(member.Name, shares)
		}
		for _, team := range shares.Teams {
			task.Log.Debug().Str("pool", string(pool)).Str("team", string(team.Team)).Float64("entitled", team.Entitled).
				Float64("bearable", team.Bearable).Float64("patience", shares.Patience).Msg("share: team asks for more than its share")
		}
	}
}
