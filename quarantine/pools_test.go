package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// Guards against each pool spending its own crashes and trials on a part that crashes the targets of all.
func TestPartsThatCrashTargetsOfOnePoolAreHeldBackInOthers(t *testing.T) {
	type event struct {
		pool    coltsfootlink.PoolName
		letters string
		// answered indicates an answer instead of a crash.
		answered bool
	}
	cases := map[string]struct {
		events []event
		// barred are the pools in which prompts with the part d are held back; nothing is known of the pool r.
		barred string
	}{
		"one crash":                               {[]event{{"p", "cd", false}}, ""},
		"two crashes in one pool":                 {[]event{{"p", "cd", false}, {"p", "xd", false}}, "pq"},
		"three crashes in one pool":               {[]event{{"p", "cd", false}, {"p", "xd", false}, {"p", "yd", false}}, "pqr"},
		"a crash in each of two pools":            {[]event{{"p", "cd", false}, {"q", "xd", false}}, "pq"},
		"answered in the other pool, then":        {[]event{{"p", "cd", false}, {"p", "xd", false}, {"q", "d", true}}, "p"},
		"answered in the pool of the crashes":     {[]event{{"p", "cd", false}, {"p", "xd", false}, {"p", "d", true}}, ""},
		"answered in one pool that had a crash":   {[]event{{"p", "cd", false}, {"q", "xd", false}, {"q", "d", true}}, ""},
		"crashes after answers in the other pool": {[]event{{"q", "d", true}, {"p", "cd", false}, {"p", "xd", false}}, "p"},
	}
	for name, test := range cases {
		Convey("crashes in one pool hold prompts back in others until these answer them: "+name, t, func() {
			pools := Pools{}.With("p", knownState()).With("q", knownState())
			for number, happened := range test.events {
				at := 1000 * (number + 1)
				state := pools.State(happened.pool)
				if happened.answered {
					state = state.WithAnswered(start.Add(time.Duration(at)*time.Millisecond), prompt(happened.letters))
				} else {
					crash := crashOf(fmt.Sprint(number), happened.letters, at, at+100)
					crash.Pool = happened.pool
					state = state.WithCrash(crash.CrashedAt, crash)
				}
				pools = pools.With(happened.pool, state)
			}
			barred := ""
			for _, pool := range []coltsfootlink.PoolName{"p", "q", "r"} {
				if len(pools.State(pool).Bars()) > 0 {
					barred += string(pool)
				}
			}
			So(barred, ShouldEqual, test.barred)
		})
	}
}
