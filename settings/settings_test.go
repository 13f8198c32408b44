package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const validDaemon = `instance = "a-1"
zone = "a"
[callers]
address = "127.0.0.1:1"
[operators]
address = "127.0.0.1:2"
[peers]
address = "127.0.0.1:3"
[platform]
address = "http://127.0.0.1:4"
`

var validFleet = `[[availability-zone]]
name = "a"
[[team]]
name = "x"
weight = 1.0
token-hash = "` + strings.Repeat("0", 64) + `"
[[pool]]
name = "p"
kind = "engine"
cold-limit = 1
max-limit = 2
growth-per-second = 1.0
max-cost = 10.0
[[pool.route]]
path = "r"
repeatable = true
`

// places returns the positions of the findings of an error.
func places(err error) []string {
	var findings Findings
	if !errors.As(err, &findings) {
		return nil
	}
	var places []string
	for _, finding := range findings {
		places = append(places, finding.Place())
	}
	return places
}

func TestDaemonFindings(t *testing.T) {
	cases := map[string]struct {
		text   string
		places []string
	}{
		"valid":                                 {validDaemon, nil},
		"empty document":                        {"", []string{"f: instance", "f: zone", "f: callers.address", "f: operators.address", "f: peers.address", "f: platform.address"}},
		"unknown key":                           {validDaemon + "colour = 1\n", []string{"f:11: platform.colour"}},
		"address without port":                  {strings.Replace(validDaemon, "127.0.0.1:2", "nowhere", 1), []string{"f:6: operators.address"}},
		"unknown policy":                        {validDaemon + "[policy]\norder = \"dice\"\n", []string{"f:12: policy.order"}},
		"invalid duration":                      {validDaemon + "[timing]\nstop-limit = \"soon\"\n", []string{"f:12: timing.stop-limit"}},
		"heartbeat timeout below two intervals": {validDaemon + "[timing]\nsilence-limit = \"600ms\"\n", []string{"f:12: timing.silence-limit"}},
		"seed address without port":             {validDaemon + "[[seed]]\ninstance = \"b\"\nzone = \"b\"\naddress = \"b\"\n", []string{"f:14: seed[0].address"}},
		"no operators' token beyond loopback":   {strings.Replace(validDaemon, "127.0.0.1:2", "10.0.0.1:2", 1), []string{"f:5: operators.token"}},
		"no peers' token beyond loopback":       {strings.Replace(validDaemon, "127.0.0.1:3", "0.0.0.0:3", 1), []string{"f:7: peers.token"}},
		"tokens beyond loopback":                {strings.ReplaceAll(strings.Replace(validDaemon, "127.0.0.1:2\"", "10.0.0.1:2\"\ntoken = \"t\"", 1), "127.0.0.1:3\"", "10.0.0.1:3\"\ntoken = \"t\""), nil},
		"two findings":                          {strings.Replace(validDaemon, `zone = "a"`, `zone = ""`, 1) + "[policy]\norder = \"dice\"\n", []string{"f:2: zone", "f:12: policy.order"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			daemon, err := ParseDaemon("f", test.text)
			So(places(err), ShouldResemble, test.places)
			if err == nil {
				So(daemon.Timing.ShutdownTimeout.Duration, ShouldEqual, 30*time.Second)
			}
		})
	}
}

func TestFleetFindings(t *testing.T) {
	cases := map[string]struct {
		text   string
		places []string
	}{
		"valid":                      {validFleet, nil},
		"empty document":             {"", []string{"f: pool", "f: team"}},
		"invalid TOML":               {"[[", []string{"f:1"}},
		"name not in kebab case":     {strings.Replace(validFleet, `"x"`, `"Team X"`, 1), []string{"f:4: team[0].name"}},
		"weight of zero":             {strings.Replace(validFleet, "1.0", "0.0", 1), []string{"f:5: team[0].weight"}},
		"token instead of its hash":  {strings.Replace(validFleet, strings.Repeat("0", 64), "secret", 1), []string{"f:6: team[0].token-hash"}},
		"max-limit below cold-limit": {strings.Replace(validFleet, "max-limit = 2", "max-limit = 0", 1), []string{"f:11: pool[0].max-limit"}},
		"unknown pool kind":          {strings.Replace(validFleet, "engine", "steam", 1), []string{"f:9: pool[0].kind"}},
		"route without repeatable":   {strings.Replace(validFleet, "repeatable = true\n", "", 1), []string{"f:14: pool[0].route[0].repeatable"}},
		"duplicate team":             {validFleet + "[[team]]\nname = \"x\"\nweight = 1.0\ntoken-hash = \"" + strings.Repeat("1", 64) + "\"\n", []string{"f:18: team[1].name"}},
		"duplicate token hash":       {validFleet + "[[team]]\nname = \"y\"\nweight = 1.0\ntoken-hash = \"" + strings.Repeat("0", 64) + "\"\n", []string{"f:20: team[1].token-hash"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			_, err := ParseFleet("f", test.text, coltsfootlink.Configuration{})
			So(places(err), ShouldResemble, test.places)
		})
	}
}

func TestFleetRoundTrip(t *testing.T) {
	Convey("parsing a formatted configuration returns the same configuration", t, func() {
		parsed, err := ParseFleet("f", validFleet, coltsfootlink.Configuration{})
		So(err, ShouldBeNil)
		text, err := FormatFleet(parsed)
		So(err, ShouldBeNil)
		reparsed, err := ParseFleet("f", text, coltsfootlink.Configuration{})
		So(err, ShouldBeNil)
		So(reparsed, ShouldResemble, parsed)
	})
}

// BenchmarkParseFleet parses a document with 2800 teams, the users' target size.
func BenchmarkParseFleet(b *testing.B) {
	configuration, err := ParseFleet("f", validFleet, coltsfootlink.Configuration{})
	if err != nil {
		b.Fatal(err)
	}
	var teams []coltsfootlink.Team
	for index := range 2800 {
		team := coltsfootlink.Team{Name: coltsfootlink.TeamName(fmt.Sprint("team-", index)), Weight: 1}
		teams = append(teams, team.WithToken(fmt.Sprint(index)))
	}
	text, err := FormatFleet(configuration.WithTeams(teams))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(text)), "bytes")
	for b.Loop() {
		if _, err := ParseFleet("f", text, coltsfootlink.Configuration{}); err != nil {
			b.Fatal(err)
		}
	}
}
