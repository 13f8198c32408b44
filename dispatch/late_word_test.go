package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestLateWordsReviveNoMove guards against announcements that revive a move that has ended.
func TestLateWordsReviveNoMove(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 9, State: coltsfootlink.MoveRunning}
	running := coltsfootlink.MoveWord{Move: order, Share: 1}
	rolledBack := coltsfootlink.MoveWord{Move: order.WithState(coltsfootlink.MoveRolledBack, "")}
	recorded := rolledBack
	recorded.Recorded = true
	done := coltsfootlink.MoveWord{Move: order.WithState(coltsfootlink.MoveDone, ""), Share: 1, Recorded: true}
	unrecorded := done
	unrecorded.Recorded = false
	earlier := done
	earlier.Move.Started = 8
	later := running
	later.Move.Started = 10
	cases := map[string]struct {
		words []coltsfootlink.MoveWord
		state coltsfootlink.MoveState
		share float64
	}{
		"running after a recorded rollback":              {[]coltsfootlink.MoveWord{recorded, running}, coltsfootlink.MoveRolledBack, 0},
		"running after a rollback that is not recorded":  {[]coltsfootlink.MoveWord{rolledBack, running}, coltsfootlink.MoveRolledBack, 0},
		"completed after a recorded rollback":            {[]coltsfootlink.MoveWord{recorded, done}, coltsfootlink.MoveRolledBack, 0},
		"not recorded as completed after a rollback":     {[]coltsfootlink.MoveWord{rolledBack, unrecorded}, coltsfootlink.MoveRolledBack, 0},
		"recorded as completed after a rollback":         {[]coltsfootlink.MoveWord{rolledBack, done}, coltsfootlink.MoveDone, 1},
		"rolled back after a recorded completion":        {[]coltsfootlink.MoveWord{done, rolledBack}, coltsfootlink.MoveDone, 1},
		"an earlier order completed, announced late":     {[]coltsfootlink.MoveWord{running, earlier}, coltsfootlink.MoveRunning, 1},
		"a later order that this instance does not know": {[]coltsfootlink.MoveWord{running, later}, coltsfootlink.MoveRunning, 0},
		"rolled back while it runs":                      {[]coltsfootlink.MoveWord{running, rolledBack}, coltsfootlink.MoveRolledBack, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			now := time.Unix(1_800_000_000, 0)
			moves := newMoves()
			for _, word := range test.words {
				moves.ledger = moves.ledger.WithWord(now, word)
			}
			announced := moves.announcement(now, order)
			So(announced.Move.State, ShouldEqual, test.state)
			So(announced.Share, ShouldEqual, test.share)
		})
	}
}
