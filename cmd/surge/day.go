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

// defaultDay is the day that is played if none is named.
const defaultDay = "days/friday.toml"

// The policies of a day.
const (
	// leastLoaded sends each request straight to the engine with the fewest requests, and refuses none.
	leastLoaded = "least-loaded"
	// affinityOnly lets gateways send requests to where their shared parts are kept, and refuses only what engines refuse.
	affinityOnly = "affinity"
	// admissionOnly lets owners refuse what would be late, whatever teams have got.
	admissionOnly = "admission"
	// inForce is what the product does.
	inForce = "in-force"
)

// day describes a load and the engines that it meets; spans are in seconds.
type day struct {
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
	Surges  []surge `toml:"surge"`
}

// class is a kind of request; sizes are means in tokens.
type class struct {
	Name            string  `toml:"name"`
	PerSecond       float64 `toml:"per-second"`
	SharedTokens    int     `toml:"shared-tokens"`
	OwnTokens       float64 `toml:"own-tokens"`
	OutputTokens    float64 `toml:"output-tokens"`
	Subjects        int     `toml:"subjects"`
	ObjectiveMillis float64 `toml:"objective-ms"`
	TimeoutMillis   float64 `toml:"timeout-ms"`
	// Worth is earned by a whole answer whose first event comes within the objective, Late by a later one.
	Worth float64 `toml:"worth"`
	Late  float64 `toml:"late"`
}

// surge multiplies what all teams or one of them send for a while.
type surge struct {
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"`
	Factor float64 `toml:"factor"`
	// Team is the place of the team; all teams if it is not given.
	Team *int `toml:"team"`
}

// arrival is one request of a day.
type arrival struct {
	at     time.Duration
	class  int
	team   int
	shared int
	own    int
	output int
	// subject is whose shared parts the prompt begins with.
	subject int
}

// readDay reads and checks a day; the one that comes with the program if no file is named.
func readDay(file string) (day, error) {
	var text []byte
	var err error
	if file == "" {
		file = defaultDay
		text, err = days.ReadFile(defaultDay)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return day{}, errors.Wrap(err, "surge: day")
	}
	var read day
	err = toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&read)
	var unknown *toml.StrictMissingError
	switch {
	case errors.As(err, &unknown):
		return day{}, errors.Newf("surge: %s: unknown keys:\n%s", file, unknown.String())
	case err != nil:
		return day{}, errors.Wrapf(err, "surge: %s", file)
	}
	return read, errors.Wrapf(read.check(), "surge: %s", file)
}

// check returns all findings together.
func (read day) check() error {
	var findings []string
	positive := map[string]float64{
		"seconds": read.Seconds, "engines": float64(read.Engines), "gateways": float64(read.Gateways), "teams": float64(read.Teams),
		"engine.slots": float64(read.Engine.Slots), "engine.memory-tokens": float64(read.Engine.MemoryTokens),
		"engine.event-tokens": float64(read.Engine.EventTokens), "engine.prompt-tokens-per-ms": read.Engine.PromptTokensPerMilli,
		"engine.chunk-tokens": read.Engine.ChunkTokens, "class": float64(len(read.Classes)), "policies": float64(len(read.Policies)),
	}
	for key, value := range positive {
		if value <= 0 {
			findings = append(findings, key+": must be positive")
		}
	}
	for _, policy := range read.Policies {
		switch policy {
		case leastLoaded, affinityOnly, admissionOnly, inForce:
		default:
			findings = append(findings, "policies: "+policy+" is not known")
		}
	}
	for _, one := range read.Classes {
		if one.PerSecond <= 0 || one.Subjects <= 0 || one.OutputTokens <= 0 || one.ObjectiveMillis <= 0 || one.TimeoutMillis <= 0 {
			findings = append(findings, "class."+one.Name+": rates, subjects, outputs and times must be positive")
		}
	}
	if len(findings) == 0 {
		return nil
	}
	return errors.New(strings.Join(findings, "; "))
}

// traits is what the day's engines are like.
func (read day) traits() engine.Traits {
	return engine.Traits{
		Rates: engine.Rates(read.Engine.EngineRates), Slots: read.Engine.Slots, MemoryTokens: read.Engine.MemoryTokens, EventTokens: read.Engine.EventTokens,
	}
}

// arrivals returns the day's requests in order; the same for each policy.
func (read day) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	var arrivals []arrival
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at.Seconds() < read.Seconds; at += tick {
		for place, one := range read.Classes {
			for team := range read.Teams {
				expected := one.PerSecond * tick.Seconds() * read.part(team) * read.factor(at, team)
				for count := expected + random.Float64(); count >= 1; count-- {
					arrivals = append(arrivals, arrival{
						at: at, class: place, team: team, shared: one.SharedTokens, subject: random.IntN(one.Subjects),
						own: 1 + int(one.OwnTokens*random.ExpFloat64()), output: 1 + int(one.OutputTokens*(0.5+random.Float64())),
					})
				}
			}
		}
	}
	return arrivals
}

// part is a team's usual part of the requests; the first one is the largest.
func (read day) part(team int) float64 {
	sum := 0.0
	for place := range read.Teams {
		sum += 1 / float64(place+1)
	}
	return 1 / float64(team+1) / sum
}

// factor is how much more than usual a team sends.
func (read day) factor(at time.Duration, team int) float64 {
	factor := 1.0
	for _, one := range read.Surges {
		if seconds := at.Seconds(); seconds >= one.From && seconds < one.Until && (one.Team == nil || *one.Team == team) {
			factor *= one.Factor
		}
	}
	return factor
}
