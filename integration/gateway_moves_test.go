package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/move"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// TestGatewayMoves holds for operators' orders to move a pool to version v2, under load.
func TestGatewayMoves(t *testing.T) {
	const seconds = 6
	nothing := func(*testing.T, *site) {}
	cases := map[string]struct {
		fails   bool
		trouble func(t *testing.T, staged *site)
		state   string
	}{
		"a good version": {false, nothing, platform.CompletedStatus},
		"a bad version":  {true, nothing, platform.RolledBackStatus},
		"a good version, and the coordinator is killed": {false, killCoordinator, platform.CompletedStatus},
		"a bad version, and the store is down for a while": {true, func(t *testing.T, staged *site) {
			setOutage(t, staged.address, standin.Outage{Down: true})
			time.Sleep(time.Second)
			setOutage(t, staged.address, standin.Outage{})
		}, platform.RolledBackStatus},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			staged := startSite(t)
			for index := range 4 {
				staged.add(t, &siteTarget{name: fmt.Sprint("n-", index), zone: zones[index%2], version: "v2", fails: test.fails})
			}
			stop := staged.load("/unsafe/a", 0, 1, 2, 3)
			ordered := time.Now()
			staged.put(t, platform.OperatorTopic, "rollout/p", platform.MoveOrderDocument{Service: "p", Target: "v2", Seconds: seconds})
			time.Sleep(300 * time.Millisecond)
			test.trouble(t, staged)
			eventually(t, "the end is recorded", func() bool { return staged.status() == test.state })
			So(time.Since(ordered), ShouldBeLessThan, seconds*time.Second)
			// What was under way when the end was recorded may have reached a target just after it.
			time.Sleep(100 * time.Millisecond)
			recorded := time.Now()
			time.Sleep(500 * time.Millisecond)
			serving, left := "v2", "v1"
			if test.fails {
				serving, left = left, serving
			}
			So(staged.newestRun(withVersion(left)), ShouldHappenBefore, recorded)
			So(staged.newestRun(withVersion(serving)), ShouldHappenAfter, recorded)
			stop()
			So(staged.status(), ShouldEqual, test.state)
		})
	}
}

// killCoordinator kills the gateway that coordinates the pool's moves.
func killCoordinator(_ *testing.T, staged *site) {
	var view coltsfootlink.View
	for _, gateway := range staged.gateways {
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName(gateway.Peers)}, Live: true})
	}
	coordinator, _ := move.Coordinator("p", view)
	for _, gateway := range staged.gateways {
		if gateway.Peers == string(coordinator) {
			So(gateway.Kill(), ShouldBeNil)
		}
	}
}

// status returns the state of the pool's move on the wire; empty if none is recorded.
func (staged *site) status() string {
	records, _, err := platform.MoveRecords{Store: staged.store}.Moves(context.Background())
	if err != nil {
		return ""
	}
	return map[coltsfootlink.MoveState]string{
		coltsfootlink.MoveRunning:    platform.RunningStatus,
		coltsfootlink.MoveDone:       platform.CompletedStatus,
		coltsfootlink.MoveRolledBack: platform.RolledBackStatus,
	}[records["p"].State]
}
