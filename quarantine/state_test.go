package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

var start = time.UnixMilli(1_700_000_000_000)

// prompt returns the identifiers of parts that are named by one letter each.
func prompt(letters string) []coltsfootlink.PartID {
	parts := make([]coltsfootlink.PartID, 0, len(letters))
	for _, letter := range letters {
		parts = append(parts, coltsfootlink.PartID(letter))
	}
	return parts
}

// crashOf returns a crash under a request whose shared parts are the letters; times are milliseconds after the start.
func crashOf(request, letters string, sent, crashed int) coltsfootlink.PromptCrash {
	crash := coltsfootlink.PromptCrash{
		Pool: "p", Request: coltsfootlink.RequestID(request), Target: coltsfootlink.TargetName(fmt.Sprint("t-", request, crashed)),
		SentAt: start.Add(time.Duration(sent) * time.Millisecond), CrashedAt: start.Add(time.Duration(crashed) * time.Millisecond),
	}
	for _, part := range prompt(letters) {
		crash.Suspects = append(crash.Suspects, coltsfootlink.Suspect{Part: part})
	}
	return crash
}

// unbegun returns what crashOf does, of a crash before a byte of the answer.
func unbegun(request, letters string, sent, crashed int) coltsfootlink.PromptCrash {
	return crashOf(request, letters, sent, crashed).WithUnbegun(true)
}

// knownState returns the state of an instance that has seen answers of other prompts.
func knownState() State {
	return NewState().WithAnswered(start.Add(-time.Minute), prompt("STUVWXYZ")[:minAnswered])
}

// answer is an answer to a request with the letters as shared parts; at is in milliseconds after the start.
type answer struct {
	letters string
	at      int
}

