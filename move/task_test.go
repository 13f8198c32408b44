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

// recordStore is an in-memory coltsfootlink.MoveRecords with faults to inject.
type recordStore struct {
	mutex sync.Mutex
	known map[coltsfootlink.PoolName]coltsfootlink.MoveRecord
	end   coltsfootlink.Position
	// unreadable is the number of reads that fail from now on, and conflicts the number of writes that fail because
	// another writer comes first.
	unreadable, conflicts int
	// written are the states that were recorded, in the order of the writes.
	written []coltsfootlink.MoveState
}

var errDown = errors.New("down")

// Moves returns all records and the offset of the next one.
func (store *recordStore) Moves(context.Context) (map[coltsfootlink.PoolName]coltsfootlink.MoveRecord, coltsfootlink.Position, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unreadable > 0 {
		store.unreadable--
		return nil, coltsfootlink.Position{}, errDown
	}
	known := make(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord)
	for pool, record := range store.known {
		known[pool] = record
	}
	return known, store.end, nil
}

// Record records a state; it fails if anything was recorded since the offset.
func (store *recordStore) Record(_ context.Context, move coltsfootlink.Move, at coltsfootlink.Position) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.conflicts > 0 {
		store.conflicts--
		store.end = store.end.Next()
	}
	if at != store.end {
		return errors.New("condition failed")
	}
	store.end = store.end.Next()
	store.known[move.Pool] = coltsfootlink.MoveRecord{To: move.To, Started: move.Identity(), State: move.State, Serving: move.Serving, Rejected: move.Rejected}
	store.written = append(store.written, move.State)
	return nil
}

// Era returns the era of the store.
func (store *recordStore) Era() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.end.Era
}

// sender keeps the announcements that a coordinator sends.
type sender struct {
	mutex sync.Mutex
	sent  []coltsfootlink.MoveWord
}

// Send keeps an announcement.
func (sender *sender) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if announcement, is := message.(coltsfootlink.MoveWord); is {
		sender.sent = append(sender.sent, announcement)
	}
}

func (sender *sender) last() (coltsfootlink.MoveWord, bool) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if len(sender.sent) == 0 {
		return coltsfootlink.MoveWord{}, false
	}
	return sender.sent[len(sender.sent)-1], true
}

// TestCoordinatorStart checks that an instance that becomes the coordinator of a move continues it in the state that is
// recorded or was announced before.
func TestCoordinatorStart(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRunning}
	recorded := func(to coltsfootlink.Version, state coltsfootlink.MoveState) map[coltsfootlink.PoolName]coltsfootlink.MoveRecord {
		return map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": {To: to, State: state}}
	}
	cases := map[string]struct {
		store *recordStore
		// announced is the move that another coordinator has announced before.
		announced *coltsfootlink.Move
		state     coltsfootlink.MoveState
		written   []coltsfootlink.MoveState
	}{
		"no move is recorded": {&recordStore{known: recorded("", "")}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"only an earlier move to another version is recorded": {&recordStore{known: recorded("v1", coltsfootlink.MoveDone)}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"done is recorded and was not announced":              {&recordStore{known: recorded("v2", coltsfootlink.MoveDone)}, nil, coltsfootlink.MoveDone, nil},
		"rollback is recorded and was not announced":          {&recordStore{known: recorded("v2", coltsfootlink.MoveRolledBack)}, nil, coltsfootlink.MoveRolledBack, nil},
		"the first two reads of the store fail":               {&recordStore{known: recorded("", ""), unreadable: 2}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"two writes fail because of other writers":            {&recordStore{known: recorded("", ""), conflicts: 2}, nil, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
		"rollback was announced and is not recorded":          {&recordStore{known: recorded("v2", coltsfootlink.MoveRunning)}, &coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRolledBack}, coltsfootlink.MoveRolledBack, []coltsfootlink.MoveState{coltsfootlink.MoveRolledBack}},
		"the announcement was of an older order":              {&recordStore{known: recorded("", "")}, &coltsfootlink.Move{Pool: "p", To: "v2", Started: 6, State: coltsfootlink.MoveRolledBack}, coltsfootlink.MoveRunning, []coltsfootlink.MoveState{coltsfootlink.MoveRunning}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			store, sender := test.store, new(sender)
			task := &Task{Self: "a", Records: store, Clock: coltsfootlink.SystemClock{}, Sender: sender, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ordered := order
			ordered.OrderedAt = time.Now()
			ordered.FinishBy = ordered.OrderedAt.Add(time.Minute)
			if test.announced != nil {
				test.announced.OrderedAt, test.announced.FinishBy = ordered.OrderedAt, ordered.FinishBy
				task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.MoveWord{Move: *test.announced}})
			}
			view := coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}}}
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(ordered)}})
			go func() { _ = task.Run(ctx) }()
			for started := time.Now(); time.Since(started) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
				if announcement, found := sender.last(); found && announcement.Move.State == test.state && len(store.states()) >= len(test.written) {
					break
				}
			}
			announcement, found := sender.last()
			So(found, ShouldBeTrue)
			So(announcement.Move.State, ShouldEqual, test.state)
			So(store.states(), ShouldResemble, test.written)
		})
	}
}

func (store *recordStore) states() []coltsfootlink.MoveState {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.written
}
