package settings

import (
	"os"
	"time"

	"coltsfootlink/platform"
)

// Gateway holds the settings of a daemon that runs as a gateway on the users' platform, which fills them in from the
// template deploy/coltsfootd.toml.
type Gateway struct {
	Instance string   `toml:"instance"`
	Zone     string   `toml:"zone"`
	Seeds    []string `toml:"seeds"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB float64 `toml:"memory-mb"`
	// ProcessorShare is the fraction of a core that the process may use, and Cores the speed factor of that core. The CPU
	// capacity of the process is ProcessorShare x Cores.
	ProcessorShare float64 `toml:"processor-share"`
	Cores          float64 `toml:"cores"`
	// Profiling serves profiles of the process at the metrics address, under /debug/pprof/.
	Profiling bool `toml:"profiling"`
	Listen    struct {
		Callers string `toml:"callers"`
		Ready   string `toml:"ready"`
		Peers   string `toml:"peers"`
		Metrics string `toml:"metrics"`
		// Relay is the address at which other instances forward callers' connections to this one; its port is the same on
		// all hosts. Connections are not forwarded if it is empty.
		Relay string `toml:"relay"`
	} `toml:"listen"`
	Store struct {
		Address string `toml:"address"`
	} `toml:"store"`
	Retry struct {
		// Share is the fleet's retry budget as a fraction of its requests, and Slack the number of retries that are allowed
		// on top of that in a window.
		Share float64 `toml:"share"`
		Slack float64 `toml:"slack"`
	} `toml:"retry"`
	Cold struct {
		// Overage and Slack give the maximum number of requests per second to a cold target: its ColdPerSecond x Overage +
		// Slack.
		Overage float64 `toml:"overage"`
		Slack   float64 `toml:"slack"`
	} `toml:"cold"`
	Engine    EngineRates `toml:"engine"`
	Admission Admission   `toml:"admission"`
	Duties    Duties      `toml:"duties"`
	Timing    struct {
		HeartbeatInterval Duration `toml:"heartbeat-interval"`
		HeartbeatTimeout  Duration `toml:"silence-limit"`
		// IdleTimeout is how long a caller's connection stays open without requests.
		IdleTimeout Duration `toml:"idle-limit"`
		// DrainDelay is how long a stopping instance still accepts new requests, until the load balancer has removed it.
		DrainDelay Duration `toml:"drain-delay"`
		// StopSeconds is the time in seconds from the stop signal to when the process must have ended.
		StopSeconds     float64 `toml:"stop-seconds"`
		HeartbeatFanout int     `toml:"heartbeat-fanout"`
	} `toml:"timing"`
}

// The values of Duties.Names. The platform fills them in by its own names.
const (
	UsageReporting = platform.UsageReportingDuty
	Scaling        = platform.ScalingDuty
)

// Duties holds the settings of the calls to the platform that are the duty of one instance at a time. Without names there are
// none.
type Duties struct {
	// Address is the host and port of the platform's control address.
	Address string `toml:"address"`
	// Names are the duties: UsageReporting and Scaling.
	Names []string `toml:"names"`
	// CallsPerSecond is how many calls the platform accepts from all instances together.
	CallsPerSecond float64 `toml:"calls-per-second"`
	// LeaseMillis is the time for which a holder may act after it has renewed its lease, in milliseconds.
	LeaseMillis float64 `toml:"lease-ms"`
	// WindowSeconds is the length of a usage window, and LatenessSeconds how long after its end its report is due.
	WindowSeconds   float64 `toml:"window-seconds"`
	LatenessSeconds float64 `toml:"lateness-seconds"`
}

// EngineRates holds the speed of an engine; engine.Rates, into which it is converted, describes the fields.
type EngineRates struct {
	PromptTokensPerMilli float64 `toml:"prompt-tokens-per-ms"`
	PairsMillis          float64 `toml:"million-pairs-ms"`
	StepMillis           float64 `toml:"step-ms"`
	StepMillisPerRequest float64 `toml:"step-per-request-ms"`
	ChunkTokens          float64 `toml:"chunk-tokens"`
	FirstEventMillis     float64 `toml:"first-event-ms"`
}

// Admission holds the admission limits of engines. All fields but BearableFactor are copied into the fields of the same
// names of admission.Policy; Speed is the opposite of its BasicEstimate.
type Admission struct {
	// ObjectiveShare is the maximum expected time to the first event as a fraction of the request's objective.
	ObjectiveShare float64 `toml:"objective-share"`
	// LargeShare is the lower bound of the allowed wait, as a fraction of the objective and before rank and standing
	// reduce it. Large prompts, whose reading alone uses up ObjectiveShare, are admitted by it.
	LargeShare float64 `toml:"large-share"`
	// BearableShare and SurplusShare are the maximum waits, as fractions of the objective, of requests that exceed their
	// team's share: of those within the sustainable rate, and of those beyond it.
	BearableShare float64 `toml:"bearable-share"`
	SurplusShare  float64 `toml:"surplus-share"`
	// BearableFactor is the targets' sustainable rate as a multiple of the rate that operators guarantee.
	BearableFactor float64 `toml:"bearable-factor"`
	// MemoryShare is the fraction of an engine's memory that running requests may use.
	MemoryShare float64 `toml:"memory-share"`
	// Pace lets the answers of a target that has started or recovered set the pace at which it gets requests.
	Pace bool `toml:"pace"`
	// Speed makes owners follow differences and changes of targets' speed; without it they use the basic estimate.
	Speed bool `toml:"speed"`
}

// GatewayDefaults returns the default settings of a gateway.
func GatewayDefaults() Gateway {
	gateway := Gateway{ProcessorShare: 1, Cores: 1}
	gateway.Engine = EngineRates{
		PromptTokensPerMilli: 112,
		PairsMillis:          0.2,
		StepMillis:           3.41,
		StepMillisPerRequest: 0.1,
		ChunkTokens:          1024,
		FirstEventMillis:     35,
	}
	gateway.Admission = Admission{
		ObjectiveShare: 0.75, LargeShare: 0.25, MemoryShare: 0.9, BearableShare: 0.1, SurplusShare: 0.02, BearableFactor: 1.8,
		Pace: true, Speed: true,
	}
	gateway.Duties = Duties{CallsPerSecond: 50, LeaseMillis: 3000, WindowSeconds: 5, LatenessSeconds: 10}
	gateway.Timing.HeartbeatInterval = Duration{250 * time.Millisecond}
	gateway.Timing.HeartbeatTimeout = Duration{time.Second}
	gateway.Timing.DrainDelay = Duration{2900 * time.Millisecond}
	gateway.Timing.IdleTimeout = Duration{15 * time.Second}
	gateway.Timing.HeartbeatFanout = 3
	return gateway
}

// MoreVariable is the environment variable that holds further sections of a gateway's settings, which follow those of the file.
const MoreVariable = "COLTSFOOTD_MORE_SETTINGS"

// ReadGateway reads, parses and validates a gateway's settings file and what MoreVariable adds to it. Invalid settings give
// Findings, which list all mistakes.
func ReadGateway(file string) (Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(file, string(text)+"\n"+os.Getenv(MoreVariable))
}

// ParseGateway parses and validates a gateway's settings. Invalid settings give Findings, which list all mistakes; the
// file name is used in them only.
func ParseGateway(file, text string) (Gateway, error) {
	gateway := GatewayDefaults()
	doc := decode(file, text, &gateway)
	doc.check(gateway.Instance != "", "instance", "is missing")
	doc.check(gateway.Zone != "", "zone", "is missing")
	doc.check(gateway.MemoryMB > 0, "memory-mb", "must be positive")
	addresses := map[string]string{
		"listen.callers": gateway.Listen.Callers,
		"listen.ready":   gateway.Listen.Ready,
		"listen.peers":   gateway.Listen.Peers,
		"listen.metrics": gateway.Listen.Metrics,
		"store.address":  gateway.Store.Address,
	}
	if gateway.Listen.Relay != "" {
		addresses["listen.relay"] = gateway.Listen.Relay
	}
	if len(gateway.Duties.Names) > 0 {
		addresses["duties.address"] = gateway.Duties.Address
	}
	for _, key := range sortedKeys(addresses) {
		doc.check(isAddress(addresses[key]), key, "%q is not host:port", addresses[key])
	}
	for _, seed := range gateway.Seeds {
		doc.check(isAddress(seed), "seeds", "%q is not host:port", seed)
	}
	stopTimeout := time.Duration(gateway.Timing.StopSeconds * float64(time.Second))
	doc.check(gateway.Timing.DrainDelay.Duration < stopTimeout/2, "timing.drain-delay", "must be less than half of stop-seconds")
	doc.checkDuties(gateway.Duties)
	numbers := map[string]float64{
		"processor-share":             gateway.ProcessorShare,
		"cores":                       gateway.Cores,
		"engine.prompt-tokens-per-ms": gateway.Engine.PromptTokensPerMilli,
		"engine.step-ms":              gateway.Engine.StepMillis,
		"engine.chunk-tokens":         gateway.Engine.ChunkTokens,
		"admission.objective-share":   gateway.Admission.ObjectiveShare,
		"admission.large-share":       gateway.Admission.LargeShare,
		"admission.memory-share":      gateway.Admission.MemoryShare,
		"admission.bearable-share":    gateway.Admission.BearableShare,
		"admission.surplus-share":     gateway.Admission.SurplusShare,
		"admission.bearable-factor":   gateway.Admission.BearableFactor,
		"retry.share":                 gateway.Retry.Share,
		"retry.slack":                 gateway.Retry.Slack,
		"cold.overage":                gateway.Cold.Overage,
		"cold.slack":                  gateway.Cold.Slack,
		"duties.calls-per-second":     gateway.Duties.CallsPerSecond,
		"duties.lease-ms":             gateway.Duties.LeaseMillis,
		"duties.window-seconds":       gateway.Duties.WindowSeconds,
		"duties.lateness-seconds":     gateway.Duties.LatenessSeconds,
		"timing.stop-seconds":         gateway.Timing.StopSeconds,
		"timing.heartbeat-fanout":     float64(gateway.Timing.HeartbeatFanout),
		"timing.heartbeat-interval":   gateway.Timing.HeartbeatInterval.Seconds(),
		"timing.silence-limit":        gateway.Timing.HeartbeatTimeout.Seconds(),
		"timing.idle-limit":           gateway.Timing.IdleTimeout.Seconds(),
		"timing.drain-delay":          gateway.Timing.DrainDelay.Seconds(),
	}
	for _, key := range sortedKeys(numbers) {
		doc.check(numbers[key] > 0, key, "must be positive")
	}
	return gateway, doc.err()
}

// minLeaseMillis is the shortest lease in milliseconds: the store takes up to a second for a renewal.
const minLeaseMillis = 1000

func (doc *document) checkDuties(duties Duties) {
	for _, name := range duties.Names {
		doc.check(name == UsageReporting || name == Scaling, "duties.names", "%q is neither %s nor %s", name, UsageReporting, Scaling)
	}
	doc.check(duties.LeaseMillis >= minLeaseMillis, "duties.lease-ms", "must be at least %d", minLeaseMillis)
}
