package move

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// records is a store of moves' states that fails as often as it is told.
type records struct {
	mutex sync.Mutex
	known map[coltsfootlink.PoolName]coltsfootlink.MoveRecord
	end   uint64
	// unreadable and conflicts are the numbers of calls that fail, and of others that record first.
	unreadable, conflicts int
	// written are the states that were recorded, in order.
	written []coltsfootlink.MoveState
}

var errDown = errors.New("down")

// Moves returns what is recorded.
func (records *records) Moves(context.Context) (map[coltsfootlink.PoolName]coltsfootlink.MoveRecord, uint64, error) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	if records.unreadable > 0 {
		records.unreadable--
		return nil, 0, errDown
	}
	known := make(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord)
	for pool, record := range records.known {
		known[pool] = record
	}
	return known, records.end, nil
}

// Record records a state if nothing was recorded since the offset.
func (records *records) Record(_ context.Context, move coltsfootlink.Move, at uint64) error {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	if records.conflicts > 0 {
		records.conflicts--
		records.end++
	}
	if at != records.end {
		return errors.New("condition failed")
	}
	records.end++
	records.known[move.Pool] = coltsfootlink.MoveRecord{To: move.To, State: move.State}
	records.written = append(records.written, move.State)
	return nil
}

// words keeps what a coordinator says.
type words struct {
	mutex sync.Mutex
	said  []coltsfootlink.MoveWord
}

// Send keeps a word.
func (words *words) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if word, is := message.(coltsfootlink.MoveWord); is {
		words.said = append(words.said, word)
	}
}

func (words *words) last() (coltsfootlink.MoveWord, bool) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if len(words.said) == 0 {
		return coltsfootlink.MoveWord{}, false
	}
	return words.said[len(words.said)-1], true
}

// TestCoordinator holds for an instance that begins to coordinate a move.
func TestCoordinator(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRunning}
	recorded := func(to coltsfootlink.Version, state coltsfootlink.MoveState) map[coltsfootlink.PoolName]coltsfootlink.MoveRecord {
		return map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": {To: to, State: state}}
	}
	cases := map[string]struct {
		store *records
		// said is what another coordinator has said before.
		said    *coltsfootlink.Move
		state   coltsfootlink.MoveState
		written []coltsfootlink.MoveState
	}{
		"nothing is recorded":                 {&records{known: recorded("", "")}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"an earlier move to another version":  {&records{known: recorded("v1", coltsfootlink.MoveDone)}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"all forgot that it was done":         {&records{known: recorded("v2", coltsfootlink.MoveDone)}, nil, coltsfootlink.MoveDone, nil},
		"all forgot that it was taken back":   {&records{known: recorded("v2", coltsfootlink.MoveRolledBack)}, nil, coltsfootlink.MoveRolledBack, nil},
		"the store is down at first":          {&records{known: recorded("", ""), unreadable: 2}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"others write at the same time":       {&records{known: recorded("", ""), conflicts: 2}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"it was taken back, and not recorded": {&records{known: recorded("v2", coltsfootlink.MoveRunning)}, &coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRolledBack}, coltsfootlink.MoveRolledBack, []coltsfootlink.MoveState{coltsfootlink.MoveRolledBack}},
		"what was said of an older order":     {&records{known: recorded("", "")}, &coltsfootlink.Move{Pool: "p", To: "v2", Started: 6, State: coltsfootlink.MoveRolledBack}, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			store, said := test.store, new(words)
			task := &Task{Self: "a", Records: store, Clock: coltsfootlink.SystemClock{}, Sender: said, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ordered := order
			ordered.OrderedAt = time.Now()
			ordered.FinishBy = ordered.OrderedAt.Add(time.Minute)
			if test.said != nil {
				test.said.OrderedAt, test.said.FinishBy = ordered.OrderedAt, ordered.FinishBy
				task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.MoveWord{Move: *test.said}})
			}
			view := coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}}}
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(ordered)}})
			go func() { _ = task.Run(ctx) }()
			for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
				if word, spoke := said.last(); spoke && word.Move.State == test.state && len(store.states()) >= len(test.written) {
					break
				}
			}
			word, spoke := said.last()
			So(spoke, ShouldBeTrue)
			So(word.Move.State, ShouldEqual, test.state)
			So(store.states(), ShouldResemble, test.written)
		})
	}
}

func (records *records) states() []coltsfootlink.MoveState {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	return records.written
}
