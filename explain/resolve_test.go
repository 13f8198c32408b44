package explain

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestResolve guards against a result that differs from its rows, and against times that mix the clocks of instances.
func TestResolve(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	ahead := now.Add(time.Hour)
	takes := Answer{Target: "t", At: ahead, State: AtWork, Known: true, Slots: 4, Engine: true, Slowdown: 1, ExpectedAnswer: 80 * time.Millisecond}
	full := Answer{Target: "t", At: ahead, Reason: coltsfootlink.TargetFull, RetryAt: ahead.Add(60 * time.Millisecond), State: AtWork}
	plan := Plan{
		At: now, Candidates: []Candidate{{Target: "t", Owner: "o", Wait: -1}}, DefaultRetryAt: now.Add(500 * time.Millisecond),
		Fallback: Refusal{Reason: coltsfootlink.NoTarget, Detail: "no target"},
	}
	refused := plan
	refused.Refusal = &Refusal{Reason: coltsfootlink.PromptBarred, Detail: "barred", RetryAt: now.Add(2 * time.Second)}
	empty := plan
	empty.Candidates = nil
	cases := map[string]struct {
		plan    Plan
		answers []Answer
		verdict Verdict
		text    string
		missing int
	}{
		"takes it":            {plan, []Answer{takes}, Takes, "would go to t", 0},
		"full":                {plan, []Answer{full}, Refuses, "would be refused: target-full, retry in 60ms (target t takes no more)", 0},
		"no answer":           {plan, nil, NoAnswer, "would be refused: owner-silent, retry in 500ms (the owner of the target does not answer)", 1},
		"refused before":      {refused, []Answer{takes}, NotOffered, "would be refused: prompt-barred, retry in 2s (barred)", 0},
		"no target to ask of": {empty, nil, "", "would be refused: no-target (no target)", 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			result := test.plan.Resolve(map[coltsfootlink.TargetName]Answer{})
			if len(test.answers) > 0 {
				result = test.plan.Resolve(map[coltsfootlink.TargetName]Answer{"t": test.answers[0]})
			}
			So(result.Text(), ShouldEqual, test.text)
			So(result.Missing, ShouldHaveLength, test.missing)
			table := result.Table()
			So(table.Rows, ShouldHaveLength, len(test.plan.Candidates))
			for _, cells := range table.Rows {
				So(cells, ShouldHaveLength, len(table.Columns))
				So(cells[table.Column("verdict")], ShouldEqual, string(test.verdict))
			}
		})
	}
}