func TestBars(t *testing.T) {
	cases := map[string]struct {
		before  []answer
		crashes []coltsfootlink.PromptCrash
		after   []answer
		at      time.Duration
		// bars are the parts of each bar.
		bars []string
		// unknown indicates that no answers of other prompts were seen before.
		unknown bool
	}{
		"one crash":                                     {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100)}, nil, 0, nil, false},
		"two crashes one after the other":               {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "ed", 100, 200)}, nil, 0, []string{"d"}, false},
		"two crashes at once":                           {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "ed", 50, 101)}, nil, 0, nil, false},
		"one request that crashes two targets":          {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("1", "cd", 101, 200)}, nil, 0, nil, false},
		"parts that only come together":                 {nil, []coltsfootlink.PromptCrash{crashOf("1", "cde", 0, 100), crashOf("2", "xde", 100, 200)}, nil, 0, []string{"de"}, false},
		"one of two parts that come together sound":     {nil, []coltsfootlink.PromptCrash{crashOf("1", "de", 0, 100), crashOf("2", "de", 100, 200)}, []answer{{"e", 250}}, 0, []string{"d"}, false},
		"a popular part answered in between":            {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "cd", 150, 250)}, []answer{{"c", 120}}, 0, []string{"d"}, false},
		"all parts answered since":                      {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "cd", 150, 250)}, []answer{{"cd", 300}}, 0, nil, false},
		"a part that was answered before, two":          {[]answer{{"d", 0}}, []coltsfootlink.PromptCrash{crashOf("1", "d", 0, 100), crashOf("2", "d", 150, 250)}, nil, 0, nil, false},
		"a part that was answered before, three":        {[]answer{{"d", 0}}, []coltsfootlink.PromptCrash{crashOf("1", "d", 0, 100), crashOf("2", "d", 150, 250), crashOf("3", "d", 250, 300)}, nil, 0, []string{"d"}, false},
		"a popular part beside it, not answered yet":    {[]answer{{"c", 90}}, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "cd", 150, 250), crashOf("3", "ce", 250, 300)}, nil, 0, []string{"cd"}, false},
		"two parts at once":                             {[]answer{{"c", 90}}, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "ce", 0, 110), crashOf("3", "cd", 150, 250), crashOf("4", "ce", 150, 260)}, []answer{{"c", 130}, {"c", 270}}, 0, []string{"d", "e"}, false},
		"the same session in two of three crashes":      {nil, []coltsfootlink.PromptCrash{crashOf("1", "dx", 0, 100), crashOf("2", "dx", 100, 200), crashOf("3", "dy", 200, 300)}, nil, 0, []string{"d"}, false},
		"two crashes, and nothing is known of others":   {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "ed", 100, 200)}, nil, 0, nil, true},
		"three crashes, and nothing is known of others": {nil, []coltsfootlink.PromptCrash{crashOf("1", "cd", 0, 100), crashOf("2", "ed", 100, 200), crashOf("3", "fd", 200, 300)}, nil, 0, []string{"d"}, true},
		"two before a byte of the answer":               {nil, []coltsfootlink.PromptCrash{unbegun("1", "cd", 0, 100), unbegun("2", "ed", 100, 200)}, nil, 0, nil, false},
		"three before a byte of the answer":             {nil, []coltsfootlink.PromptCrash{unbegun("1", "cd", 0, 100), unbegun("2", "ed", 100, 200), unbegun("3", "fd", 200, 300)}, nil, 0, []string{"d"}, false},
		"one of two before a byte of the answer":        {nil, []coltsfootlink.PromptCrash{unbegun("1", "cd", 0, 100), crashOf("2", "ed", 100, 200)}, nil, 0, []string{"d"}, false},
		"three before a byte, a part that was answered": {[]answer{{"d", 0}}, []coltsfootlink.PromptCrash{unbegun("1", "d", 0, 100), unbegun("2", "d", 150, 250), unbegun("3", "d", 250, 300)}, nil, 0, nil, false},
		"four before a byte, a part that was answered":  {[]answer{{"d", 0}}, []coltsfootlink.PromptCrash{unbegun("1", "d", 0, 100), unbegun("2", "d", 150, 250), unbegun("3", "d", 250, 300), unbegun("4", "d", 300, 400)}, nil, 0, []string{"d"}, false},
		"before a byte, many requests of one crash":     {nil, []coltsfootlink.PromptCrash{unbegun("1", "cd", 0, 100), unbegun("2", "cd", 1, 101), unbegun("3", "cd", 2, 100)}, nil, 0, nil, false},
		"long ago": {nil, []coltsfootlink.PromptCrash{crashOf("1", "d", 0, 100), crashOf("2", "d", 100, 200)}, nil, 2 * time.Hour, nil, false},
	}
	for name, test := range cases {
		Convey("prompts are held back by what crashes have in common: "+name, t, func() {
			state := knownState()
			if test.unknown {
				state = NewState()
			}
			for _, known := range test.before {
				state = state.WithAnswered(start.Add(time.Duration(known.at)*time.Millisecond), prompt(known.letters))
			}
			for _, crash := range test.crashes {
				state = state.WithCrash(start.Add(time.Second), crash).WithCrash(start.Add(time.Second), crash)
			}
			for _, known := range test.after {
				state = state.WithAnswered(start.Add(time.Duration(known.at)*time.Millisecond), prompt(known.letters))
			}
			state = state.WithTime(start.Add(time.Second + test.at))
			var bars []string
			for _, bar := range state.Bars() {
				letters := ""
				for _, part := range bar.Parts {
					letters += string(rune(part))
				}
				bars = append(bars, letters)
			}
			slices.Sort(bars)
			So(bars, ShouldResemble, test.bars)
			reversed := knownState()
			for _, crash := range slices.Backward(state.Crashes()) {
				if test.unknown {
					return
				}
				reversed = reversed.WithCrash(start.Add(time.Second), crash)
			}
			So(reversed.Bars(), ShouldResemble, state.Bars())
		})
	}
	Convey("trials come later with each further crash", t, func() {
		state := knownState().WithCrash(start, crashOf("first", "d", -1000, -900))
		at := 0
		for number, seconds := range []int{2, 8, 32, 128, 512, 8192, 86_400, 86_400, 86_400} {
			state = state.WithCrash(start.Add(time.Duration(at)*time.Millisecond), crashOf(fmt.Sprint(number), "d", at, at+100))
			So(state.Bars()[0].TrialAt.Sub(state.Bars()[0].LastAt), ShouldEqual, time.Duration(seconds)*time.Second)
			at += seconds*1000 + 100
		}
	})
	Convey("the crashes that bars rest on are kept, however many others follow", t, func() {
		state := knownState().WithCrash(start, crashOf("1", "d", 0, 1)).WithCrash(start, crashOf("2", "d", 1, 2))
		for number := range 3 * maxCrashes {
			state = state.WithCrash(start, crashOf(fmt.Sprint("x", number), string(rune(1000+number)), 3, 4))
		}
		So(state.Crashes(), ShouldHaveLength, maxCrashes)
		So(state.Bars(), ShouldHaveLength, 1)
	})
	Convey("the number of parts that are remembered is bounded", t, func() {
		known := newAnswered()
		for number := range 5 * maxRecent {
			known = known.With(coltsfootlink.PartID(number), start)
		}
		So(known.recent.Len()+known.older.Len(), ShouldBeLessThanOrEqualTo, 2*maxRecent)
		So(known.At(coltsfootlink.PartID(5*maxRecent-1)), ShouldEqual, start)
	})
}

