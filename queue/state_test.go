package queue

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var start = time.Unix(1_000_000, 0)

func request(id string, class coltsfootlink.Class, arrived time.Duration) Waiting {
	return Waiting{
		ID: coltsfootlink.RequestID(id), Team: "team", Pool: "pool", Class: class,
		Arrived: start.Add(arrived), Deadline: start.Add(time.Minute),
	}
}

func permitFor(team coltsfootlink.TeamName) coltsfootlink.Permit {
	return coltsfootlink.Permit{Shard: coltsfootlink.Shard{Pool: "pool"}, Team: team, StartBy: start.Add(time.Minute)}
}

func TestServiceOrder(t *testing.T) {
	cases := map[string]struct {
		requests []Waiting
		order    []string
	}{
		"older before newer":                      {[]Waiting{request("young", coltsfootlink.Bulk, 2), request("old", coltsfootlink.Bulk, 1)}, []string{"old", "young"}},
		"interactive before bulk":                 {[]Waiting{request("bulk", coltsfootlink.Bulk, 1), request("quick", coltsfootlink.Interactive, 2)}, []string{"quick", "bulk"}},
		"a retry is ordered by its first arrival": {[]Waiting{request("later", coltsfootlink.Bulk, 5), request("retry", coltsfootlink.Bulk, 0)}, []string{"retry", "later"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState()
			for _, waiting := range test.requests {
				var refusal *coltsfootlink.Refusal
				state, refusal = state.WithRequest(start, waiting, 10)
				So(refusal, ShouldBeNil)
			}
			for _, id := range test.order {
				next, waiting, found := state.WithPermit(start, permitFor("team"))
				So(found, ShouldBeTrue)
				So(waiting.ID, ShouldEqual, coltsfootlink.RequestID(id))
				state = next
			}
			So(state.Len(), ShouldEqual, 0)
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		now    time.Time
		limit  int
		reason coltsfootlink.Reason
	}{
		"the team's queue is full": {start, 0, coltsfootlink.QueueFull},
		"the deadline has passed":  {start.Add(time.Hour), 10, coltsfootlink.PastDeadline},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, refusal := NewState().WithRequest(test.now, request("one", coltsfootlink.Bulk, 0), test.limit)
			So(refusal.Reason, ShouldEqual, test.reason)
			So(refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
			So(state.Len(), ShouldEqual, 0)
		})
	}
}

func TestUnusablePermits(t *testing.T) {
	cases := map[string]struct {
		now  time.Time
		team coltsfootlink.TeamName
	}{
		"the team has no waiting request": {start, "other"},
		"the permit has expired":          {start.Add(time.Hour), "team"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, _ := NewState().WithRequest(start, request("one", coltsfootlink.Bulk, 0), 10)
			next, _, found := state.WithPermit(test.now, permitFor(test.team))
			So(found, ShouldBeFalse)
			So(next.Len(), ShouldEqual, 1)
		})
	}
}

func TestExpiry(t *testing.T) {
	Convey("requests leave their queue at their deadline and not before", t, func() {
		state, _ := NewState().WithRequest(start, request("one", coltsfootlink.Bulk, 0), 10)
		state, expired := state.WithoutExpired(start.Add(59 * time.Second))
		So(expired, ShouldBeEmpty)
		state, expired = state.WithoutExpired(start.Add(time.Minute))
		So(expired, ShouldHaveLength, 1)
		So(state.Demand("pool"), ShouldBeEmpty)
	})
}

func TestReportedDemand(t *testing.T) {
	cases := map[string]struct {
		reported int
		granted  int
		waiting  int
		report   bool
	}{
		"first demand":                           {0, 0, 1, true},
		"no change":                              {4, 0, 4, false},
		"more, within the factor":                {4, 0, 6, false},
		"more than twice as much":                {4, 0, 9, true},
		"less than half as much":                 {9, 0, 4, true},
		"no demand left":                         {4, 0, 0, true},
		"all granted":                            {1, 1, 0, false},
		"all granted, but a new request arrived": {1, 1, 1, true},
		"more granted than requested":            {1, 2, 0, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			reported := NewReportedDemand("owner", 1)
			if test.reported > 0 {
				reported, _ = reported.WithDemand("team", test.reported)
			}
			for range test.granted {
				reported = reported.WithGrant("team")
			}
			_, report := reported.WithDemand("team", test.waiting)
			So(report, ShouldEqual, test.report)
		})
	}
}

func TestPermitSet(t *testing.T) {
	shard := coltsfootlink.Shard{Pool: "pool", Zone: "a"}
	permit := func(epoch coltsfootlink.Epoch, serial uint64) coltsfootlink.Permit {
		return coltsfootlink.Permit{ID: coltsfootlink.PermitID{Epoch: epoch, Serial: serial}, Shard: shard}
	}
	Convey("a takeover with an older epoch is ignored, and permits of that epoch are not current", t, func() {
		set := NewPermitSet().WithOwner(coltsfootlink.Takeover{Shard: shard, Epoch: 2, Owner: "new"})
		set = set.WithOwner(coltsfootlink.Takeover{Shard: shard, Epoch: 1, Owner: "old"})
		So(set.Owner(shard).Owner, ShouldEqual, coltsfootlink.InstanceName("new"))
		_, current := set.WithSeen(permit(1, 1))
		So(current, ShouldBeFalse)
	})
	Convey("holdings list the permits of all epochs and the highest serial of the newest", t, func() {
		set := NewPermitSet().WithPermit(permit(1, 7)).WithOwner(coltsfootlink.Takeover{Shard: shard, Epoch: 2, Owner: "new"})
		set, _ = set.WithSeen(permit(2, 3))
		holdings := set.WithPermit(permit(2, 3)).Holdings(shard)
		So(holdings.Epoch, ShouldEqual, coltsfootlink.Epoch(2))
		So(holdings.LastSerial, ShouldEqual, uint64(3))
		So(holdings.Permits, ShouldHaveLength, 2)
	})
}

func TestServed(t *testing.T) {
	Convey("answers are summed since a time, and removed after the retention period", t, func() {
		served := NewServed().WithAnswer(start, "pool", "team", 5).WithAnswer(start.Add(time.Minute), "pool", "team", 7)
		So(served.Table(time.Time{}).Rows, ShouldResemble, [][]string{{"pool", "team", "2", "12"}})
		So(served.Table(start.Add(30*time.Second)).Rows, ShouldResemble, [][]string{{"pool", "team", "1", "7"}})
		So(served.WithoutOld(start.Add(2*time.Hour)).Table(time.Time{}).Rows, ShouldBeEmpty)
	})
}
