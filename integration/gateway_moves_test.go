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

// TestGatewayMoves orders a pool to be moved to version v2 under load. The move has to end in the expected state before
// its deadline. From shortly after that end, only one version gets requests: v2 if the move is completed, v1 if it is
// rolled back.
func TestGatewayMoves(t *testing.T) {
	const seconds = 6
	noFault := func(*testing.T, *testbed) {}
	cases := map[string]struct {
		fails bool
		fault func(t *testing.T, bed *testbed)
		state string
	}{
		"the new version works":                                {false, noFault, platform.CompletedStatus},
		"the new version fails":                                {true, noFault, platform.RolledBackStatus},
		"the new version works, and the coordinator is killed": {false, killCoordinator, platform.CompletedStatus},
		"the new version fails, and the store is down for one second": {true, func(t *testing.T, bed *testbed) {
			setOutage(t, bed.storeAddress, standin.Outage{Down: true})
			time.Sleep(time.Second)
			setOutage(t, bed.storeAddress, standin.Outage{})
		}, platform.RolledBackStatus},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			bed := startTestbed(t)
			for index := range 4 {
				bed.add(t, &recordingTarget{name: fmt.Sprint("n-", index), zone: zones[index%2], version: "v2", fails: test.fails})
			}
			stop := bed.load("/unsafe/a", 0, 1, 2, 3)
			orderedAt := time.Now()
			bed.put(t, platform.OperatorTopic, "rollout/p", platform.MoveOrderDocument{Service: "p", Target: "v2", Seconds: seconds})
			time.Sleep(300 * time.Millisecond)
			test.fault(t, bed)
			eventually(t, "the expected end of the move is recorded", func() bool { return bed.status() == test.state })
			So(time.Since(orderedAt), ShouldBeLessThan, seconds*time.Second)
			// A request that was in flight when the end was recorded may have reached its target shortly afterwards.
			time.Sleep(100 * time.Millisecond)
			recordedAt := time.Now()
			time.Sleep(500 * time.Millisecond)
			serving, abandoned := "v2", "v1"
			if test.fails {
				serving, abandoned = abandoned, serving
			}
			So(bed.lastExecution(withVersion(abandoned)), ShouldHappenBefore, recordedAt)
			So(bed.lastExecution(withVersion(serving)), ShouldHappenAfter, recordedAt)
			stop()
			So(bed.status(), ShouldEqual, test.state)
		})
	}
}

// killCoordinator kills the gateway that coordinates the moves of pool p.
func killCoordinator(_ *testing.T, bed *testbed) {
	var view coltsfootlink.View
	for _, gateway := range bed.gateways {
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName(gateway.Peers)}, Live: true})
	}
	coordinator, _ := move.Coordinator("p", view)
	for _, gateway := range bed.gateways {
		if gateway.Peers == string(coordinator) {
			So(gateway.Kill(), ShouldBeNil)
		}
	}
}

// status returns the recorded state of the move of pool p as it stands on the wire; empty if there is none or the
// store does not answer.
func (bed *testbed) status() string {
	records, _, err := platform.MoveRecords{Store: bed.store}.Moves(context.Background())
	if err != nil {
		return ""
	}
	return map[coltsfootlink.MoveState]string{
		coltsfootlink.MoveRunning:    platform.RunningStatus,
		coltsfootlink.MoveDone:       platform.CompletedStatus,
		coltsfootlink.MoveRolledBack: platform.RolledBackStatus,
	}[records["p"].State]
}
