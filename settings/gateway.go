package settings

import (
	"os"
	"time"
)

// Gateway is the settings of a daemon on the users' platform; deploy/coltsfootd.toml is their template.
type Gateway struct {
	Instance string   `toml:"instance"`
	Zone     string   `toml:"zone"`
	Seeds    []string `toml:"seeds"`
	// MemoryMB is the memory that the process may have, in megabytes.
	MemoryMB float64 `toml:"memory-mb"`
	// ProcessorShare is the part of a core that the process may have, and Cores how many times as fast it is.
	ProcessorShare float64 `toml:"processor-share"`
	Cores          float64 `toml:"cores"`
	Listen         struct {
		Callers string `toml:"callers"`
		Ready   string `toml:"ready"`
		Peers   string `toml:"peers"`
		Metrics string `toml:"metrics"`
		// Relay is where other instances pass callers' connections on, by the same port on all hosts; nothing is passed
		// on if empty.
		Relay string `toml:"relay"`
	} `toml:"listen"`
	Store struct {
		Address string `toml:"address"`
	} `toml:"store"`
	Retry struct {
		// Share is the part of the requests that the fleet may send again, Slack what may come on top in a window.
		Share float64 `toml:"share"`
		Slack float64 `toml:"slack"`
	} `toml:"retry"`
	Cold struct {
		// Overage and Slack allow more requests a second than a cold target's pace: pace x overage + slack.
		Overage float64 `toml:"overage"`
		Slack   float64 `toml:"slack"`
	} `toml:"cold"`
	Engine    EngineRates `toml:"engine"`
	Admission Admission   `toml:"admission"`
	Timing    struct {
		HeartbeatInterval Span `toml:"heartbeat-interval"`
		SilenceLimit      Span `toml:"silence-limit"`
		// IdleLimit is how long a caller's connection without requests stays open.
		IdleLimit Span `toml:"idle-limit"`
		// DrainDelay is how long a stopping instance takes new requests while the balancer catches up.
		DrainDelay Span `toml:"drain-delay"`
		// StopSeconds is how long after the order to stop the process may live, in seconds.
		StopSeconds     float64 `toml:"stop-seconds"`
		HeartbeatFanout int     `toml:"heartbeat-fanout"`
	} `toml:"timing"`
}

// EngineRates is the pace of an engine.
type EngineRates struct {
	PromptTokensPerMilli float64 `toml:"prompt-tokens-per-ms"`
	PairsMillis          float64 `toml:"million-pairs-ms"`
	StepMillis           float64 `toml:"step-ms"`
	StepMillisPerRun     float64 `toml:"step-per-request-ms"`
	ChunkTokens          float64 `toml:"chunk-tokens"`
	FirstMillis          float64 `toml:"first-event-ms"`
}

// Admission says how much is let in to an engine.
type Admission struct {
	// ObjectiveShare is the part of the time to the first event that the expected time may take.
	ObjectiveShare float64 `toml:"objective-share"`
	// LargeShare is the same for the wait before a prompt that takes longer to read than that.
	LargeShare float64 `toml:"large-share"`
	// BearableShare and SurplusShare are the part of the objective that requests beyond their team's share may wait.
	BearableShare float64 `toml:"bearable-share"`
	SurplusShare  float64 `toml:"surplus-share"`
	// BearableFactor is what the targets can do over what the operators promise.
	BearableFactor float64 `toml:"bearable-factor"`
	// MemoryShare is the part of an engine's memory that running requests may take.
	MemoryShare float64 `toml:"memory-share"`
}

// GatewayDefaults returns the settings that a document need not set.
func GatewayDefaults() Gateway {
	gateway := Gateway{ProcessorShare: 1, Cores: 1}
	gateway.Engine = EngineRates{
		PromptTokensPerMilli: 112,
		PairsMillis:          0.2,
		StepMillis:           3.41,
		StepMillisPerRun:     0.1,
		ChunkTokens:          1024,
		FirstMillis:          35,
	}
	gateway.Admission = Admission{ObjectiveShare: 0.75, LargeShare: 0.25, MemoryShare: 0.9, BearableShare: 0.1, SurplusShare: 0.02, BearableFactor: 1.8}
	gateway.Timing.HeartbeatInterval = Span{250 * time.Millisecond}
	gateway.Timing.SilenceLimit = Span{time.Second}
	gateway.Timing.DrainDelay = Span{2900 * time.Millisecond}
	gateway.Timing.IdleLimit = Span{15 * time.Second}
	gateway.Timing.HeartbeatFanout = 3
	return gateway
}

// ReadGateway reads and checks a gateway's settings; the error reports all findings together.
func ReadGateway(file string) (Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(file, string(text))
}

// ParseGateway parses and checks a gateway's settings; the error reports all findings together.
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
	for _, key := range sortedKeys(addresses) {
		doc.check(isAddress(addresses[key]), key, "%q is not host:port", addresses[key])
	}
	for _, seed := range gateway.Seeds {
		doc.check(isAddress(seed), "seeds", "%q is not host:port", seed)
	}
	stopSpan := time.Duration(gateway.Timing.StopSeconds * float64(time.Second))
	doc.check(gateway.Timing.DrainDelay.Duration < stopSpan/2, "timing.drain-delay", "must be less than half of stop-seconds")
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
		"timing.stop-seconds":         gateway.Timing.StopSeconds,
		"timing.heartbeat-fanout":     float64(gateway.Timing.HeartbeatFanout),
		"timing.heartbeat-interval":   gateway.Timing.HeartbeatInterval.Seconds(),
		"timing.silence-limit":        gateway.Timing.SilenceLimit.Seconds(),
		"timing.idle-limit":           gateway.Timing.IdleLimit.Seconds(),
		"timing.drain-delay":          gateway.Timing.DrainDelay.Seconds(),
	}
	for _, key := range sortedKeys(numbers) {
		doc.check(numbers[key] > 0, key, "must be positive")
	}
	return gateway, doc.err()
}
