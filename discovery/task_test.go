package discovery

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

var start = time.UnixMilli(1_700_000_000_000)

func viewOf(names ...coltsfootlink.InstanceName) coltsfootlink.View {
	var view coltsfootlink.View
	for _, name := range names {
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name}, Live: name != "down"})
	}
	return view
}

// TestSearch checks when an instance looks for others.
func TestSearch(t *testing.T) {
	alone, together := viewOf("i-1", "down"), viewOf("i-1", "i-2", "down")
	cases := map[string]struct {
		views    []coltsfootlink.View
		attempts int
		after    time.Duration
		due      bool
	}{
		"just started":                      {[]coltsfootlink.View{alone}, 0, aloneAfter - 1, false},
		"alone for long enough":             {[]coltsfootlink.View{alone}, 0, aloneAfter, true},
		"with others":                       {[]coltsfootlink.View{together}, 0, time.Hour, false},
		"found others":                      {[]coltsfootlink.View{alone, together}, 0, time.Hour, false},
		"lost the others just now":          {[]coltsfootlink.View{together, alone}, 0, aloneAfter - 1, false},
		"lost the others a while ago":       {[]coltsfootlink.View{together, alone}, 0, aloneAfter, true},
		"another view, still alone":         {[]coltsfootlink.View{alone, alone}, 0, aloneAfter, true},
		"after an attempt":                  {[]coltsfootlink.View{alone}, 1, minInterval - 1, false},
		"after an attempt and its interval": {[]coltsfootlink.View{alone}, 1, minInterval, true},
		"after two attempts, twice as long": {[]coltsfootlink.View{alone}, 2, 2*minInterval - 1, false},
		"after many attempts, the most":     {[]coltsfootlink.View{alone}, 20, maxInterval, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			var search Search
			for _, view := range test.views {
				search = search.WithView(start, "i-1", view)
			}
			for range test.attempts {
				search = search.WithAttempt(start)
			}
			So(search.Due(start.Add(test.after)), ShouldEqual, test.due)
		})
	}
}

// sharedDirectory is a directory that fails as often as it is told.
type sharedDirectory struct {
	mutex     sync.Mutex
	failures  int
	instances []coltsfootlink.Instance
}

func (directory *sharedDirectory) Announce(_ context.Context, instance coltsfootlink.Instance, _ time.Time) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.failures > 0 {
		directory.failures--
		return errors.New("the store is down")
	}
	directory.instances = append(directory.instances, instance)
	return nil
}

func (directory *sharedDirectory) Announced(context.Context, time.Time) ([]coltsfootlink.Instance, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return append([]coltsfootlink.Instance(nil), directory.instances...), nil
}

// TestInstancesWithoutSeedsFindEachOther guards against instances that start while all seeds are down, and each act as the owner of all
// targets.
func TestInstancesWithoutSeedsFindEachOther(t *testing.T) {
	cases := map[string]struct{ failures int }{
		"the store works":     {0},
		"it is away at first": {2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			directory := &sharedDirectory{failures: test.failures}
			var inboxes []*mailbox.Deliveries
			for _, name := range []coltsfootlink.InstanceName{"i-1", "i-2"} {
				task := &Task{Self: coltsfootlink.Instance{Name: name}, Directory: directory, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries(), Membership: mailbox.NewDeliveries()}
				inboxes = append(inboxes, task.Membership)
				go func() { _ = task.Run(t.Context()) }()
			}
			for index, other := range []coltsfootlink.InstanceName{"i-2", "i-1"} {
				select {
				case <-inboxes[index].Ready():
				case <-time.After(5 * time.Second):
				}
				found := inboxes[index].Drain()
				So(found, ShouldNotBeEmpty)
				So(found[0].Message.(coltsfootlink.SeedsChanged).Seeds[0].Name, ShouldEqual, other)
			}
		})
	}
}
