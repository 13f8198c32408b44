package language

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var now = time.Unix(1_000_000, 0)

func TestStatements(t *testing.T) {
	cases := map[string]Statement{
		"show waiting by team in pool truss-assistant": {Show: &Show{Subject: coltsfootlink.WaitingSubject, ByTeam: true, Pool: "truss-assistant"}},
		"show served by team last 10m":                 {Show: &Show{Subject: coltsfootlink.ServedSubject, ByTeam: true, Since: now.Add(-10 * time.Minute)}},
		"show targets where zone = mazowsze-b":         {Show: &Show{Subject: coltsfootlink.TargetsSubject, Column: "zone", Value: "mazowsze-b"}},
		`show targets where state = "live"`:            {Show: &Show{Subject: coltsfootlink.TargetsSubject, Column: "state", Value: "live"}},
		"show  instances":                              {Show: &Show{Subject: coltsfootlink.InstancesSubject}},
		"show timeline last 1h":                        {Show: &Show{Subject: coltsfootlink.TimelineSubject, Since: now.Add(-time.Hour)}},
		"take zone mazowsze-b out":                     {Zone: &Zone{Name: "mazowsze-b", Out: true}},
		"bring zone mazowsze-b back":                   {Zone: &Zone{Name: "mazowsze-b"}},
		"show bars in pool p":                          {Show: &Show{Subject: coltsfootlink.BarsSubject, Pool: "p"}},
		"show duties":                                  {Show: &Show{Subject: coltsfootlink.DutiesSubject}},
		"lift bar 1f in pool p":                        {Lift: &Lift{Pool: "p", Parts: []coltsfootlink.PartID{0x1f}}},
		`lift bar "1f a" in pool p`:                    {Lift: &Lift{Pool: "p", Parts: []coltsfootlink.PartID{0x1f, 0xa}}},
		"apply fleet.toml":                             {Apply: &Apply{File: "fleet.toml"}},
		`apply "my fleet.toml"`:                        {Apply: &Apply{File: "my fleet.toml"}},
	}
	finishBy := time.Date(2026, 12, 11, 18, 0, 0, 0, time.UTC)
	cases["start move p from v1 to v2 by 2026-12-11T18:00:00Z"] = Statement{Move: &Move{Action: StartMove, Pool: "p", From: "v1", To: "v2", FinishBy: finishBy}}
	cases["finish move p"] = Statement{Move: &Move{Action: FinishMove, Pool: "p"}}
	cases[`take back move p because "slow on load-check"`] = Statement{Move: &Move{Action: RollBackMove, Pool: "p", Reason: "slow on load-check"}}
	cases["explain host api.example path /v1/chat/"] = Statement{Explain: &Explain{Host: "api.example", Path: "/v1/chat/"}}
	cases[`explain host h path "/a?b=c" team x prompt s1:900,u:40 tokens 940,200 model m in zone a`] = Statement{Explain: &Explain{
		Host: "h", Path: "/a?b=c", Team: "x", Prompt: "s1:900,u:40", Tokens: "940,200", Model: "m", Zone: "a",
	}}
	cases["explain host h path / in zone a request r-1 fingerprint 1f pool p"] = Statement{Explain: &Explain{
		Host: "h", Path: "/", Zone: "a", Request: "r-1", Fingerprint: 0x1f, Pool: "p",
	}}
	for text, want := range cases {
		Convey(text, t, func() {
			statement, err := Parse(now, text)
			So(err, ShouldBeNil)
			So(statement, ShouldResemble, want)
		})
	}
}

func TestSyntaxErrors(t *testing.T) {
	cases := map[string]struct {
		text   string
		column int
	}{
		"empty statement":               {"", 1},
		"unknown verb":                  {"dance", 1},
		"unknown subject":               {"show tragets", 6},
		"zone without out":              {"take zone a", 12},
		"zone with back instead of out": {"take zone a back", 13},
		"trailing words":                {"show targets now", 14},
		"deadline that is not a time":   {"start move p from a to b by Friday", 29},
		"period that is not a duration": {"show served last week", 18},
		"negative period":               {"show served last -5m", 18},
		"bar without a pool":            {"lift bar 1f", 12},
		"part that is not a number":     {"lift bar roof in pool p", 10},
		"no parts":                      {`lift bar "" in pool p`, 10},
		"apply without file":            {"apply", 6},
		"explain without host":          {"explain path /", 9},
		"explain without path":          {"explain host h", 15},
		"clause without value":          {"explain host h path / team", 27},
		"unknown clause":                {"explain host h path / zone a", 23},
		"clause given twice":            {"explain host h path / team x team y", 30},
		"part without size":             {"explain host h path / prompt a:1,b", 30},
		"part with a negative size":     {"explain host h path / prompt a:-1", 30},
		"one token count":               {"explain host h path / tokens 100", 30},
		"token count that is no number": {"explain host h path / tokens 100,many", 30},
		"too many tokens":               {"explain host h path / tokens 99999999999,1", 30},
		"fingerprint that is no number": {"explain host h path / fingerprint roof", 35},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			_, err := Parse(now, test.text)
			var syntaxErr *SyntaxError
			So(errors.As(err, &syntaxErr), ShouldBeTrue)
			So(syntaxErr.Column, ShouldEqual, test.column)
			So(syntaxErr.Text, ShouldNotBeEmpty)
		})
	}
}
