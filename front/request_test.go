package front

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/gen/callers"
	"coltsfootlink/mailbox"
)

// fixedClock is a clock that always shows the same time.
type fixedClock struct{ at time.Time }

// Now returns the fixed time.
func (clock fixedClock) Now() time.Time { return clock.at }

var now = time.Unix(1_700_000_000, 0)

func serviceWith(configuration *coltsfootlink.Configuration) *Service {
	gate := &Gate{Inbox: mailbox.NewDeliveries()}
	if configuration != nil {
		gate.configuration.Store(configuration)
	}
	return &Service{Gate: gate, Clock: fixedClock{at: now}, RequestTimeout: time.Minute}
}

func pointer(value string) *string { return &value }

func TestRequestValidation(t *testing.T) {
	configuration := coltsfootlink.Configuration{Revision: 1}.
		WithTeam(coltsfootlink.Team{Name: "carpenters", Weight: 1}.WithToken("secret")).
		WithPool(coltsfootlink.Pool{Name: "p", MaxBodyBytes: 4, Routes: []coltsfootlink.Route{
			{Path: "layout", Repeatable: true}, {Path: "sign/off"},
		}})
	valid := callers.CallPayload{Pool: "p", Route: "layout", Authorization: pointer("Bearer secret")}
	with := func(change func(*callers.CallPayload)) *callers.CallPayload {
		payload := valid
		change(&payload)
		return &payload
	}
	cases := map[string]struct {
		payload *callers.CallPayload
		body    string
		reason  coltsfootlink.Reason
	}{
		"valid":                  {&valid, "plan", ""},
		"no token":               {with(func(payload *callers.CallPayload) { payload.Authorization = nil }), "", coltsfootlink.UnknownTeam},
		"a wrong token":          {with(func(payload *callers.CallPayload) { payload.Authorization = pointer("Bearer guess") }), "", coltsfootlink.UnknownTeam},
		"an unknown pool":        {with(func(payload *callers.CallPayload) { payload.Pool = "q" }), "", coltsfootlink.UnknownPool},
		"an unknown route":       {with(func(payload *callers.CallPayload) { payload.Route = "nowhere" }), "", coltsfootlink.UnknownRoute},
		"a body over the limit":  {&valid, "plans", coltsfootlink.BodyTooLarge},
		"a deadline in words":    {with(func(payload *callers.CallPayload) { payload.Deadline = pointer("soon") }), "", coltsfootlink.BadDeadline},
		"a deadline in the past": {with(func(payload *callers.CallPayload) { payload.Deadline = pointer("2001-01-01T00:00:00Z") }), "", coltsfootlink.PastDeadline},
		"a hint in words":        {with(func(payload *callers.CallPayload) { payload.CostHint = pointer("much") }), "", coltsfootlink.BadHint},
		"a hint below zero":      {with(func(payload *callers.CallPayload) { payload.CostHint = pointer("-1") }), "", coltsfootlink.BadHint},
		"a hint of NaN":          {with(func(payload *callers.CallPayload) { payload.CostHint = pointer("NaN") }), "", coltsfootlink.BadHint},
		"no key":                 {with(func(payload *callers.CallPayload) { payload.Route = "sign/off" }), "", coltsfootlink.MissingKey},
		"a malformed key":        {with(func(payload *callers.CallPayload) { payload.Route, payload.IdempotencyKey = "sign/off", pointer("7") }), "", coltsfootlink.MalformedKey},
		"a key": {with(func(payload *callers.CallPayload) {
			payload.Route, payload.IdempotencyKey = "sign/off", pointer("018BCFE5-6800-7000-8000-000000000000")
		}), "", ""},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			request, _, refusal := serviceWith(&configuration).request("r", test.payload, strings.NewReader(test.body))
			if test.reason != "" {
				So(refusal, ShouldNotBeNil)
				So(refusal.Reason, ShouldEqual, test.reason)
				So(refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
				return
			}
			So(refusal, ShouldBeNil)
			So(request.Team, ShouldEqual, coltsfootlink.TeamName("carpenters"))
			So(request.Deadline, ShouldEqual, now.Add(time.Minute))
		})
	}
	Convey("requests are refused with a retry time until there is a configuration", t, func() {
		_, _, refusal := serviceWith(nil).request("r", &valid, strings.NewReader(""))
		So(refusal.Reason, ShouldEqual, coltsfootlink.NotReady)
		So(refusal.RetryAt.After(now), ShouldBeTrue)
	})
	Convey("fingerprints differ by team, route and body", t, func() {
		one, _, _ := serviceWith(&configuration).request("r", &valid, strings.NewReader("a"))
		two, _, _ := serviceWith(&configuration).request("r", &valid, strings.NewReader("b"))
		again, _, _ := serviceWith(&configuration).request("s", &valid, strings.NewReader("a"))
		So(one.Fingerprint, ShouldNotEqual, two.Fingerprint)
		So(one.Fingerprint, ShouldEqual, again.Fingerprint)
	})
}

func TestErrorNamesAreInTheDesign(t *testing.T) {
	Convey("every error name is one of the design's errors", t, func() {
		designed := map[string]bool{"bad-request": true, "unauthorized": true, "not-found": true, "conflict": true, "too-large": true, "too-many": true, "bad-gateway": true, "unavailable": true, "deadline": true}
		for _, name := range errorNames {
			So(designed[name], ShouldBeTrue)
		}
	})
}