func TestMayRepeat(t *testing.T) {
	cases := map[string]struct {
		answered string
		crashes  []coltsfootlink.PromptCrash
		// repeat and unbegun are what holds for a request that the target had begun to answer, and for one that it had not.
		repeat, unbegun bool
	}{
		"all parts answered before":           {"cx", []coltsfootlink.PromptCrash{crashOf("r", "cx", 0, 100)}, true, true},
		"a part that was never answered":      {"c", []coltsfootlink.PromptCrash{crashOf("r", "cx", 0, 100)}, false, true},
		"an earlier crash under the same":     {"cx", []coltsfootlink.PromptCrash{crashOf("o", "cx", -200, -100), crashOf("r", "cx", 0, 100)}, false, false},
		"another crash at the same time":      {"cx", []coltsfootlink.PromptCrash{crashOf("o", "cd", 0, 100), crashOf("r", "cx", 0, 100)}, true, true},
		"an earlier crash under other prompt": {"cx", []coltsfootlink.PromptCrash{crashOf("o", "yd", -200, -100), crashOf("r", "cx", 0, 100)}, true, true},
	}
	for name, test := range cases {
		Convey("a request under which a target crashed is sent to a second one: "+name, t, func() {
			state := NewState().WithAnswered(start.Add(-time.Second), prompt(test.answered))
			for _, crash := range test.crashes {
				state = state.WithCrash(start, crash)
			}
			So(state.MayRepeat("r", prompt("cx"), start), ShouldEqual, test.repeat)
			So(state.MayRepeatUnbegun("r", prompt("cx"), start), ShouldEqual, test.unbegun)
		})
	}
}

// simulation plays requests to targets of which some crash under crashing parts, and some for other reasons.
type simulation struct {
	state State
	now   time.Time
	// running are the requests that targets are about to answer.
	running []simulated
	// sent are the numbers of requests with each crashing part that were sent, soundAsked and soundServed those of requests
	// without any, by their first part, once learnTime is over.
	sent                    map[coltsfootlink.PartID]int
	soundAsked, soundServed map[coltsfootlink.PartID]int
	// trialUntil is until when no further trial of a bar is allowed.
	trialUntil map[uint64]time.Time
}

type simulated struct {
	id       string
	parts    []coltsfootlink.PartID
	target   int
	sentAt   time.Time
	crashing bool
}

const (
	// headTime and answerTime are how long after a request was sent its answer begins, and is known to be sound.
	headTime, answerTime = 60 * time.Millisecond, 100 * time.Millisecond
	simulatedTargets     = 8
	// learnTime is the time from the first crashes on after which sound prompts have to be served.
	learnTime = 6 * time.Second
)

// ask sends a request unless it is barred and no trial is due.
func (play *simulation) ask(request simulated, crashing []coltsfootlink.PartID) {
	refused := false
	if bar, held := (View{}).WithBars("p", play.state.Bars()).Bar("p", request.parts); held {
		refused = play.now.Before(bar.TrialAt) || play.now.Before(play.trialUntil[bar.Key()])
		if !refused {
			play.trialUntil[bar.Key()] = play.now.Add(5 * time.Second)
		}
	}
	for _, part := range crashing {
		if slices.Contains(request.parts, part) {
			request.crashing = true
			if !refused {
				play.sent[part]++
			}
		}
	}
	if !request.crashing && play.now.Sub(start) > learnTime {
		play.soundAsked[request.parts[0]]++
		if !refused {
			play.soundServed[request.parts[0]]++
		}
	}
	if !refused {
		play.running = append(play.running, request)
	}
}

