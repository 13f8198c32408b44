package move

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// manualClock is a clock that a test sets.
type manualClock struct {
	mutex sync.Mutex
	now   time.Time
}

// Now returns the time that was set last.
func (clock *manualClock) Now() time.Time {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.now
}

func (clock *manualClock) advance(duration time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.now = clock.now.Add(duration)
}

// replace records a state as another coordinator.
func (store *recordStore) replace(record coltsfootlink.MoveRecord) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.known["p"] = record
	store.end = store.end.Next()
}

// setUnreadable makes the next reads fail.
func (store *recordStore) setUnreadable(count int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.unreadable = count
}

// recordedState returns the state that is recorded now.
func (store *recordStore) recordedState() coltsfootlink.MoveState {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.known["p"].State
}

// takeSent returns the announcements since the last call.
func (sender *sender) takeSent() []coltsfootlink.MoveWord {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sent := sender.sent
	sender.sent = nil
	return sent
}

// staleFixture is the coordinator of a move that has recorded that the move runs.
type staleFixture struct {
	task   *Task
	store  *recordStore
	sender *sender
	clock  *manualClock
	order  coltsfootlink.Move
}

// newStaleFixture runs a coordinator until it has recorded the move, and tells it how 40 requests on the new version ended.
func newStaleFixture(ctx context.Context, failed bool) *staleFixture {
	clock := &manualClock{now: time.Now()}
	fixture := &staleFixture{
		store: &recordStore{known: make(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord)}, sender: new(sender), clock: clock,
		order: coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRunning, OrderedAt: clock.now, FinishBy: clock.now.Add(5 * time.Second)},
	}
	fixture.task = &Task{Self: "a", Records: fixture.store, Clock: clock, Sender: fixture.sender, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
	fixture.tell("", coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}}}})
	fixture.tell("", coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(fixture.order)})
	go func() { _ = fixture.task.Run(ctx) }()
	fixture.await(func() bool {
		_, announced := fixture.sender.last()
		return announced && fixture.store.recordedState() == coltsfootlink.MoveRunning
	})
	usages := coltsfootlink.MoveUsages{Pool: "p", Started: 7}
	for range 40 {
		usages.Usages = append(usages.Usages, coltsfootlink.MoveUsage{Route: "r", Millis: 20}, coltsfootlink.MoveUsage{OnNewVersion: true, Route: "r", Failed: failed, Millis: 20})
	}
	if !failed {
		fixture.tell("b", usages)
		time.Sleep(20 * time.Millisecond)
		return fixture
	}
	// The fault is found only after the outcome has been recorded by another coordinator.
	fixture.store.replace(coltsfootlink.MoveRecord{To: "v2", State: coltsfootlink.MoveDone})
	fixture.tell("b", usages)
	return fixture
}

func (fixture *staleFixture) tell(from coltsfootlink.InstanceName, message coltsfootlink.Message) {
	fixture.task.Inbox.Put(coltsfootlink.Delivery{From: from, Message: message})
}

// await waits until a condition holds, for some seconds at most.
func (fixture *staleFixture) await(holds func() bool) {
	for started := time.Now(); time.Since(started) < 5*time.Second && !holds(); time.Sleep(5 * time.Millisecond) {
	}
}

// TestStaleCoordinatorKeepsTheRecordedOutcome guards against a coordinator that replaces the outcome that its successor has
// recorded.
func TestStaleCoordinatorKeepsTheRecordedOutcome(t *testing.T) {
	cases := map[string]struct {
		// recorded is what the successor records, and stall how long the coordinator stands still meanwhile.
		recorded coltsfootlink.MoveState
		stall    time.Duration
		// failed indicates that the coordinator finds a fault in the new version, after the successor found none.
		failed bool
	}{
		"rolled back during a stall":                                   {coltsfootlink.MoveRolledBack, 6 * time.Second, false},
		"rolled back during a short stall":                             {coltsfootlink.MoveRolledBack, 600 * time.Millisecond, false},
		"completed during a stall in which the version has turned bad": {coltsfootlink.MoveDone, 6 * time.Second, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fixture := newStaleFixture(ctx, test.failed)
			fixture.store.replace(coltsfootlink.MoveRecord{To: "v2", State: test.recorded})
			fixture.clock.advance(test.stall)
			fixture.await(func() bool {
				word, _ := fixture.sender.last()
				fixture.clock.advance(10 * time.Millisecond)
				return word.Move.State == test.recorded
			})
			time.Sleep(2 * announceInterval)
			word, _ := fixture.sender.last()
			So(word.Move.State, ShouldEqual, test.recorded)
			So(fixture.store.recordedState(), ShouldEqual, test.recorded)
		})
	}
}

