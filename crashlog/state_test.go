package crashlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

func record(request string) coltsfootlink.CrashRecord {
	return coltsfootlink.CrashRecord{Kind: coltsfootlink.PromptCrashes, Prompt: coltsfootlink.PromptCrash{Request: coltsfootlink.RequestID(request)}}
}

// held holds crashes; the first one was seen by the instance itself.
func held(requests ...string) coltsfootlink.CrashesHeld {
	message := coltsfootlink.CrashesHeld{Kind: coltsfootlink.PromptCrashes, Records: make(map[string]coltsfootlink.CrashRecord), Own: make(map[string]bool)}
	for index, request := range requests {
		key := record(request).Key()
		message.Records[key], message.Own[key] = record(request), index == 0
	}
	return message
}

// TestChanges checks what an instance writes and removes.
func TestChanges(t *testing.T) {
	type list = []coltsfootlink.CrashRecord
	one, two := record("1"), record("2")
	cases := map[string]struct {
		state State
		// own and all are the requests of the records that the instance writes itself, and if it is the responsible one.
		own, all list
		removed  []string
	}{
		"nothing":                                 {State{}, nil, nil, nil},
		"two crashes, one seen here":              {State{}.WithHeld(held("1", "2")), list{one}, list{one, two}, nil},
		"recorded":                                {State{}.WithHeld(held("1", "2")).WithWritten(list{one, two}, nil), nil, nil, nil},
		"recorded by another":                     {State{}.WithHeld(held("1", "2")).WithRead(list{two}), list{one}, list{one}, nil},
		"lost in a restore":                       {State{}.WithHeld(held("1")).WithWritten(list{one}, nil).WithRestored(), list{one}, list{one}, nil},
		"void":                                    {State{}.WithHeld(held()).WithVoid([]string{one.Key()}), nil, nil, []string{one.Key()}},
		"void, but held again":                    {State{}.WithVoid([]string{one.Key()}).WithHeld(held("1")), list{one}, list{one}, nil},
		"void, removed":                           {State{}.WithVoid([]string{one.Key()}).WithWritten(nil, []string{one.Key()}), nil, nil, nil},
		"not held, read once: may be heard of":    {State{}.WithRead(list{two}), nil, nil, nil},
		"not held, read twice":                    {State{}.WithRead(list{two}).WithRead(list{two}), nil, nil, []string{two.Key()}},
		"not held at first":                       {State{}.WithRead(list{one}).WithHeld(held("1")).WithRead(list{one}), nil, nil, nil},
		"not held, read again after a restore":    {State{}.WithRead(list{two}).WithRestored().WithRead(list{two}), nil, nil, nil},
		"not held, read, gone and read once more": {State{}.WithRead(list{two}).WithRead(nil).WithRead(list{two}), nil, nil, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			own, removed := test.state.Changes(false)
			So(own, ShouldResemble, test.own)
			So(slices.Equal(removed, test.removed), ShouldBeTrue)
			all, _ := test.state.Changes(true)
			slices.SortFunc(all, func(left, right coltsfootlink.CrashRecord) int {
				return int(left.Prompt.Request[0]) - int(right.Prompt.Request[0])
			})
			So(all, ShouldResemble, test.all)
		})
	}
	Convey("the changes of one call are bounded", t, func() {
		many := coltsfootlink.CrashesHeld{Records: make(map[string]coltsfootlink.CrashRecord)}
		for number := range 3 * maxChanges {
			many.Records[record(string(rune(number))).Key()] = record(string(rune(number)))
		}
		records, removed := State{}.WithHeld(many).WithVoid(slices.Collect(maps.Keys(held("x", "y").Records))).Changes(true)
		So(records, ShouldHaveLength, maxChanges)
		So(removed, ShouldHaveLength, 2)
	})
}

// TestRetryDelay guards against records that are read long after the store is back.
func TestRetryDelay(t *testing.T) {
	cases := map[string]struct {
		wanted   bool
		failures int
		delay    time.Duration
	}{
		"first":                           {false, 0, minRetryDelay},
		"third":                           {false, 2, 4 * minRetryDelay},
		"after a long outage":             {false, 1000, maxRetryDelay},
		"after a long outage, waited for": {true, 1000, maxReadRetryDelay},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(retryDelay(test.wanted, test.failures), ShouldEqual, test.delay) })
	}
}

// faultyStore is a store whose calls fail as often as it is told; the records it has are by key.
type faultyStore struct {
	mutex    sync.Mutex
	failures int
	era      uint64
	records  map[string]coltsfootlink.CrashRecord
}

func (store *faultyStore) fail() error {
	if store.failures > 0 {
		store.failures--
		return errors.New("the store is down")
	}
	return nil
}

func (store *faultyStore) Read(context.Context) ([]coltsfootlink.CrashRecord, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Collect(maps.Values(store.records)), store.fail()
}

func (store *faultyStore) Write(_ context.Context, records []coltsfootlink.CrashRecord, removed []string) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if err := store.fail(); err != nil {
		return err
	}
	for _, record := range records {
		store.records[record.Key()] = record
	}
	for _, key := range removed {
		delete(store.records, key)
	}
	return nil
}

func (store *faultyStore) Era() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// restore empties the store.
func (store *faultyStore) restore() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	clear(store.records)
}

func (store *faultyStore) count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.records)
}

// TestRecordsAreWrittenInTheEnd guards against crashes that are lost because the store was away when they happened, or was restored.
func TestRecordsAreWrittenInTheEnd(t *testing.T) {
	cases := map[string]struct {
		failures int
		restored bool
	}{
		"the store works":                 {0, false},
		"it is away for a moment":         {2, false},
		"it is restored to an older copy": {0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			store := &faultyStore{failures: test.failures, records: make(map[string]coltsfootlink.CrashRecord)}
			subscriber := mailbox.NewDeliveries()
			task := &Task{Store: store, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries(), Subscribers: []*mailbox.Deliveries{subscriber}}
			go func() { _ = task.Run(t.Context()) }()
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesWanted{}})
			task.Inbox.Put(coltsfootlink.Delivery{Message: held("1", "2")})
			await := func(count int) bool {
				for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
					if store.count() == count {
						return true
					}
				}
				return false
			}
			So(await(1), ShouldBeTrue)
			So(subscriber.Drain(), ShouldHaveLength, 1)
			if test.restored {
				store.restore()
				So(await(1), ShouldBeTrue)
			}
			task.Inbox.Put(coltsfootlink.Delivery{Message: held()})
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesVoid{Keys: []string{record("1").Key()}}})
			So(await(0), ShouldBeTrue)
		})
	}
}
