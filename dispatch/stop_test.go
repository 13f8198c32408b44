package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestRequestsThatOutlastTheInstanceAreRefused checks which requests an instance that ends in four seconds still accepts,
// after answers of 100 tokens that took a second after their first event.
func TestRequestsThatOutlastTheInstanceAreRefused(t *testing.T) {
	cases := map[string]struct {
		outputTokens int
		deadline     time.Duration
		stopping     bool
		refused      bool
	}{
		"it does not stop":                    {10_000, time.Minute, false, false},
		"a short answer":                      {20, time.Minute, true, false},
		"as long as those before":             {100, time.Minute, true, false},
		"twice as long":                       {200, time.Minute, true, true},
		"much longer":                         {1000, time.Minute, true, true},
		"much longer, with an early deadline": {1000, 2 * time.Second, true, false},
		"no tokens":                           {0, time.Minute, true, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			want := func(id coltsfootlink.RequestID, tokens int, deadline time.Duration) (uint64, <-chan Choice) {
				reply := make(chan Choice, 1)
				request := newWant(clock, reply)
				request.ID, request.Work.OutputTokens, request.Deadline = id, tokens, clock.now.Add(deadline)
				task.handle(coltsfootlink.Delivery{Message: request})
				if asks := sender.takeAsks(); len(asks) > 0 {
					return asks[0].Serial, reply
				}
				return 0, reply
			}
			for range 5 {
				serial, _ := want("r-0", 100, time.Minute)
				task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
				task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.FirstEvent, Millis: 300}})
				task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded, Millis: 1300}})
				sender.sent = nil
			}
			if test.stopping {
				task.handle(coltsfootlink.Delivery{Message: coltsfootlink.Stopping{EndsAt: clock.now.Add(4 * time.Second)}})
			}
			serial, reply := want("r-1", test.outputTokens, test.deadline)
			So(serial == 0, ShouldEqual, test.refused)
			if test.refused {
				refusal := (<-reply).Refusal
				So(refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
				So(refusal.Reason, ShouldEqual, coltsfootlink.InstanceStopping)
				So(refusal.RetryAt, ShouldHappenAfter, clock.now)
			}
		})
	}
}

// TestLateRequestsThatOutlastTheInstanceAreRefused guards against requests past their objective, such as those that are sent
// again, that count as ended before they are sent.
func TestLateRequestsThatOutlastTheInstanceAreRefused(t *testing.T) {
	// Answers of 100 tokens take a second after their first event, and half a second of margin.
	cases := map[string]struct {
		late, endsIn time.Duration
		refused      bool
	}{
		"the objective has passed, too little time is left": {5 * time.Second, time.Second, true},
		"the objective has passed, enough time is left":     {5 * time.Second, 2 * time.Second, false},
		"the objective passes now, too little time is left": {0, time.Second, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask()
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			task.durations[request.Pool] = 10
			request.Work.OutputTokens = 100
			request.Objective, request.Deadline = clock.now.Add(-test.late), clock.now.Add(time.Minute)
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.Stopping{EndsAt: clock.now.Add(test.endsIn)}})
			task.handle(coltsfootlink.Delivery{Message: request})
			So(len(reply) == 1, ShouldEqual, test.refused)
		})
	}
}