// TestStalledCoordinatorAnnouncesNothingUntilItHasReadTheRecord guards against announcements of what was true before a stall.
func TestStalledCoordinatorAnnouncesNothingUntilItHasReadTheRecord(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fixture := newStaleFixture(ctx, false)
	fixture.store.replace(coltsfootlink.MoveRecord{To: "v2", State: coltsfootlink.MoveRolledBack})
	fixture.store.setUnreadable(1000)
	fixture.clock.advance(4 * time.Second)
	time.Sleep(2 * announceInterval)
	fixture.sender.takeSent()
	fixture.clock.advance(500 * time.Millisecond)
	time.Sleep(2 * announceInterval)
	if sent := fixture.sender.takeSent(); len(sent) > 0 {
		t.Fatalf("announced %+v before the recorded state was read", sent[0])
	}
	fixture.store.setUnreadable(0)
	fixture.clock.advance(500 * time.Millisecond)
	fixture.await(func() bool { _, found := fixture.sender.last(); return found })
	if word, _ := fixture.sender.last(); word.Move.State != coltsfootlink.MoveRolledBack || !word.Recorded {
		t.Fatalf("announced %+v, expected the recorded rollback", word)
	}
}

// TestOutcomesAnnouncedByAnotherCoordinator guards against a coordinator that goes on with a move that another one has ended.
func TestOutcomesAnnouncedByAnotherCoordinator(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fixture := newStaleFixture(ctx, false)
	fixture.tell("b", coltsfootlink.MoveWord{Move: fixture.order.WithState(coltsfootlink.MoveRolledBack, "requests fail")})
	fixture.await(func() bool { return fixture.store.recordedState() == coltsfootlink.MoveRolledBack })
	time.Sleep(2 * announceInterval)
	word, _ := fixture.sender.last()
	if fixture.store.recordedState() != coltsfootlink.MoveRolledBack || word.Move.State != coltsfootlink.MoveRolledBack {
		t.Fatalf("recorded %q and announced %+v, expected a rollback", fixture.store.recordedState(), word)
	}
}

// TestRecordsOfOtherOrders checks what a coordinator makes of the record of another order of the same pool and version.
func TestRecordsOfOtherOrders(t *testing.T) {
	cases := map[string]struct {
		recorded coltsfootlink.MoveRecord
		state    coltsfootlink.MoveState
		fails    bool
		// rejected are the versions that get no requests while the move runs.
		rejected []coltsfootlink.Version
	}{
		"an earlier order to the same version was rolled back": {coltsfootlink.MoveRecord{To: "v2", Started: 6, State: coltsfootlink.MoveRolledBack}, coltsfootlink.MoveRunning, false, nil},
		"an earlier order to another version runs":             {coltsfootlink.MoveRecord{To: "v1", Started: 6, State: coltsfootlink.MoveRunning}, coltsfootlink.MoveRunning, false, []coltsfootlink.Version{"v1"}},
		"an earlier order to another version was completed":    {coltsfootlink.MoveRecord{To: "v1", Started: 6, State: coltsfootlink.MoveDone}, coltsfootlink.MoveRunning, false, nil},
		"two versions before were rolled back":                 {coltsfootlink.MoveRecord{To: "v1", Started: 6, State: coltsfootlink.MoveRolledBack, Rejected: []coltsfootlink.Version{"v0", "v2"}}, coltsfootlink.MoveRunning, false, []coltsfootlink.Version{"v0", "v1"}},
		"this order runs beside a rejected version":            {coltsfootlink.MoveRecord{To: "v2", Started: 7, State: coltsfootlink.MoveRunning, Rejected: []coltsfootlink.Version{"v0"}}, coltsfootlink.MoveRunning, false, []coltsfootlink.Version{"v0"}},
		"a later order runs":                                   {coltsfootlink.MoveRecord{To: "v3", Started: 8, State: coltsfootlink.MoveRunning}, "", true, nil},
		"this order was completed":                             {coltsfootlink.MoveRecord{To: "v2", Started: 7, State: coltsfootlink.MoveDone}, coltsfootlink.MoveDone, false, nil},
		"an older build completed the move":                    {coltsfootlink.MoveRecord{To: "v2", State: coltsfootlink.MoveDone}, coltsfootlink.MoveDone, false, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			store := &recordStore{known: map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": test.recorded}}
			task := &Task{Records: store, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
			task.record(t.Context(), recordAttempt{move: coltsfootlink.Move{Pool: "p", To: "v2", Started: 7, State: coltsfootlink.MoveRunning}, attempt: 1})
			result := task.Inbox.Drain()[0].Message.(recordResult)
			So(result.state, ShouldEqual, test.state)
			So(result.err != nil, ShouldEqual, test.fails)
			if !test.fails {
				So(result.move.Rejected, ShouldResemble, test.rejected)
			} else {
				So(store.known["p"], ShouldResemble, test.recorded)
			}
		})
	}
}
