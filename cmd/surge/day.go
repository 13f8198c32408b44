package main

import (
	"embed"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"coltsfootlink/engine"
	"coltsfootlink/settings"
)

//go:embed days/friday.toml
var days embed.FS

// defaultDay is the day that is replayed if no file is given.
const defaultDay = "days/friday.toml"

// The policies of a day.
const (
	// leastLoaded sends each request straight to the engine with the fewest requests in flight, and refuses none.
	leastLoaded = "least-loaded"
	// affinityOnly uses gateways, which prefer engines that have the shared prefix cached. Requests
	// are refused only where engines would refuse them, for lack of slots or memory.
	affinityOnly = "affinity"
	// admissionOnly is affinityOnly where owners also refuse requests that would miss their objective, without regard
	// to teams' shares.
	admissionOnly = "admission"
	// inForce is the policy of the product: affinity, admission, and team shares of the guaranteed rate.
	inForce = "in-force"
)

// dayPlan describes a load over time and the engines that serve it. Times are in seconds.
type dayPlan struct {
	Name            string   `toml:"name"`
	Seconds         float64  `toml:"seconds"`
	Engines         int      `toml:"engines"`
	Gateways        int      `toml:"gateways"`
	Teams           int      `toml:"teams"`
	TokensPerSecond float64  `toml:"tokens-per-second"`
	Policies        []string `toml:"policies"`
	Engine          struct {
		settings.EngineRates
		Slots        int `toml:"slots"`
		Queue        int `toml:"queue"`
		MemoryTokens int `toml:"memory-tokens"`
		EventTokens  int `toml:"event-tokens"`
	} `toml:"engine"`
	Classes []class `toml:"class"`
	Bursts  []burst `toml:"surge"`
}

// class describes a kind of request. SharedTokens, the length of the shared prefix, is the same for all requests;
// OwnTokens and OutputTokens are means.
type class struct {
	Name            string  `toml:"name"`
	PerSecond       float64 `toml:"per-second"`
	SharedTokens    int     `toml:"shared-tokens"`
	OwnTokens       float64 `toml:"own-tokens"`
	OutputTokens    float64 `toml:"output-tokens"`
	Subjects        int     `toml:"subjects"`
	ObjectiveMillis float64 `toml:"objective-ms"`
	TimeoutMillis   float64 `toml:"timeout-ms"`
	// Value is earned by a complete answer whose first event comes within the objective, LateValue by a complete answer
	// whose first event comes later.
	Value     float64 `toml:"worth"`
	LateValue float64 `toml:"late"`
}

// burst multiplies the request rate of all teams, or of one team, for some time.
type burst struct {
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"`
	Factor float64 `toml:"factor"`
	// Team is the index of the team; all teams if nil.
	Team *int `toml:"team"`
}

// arrival is one request of a day: when it is sent, by which team, and its class and sizes in tokens.
type arrival struct {
	at     time.Duration
	class  int
	team   int
	shared int
	own    int
	output int
	// subject is the index, within the class, of the shared prefix that the prompt begins with.
	subject int
}

// readDay reads and checks a day from a TOML file, or the built-in day if no file is given.
func readDay(file string) (dayPlan, error) {
	var text []byte
	var err error
	if file == "" {
		file = defaultDay
		text, err = days.ReadFile(defaultDay)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return dayPlan{}, errors.Wrap(err, "surge: reading the day")
	}
	var day dayPlan
	err = toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&day)
	var unknown *toml.StrictMissingError
	switch {
	case errors.As(err, &unknown):
		return dayPlan{}, errors.Newf("surge: day %s has unknown keys:\n%s", file, unknown.String())
	case err != nil:
		return dayPlan{}, errors.Wrapf(err, "surge: parsing day %s", file)
	}
	return day, errors.Wrapf(day.check(), "surge: checking day %s", file)
}

// check returns one error that lists all faults of the day.
func (day dayPlan) check() error {
	var findings []string
	positive := map[string]float64{
		"seconds": day.Seconds, "engines": float64(day.Engines), "gateways": float64(day.Gateways), "teams": float64(day.Teams),
		"engine.slots": float64(day.Engine.Slots), "engine.memory-tokens": float64(day.Engine.MemoryTokens),
		"engine.event-tokens": float64(day.Engine.EventTokens), "engine.prompt-tokens-per-ms": day.Engine.PromptTokensPerMilli,
		"engine.chunk-tokens": day.Engine.ChunkTokens, "class": float64(len(day.Classes)), "policies": float64(len(day.Policies)),
	}
	for key, value := range positive {
		if value <= 0 {
			findings = append(findings, key+": must be positive")
		}
	}
	for _, policy := range day.Policies {
		switch policy {
		case leastLoaded, affinityOnly, admissionOnly, inForce:
		default:
			findings = append(findings, "policies: "+policy+" is not known; expected least-loaded, affinity, admission or in-force")
		}
	}
	for _, class := range day.Classes {
		if class.PerSecond <= 0 || class.Subjects <= 0 || class.OutputTokens <= 0 || class.ObjectiveMillis <= 0 || class.TimeoutMillis <= 0 {
			findings = append(findings, "class."+class.Name+": per-second, subjects, output-tokens, objective-ms and timeout-ms must be positive")
		}
	}
	if len(findings) == 0 {
		return nil
	}
	return errors.New(strings.Join(findings, "; "))
}

// engineTraits returns the speed and the limits of the day's engines.
func (day dayPlan) engineTraits() engine.Traits {
	return engine.Traits{
		Rates: engine.Rates(day.Engine.EngineRates), Slots: day.Engine.Slots, MemoryTokens: day.Engine.MemoryTokens, EventTokens: day.Engine.EventTokens,
	}
}

// arrivals returns the day's requests in order of time. The same seed gives the same requests, so that all policies are
// compared on the same load.
func (day dayPlan) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []arrival
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at.Seconds() < day.Seconds; at += tick {
		for index, class := range day.Classes {
			for team := range day.Teams {
				expected := class.PerSecond * tick.Seconds() * day.teamFraction(team) * day.burstFactor(at, team)
				for count := expected + random.Float64(); count >= 1; count-- {
					arrivals = append(arrivals, arrival{
						at: at, class: index, team: team, shared: class.SharedTokens, subject: random.IntN(class.Subjects),
						own: 1 + int(class.OwnTokens*random.ExpFloat64()), output: 1 + int(class.OutputTokens*(0.5+random.Float64())),
					})
				}
			}
		}
	}
	return arrivals
}

// teamFraction returns the fraction of the requests that a team sends outside of bursts. It is proportional to 1/n for
// the n-th team, so the first team is the largest.
func (day dayPlan) teamFraction(team int) float64 {
	sum := 0.0
	for other := range day.Teams {
		sum += 1 / float64(other+1)
	}
	return 1 / float64(team+1) / sum
}

// burstFactor returns the factor by which bursts multiply a team's request rate at a time.
func (day dayPlan) burstFactor(at time.Duration, team int) float64 {
	factor := 1.0
	for _, burst := range day.Bursts {
		if seconds := at.Seconds(); seconds >= burst.From && seconds < burst.Until && (burst.Team == nil || *burst.Team == team) {
			factor *= burst.Factor
		}
	}
	return factor
}