// advance ends the requests that are due. A crash ends all requests on the target, and those whose answers have begun are
// suspected.
func (play *simulation) advance(crashed map[int]bool) {
	for _, request := range play.running {
		if request.crashing && !play.now.Before(request.sentAt.Add(answerTime)) {
			crashed[request.target] = true
		}
	}
	var left []simulated
	for _, request := range play.running {
		switch {
		case crashed[request.target] && play.now.Before(request.sentAt.Add(headTime)):
		case crashed[request.target]:
			crash := coltsfootlink.PromptCrash{Pool: "p", Request: coltsfootlink.RequestID(request.id), Target: coltsfootlink.TargetName(request.id), SentAt: request.sentAt, CrashedAt: play.now}
			for _, part := range request.parts {
				crash.Suspects = append(crash.Suspects, coltsfootlink.Suspect{Part: part, AnsweredAt: play.state.AnsweredAt(part)})
			}
			play.state = play.state.WithCrash(play.now, crash)
		case !play.now.Before(request.sentAt.Add(answerTime)):
			play.state = play.state.WithAnswered(play.now, request.parts)
		default:
			left = append(left, request)
		}
	}
	play.running = left
}

// TestQuarantineBoundsCrashesAndServesSoundPrompts plays random fleets: the sends of each crashing part are bounded, and at least
// half of the prompts without one are served, whatever their first part.
func TestQuarantineBoundsCrashesAndServesSoundPrompts(t *testing.T) {
	const (
		steps, step = 1500, 20 * time.Millisecond
		// trials is how many trials fit into the time that is played.
		trials = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		crashing := prompt("DE")[:rapid.IntRange(0, 2).Draw(t, "crashing parts")]
		perStep := rapid.IntRange(1, 3).Draw(t, "requests a step")
		share := rapid.Float64Range(0.02, 0.4).Draw(t, "share of crashing requests")
		otherCrashes := rapid.SliceOfN(rapid.IntRange(0, steps), 0, 10).Draw(t, "crashes for other reasons")
		known := rapid.Bool().Draw(t, "crashing parts are answered at first")
		random := rapid.Custom(func(t *rapid.T) uint64 { return rapid.Uint64().Draw(t, "seed") }).Draw(t, "draws")
		draw := func(limit int) int {
			random = random*6364136223846793005 + 1442695040888963407
			return int(random>>33) % limit
		}
		play := &simulation{state: NewState(), now: start, sent: make(map[coltsfootlink.PartID]int), soundAsked: make(map[coltsfootlink.PartID]int), soundServed: make(map[coltsfootlink.PartID]int), trialUntil: make(map[uint64]time.Time)}
		if known {
			play.state = play.state.WithAnswered(start, crashing)
		}
		for number := range steps {
			play.now = play.now.Add(step)
			crashed := make(map[int]bool)
			if slices.Contains(otherCrashes, number) {
				crashed[draw(simulatedTargets)], crashed[draw(simulatedTargets)] = true, true
			}
			play.advance(crashed)
			for within := range perStep {
				parts := prompt(string(rune('a'+draw(2))) + string(rune(1000+draw(30))))
				if len(crashing) > 0 && float64(draw(1000)) < share*1000 {
					parts[1] = crashing[draw(len(crashing))]
				}
				play.ask(simulated{id: fmt.Sprint(number, "-", within), parts: parts, target: draw(simulatedTargets), sentAt: play.now}, crashing)
			}
		}
		inFlight := perStep * int(answerTime/step+1)
		for part, count := range play.sent {
			if most := minCrashesAnswered*inFlight + trials; count > most {
				t.Fatalf("part %d was sent %d times, at most %d are expected", part, count, most)
			}
		}
		for first, asked := range play.soundAsked {
			if served := play.soundServed[first]; 2*served < asked {
				t.Fatalf("%d of %d sound prompts with the first part %d were served", served, asked, first)
			}
		}
	})
}

// BenchmarkAnswersAfterCrashes measures what an answered request with a thousand parts costs while crashes are known, and the
// decision on the next one.
func BenchmarkAnswersAfterCrashes(b *testing.B) {
	var parts []coltsfootlink.PartID
	for number := range 1000 {
		parts = append(parts, coltsfootlink.PartID(number+1)<<20)
	}
	state := NewState()
	for number := range 8 {
		crash := crashOf(fmt.Sprint(number), "", 1000*number, 1000*number+100)
		for _, part := range append(parts[:990:990], coltsfootlink.PartID(number)) {
			crash.Suspects = append(crash.Suspects, coltsfootlink.Suspect{Part: part})
		}
		state = state.WithCrash(start, crash)
	}
	for number := range b.N {
		state = state.WithAnswered(start.Add(time.Duration(number)*time.Microsecond), parts)
		View{}.WithBars("p", state.Bars()).Bar("p", parts)
	}
}
