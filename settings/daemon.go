package settings

import (
	"net"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Daemon is the settings of one daemon.
type Daemon struct {
	Instance  string    `toml:"instance"`
	Zone      string    `toml:"zone"`
	Callers   Listener  `toml:"callers"`
	Operators Listener  `toml:"operators"`
	Peers     Listener  `toml:"peers"`
	Platform  Platform  `toml:"platform"`
	Policy    Policy    `toml:"policy"`
	Timing    Timing    `toml:"timing"`
	Seeds     []Seed    `toml:"seed"`
	Embedded  *Embedded `toml:"embedded"`
}

// Listener is one address on which the daemon listens.
type Listener struct {
	Address string `toml:"address"`
	// Advertise is the address that others use; the listening address if empty.
	Advertise string `toml:"advertise"`
	// Token is what clients must present; callers present their team's token instead.
	Token string `toml:"token"`
	// Certificate and Key are the files for TLS; both empty for none.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority is the file of the certificate authority that signs the peers' certificates.
	Authority string `toml:"authority"`
}

// Platform says where the store is.
type Platform struct {
	Address string `toml:"address"`
}

// Policy chooses between implementations.
type Policy struct {
	// Order is least-service or first-come.
	Order string `toml:"order"`
	// Placement is owner or fixed-split.
	Placement string `toml:"placement"`
	// Takeover is announce or blind.
	Takeover string `toml:"takeover"`
}

// Timing holds intervals and limits as spans of time; deadlines are made from them.
type Timing struct {
	HeartbeatInterval Span `toml:"heartbeat-interval"`
	SilenceLimit      Span `toml:"silence-limit"`
	ProbeInterval     Span `toml:"probe-interval"`
	CounterInterval   Span `toml:"counter-interval"`
	ListInterval      Span `toml:"list-interval"`
	// DrainDelay is how long a stopping instance still takes new requests while the balancer catches up.
	DrainDelay Span `toml:"drain-delay"`
	// StopLimit is how long a stopping instance waits for its requests.
	StopLimit Span `toml:"stop-limit"`
	// RequestLimit is the deadline of requests whose callers name none.
	RequestLimit Span `toml:"request-limit"`
	// HeartbeatFanout is the number of instances that are asked for a sign of life in each interval.
	HeartbeatFanout int `toml:"heartbeat-fanout"`
	// TimelineEvents is the number of events that an instance keeps.
	TimelineEvents int `toml:"timeline-events"`
}

// Seed is an instance that is known without the instance list.
type Seed struct {
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`
}

// Embedded says that the daemon hosts the stand-in platform and targets itself.
type Embedded struct{}

// Span is a time span in TOML, such as "500ms".
type Span struct{ time.Duration }

// UnmarshalText reads a span.
func (span *Span) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a time span such as 500ms or 2s", text)
	}
	span.Duration = parsed
	return nil
}

// The choices of a policy.
const (
	LeastService = "least-service"
	FirstCome    = "first-come"
	OwnerGrants  = "owner"
	FixedSplit   = "fixed-split"
	Announce     = "announce"
	Blind        = "blind"
)

// Defaults returns the settings of a daemon that are not set by its document.
func Defaults() Daemon {
	return Daemon{
		Policy: Policy{Order: LeastService, Placement: OwnerGrants, Takeover: Announce},
		Timing: Timing{
			HeartbeatInterval: Span{500 * time.Millisecond},
			SilenceLimit:      Span{2 * time.Second},
			ProbeInterval:     Span{time.Second},
			CounterInterval:   Span{200 * time.Millisecond},
			ListInterval:      Span{time.Second},
			DrainDelay:        Span{2 * time.Second},
			StopLimit:         Span{30 * time.Second},
			RequestLimit:      Span{60 * time.Second},
			HeartbeatFanout:   3,
			TimelineEvents:    4096,
		},
	}
}

// ReadDaemon reads and checks a daemon's settings; the error reports all findings together.
func ReadDaemon(file string) (Daemon, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Daemon{}, errors.Wrap(err, "settings")
	}
	return ParseDaemon(file, string(text))
}

// ParseDaemon parses and checks a daemon's settings; the error reports all findings together.
func ParseDaemon(file, text string) (Daemon, error) {
	daemon := Defaults()
	doc := decode(file, text, &daemon)
	doc.check(daemon.Instance != "", "instance", "is missing")
	doc.check(daemon.Zone != "", "zone", "is missing")
	doc.checkListener("callers", daemon.Callers)
	doc.checkListener("operators", daemon.Operators)
	doc.checkListener("peers", daemon.Peers)
	doc.checkPlatform(daemon)
	doc.checkPolicy(daemon.Policy)
	doc.checkTiming(daemon.Timing)
	for index, seed := range daemon.Seeds {
		key := arrayKey("seed", index)
		doc.check(seed.Instance != "", key+".instance", "is missing")
		doc.check(seed.Zone != "", key+".zone", "is missing")
		doc.check(isAddress(seed.Address), key+".address", "%q is not host:port", seed.Address)
	}
	return daemon, doc.err()
}

func (doc *document) checkListener(key string, listener Listener) {
	doc.check(isAddress(listener.Address), key+".address", "%q is not host:port", listener.Address)
	doc.check(listener.Advertise == "" || isAddress(listener.Advertise), key+".advertise", "%q is not host:port", listener.Advertise)
	both := (listener.Certificate == "") == (listener.Key == "")
	doc.check(both, key+".certificate", "certificate and key go together")
	doc.checkFile(key+".certificate", listener.Certificate)
	doc.checkFile(key+".key", listener.Key)
	doc.checkFile(key+".authority", listener.Authority)
}

func (doc *document) checkFile(key, file string) {
	if file == "" {
		return
	}
	_, err := os.Stat(file)
	doc.check(err == nil, key, "%q cannot be read", file)
}

func (doc *document) checkPlatform(daemon Daemon) {
	parsed, err := url.Parse(daemon.Platform.Address)
	good := err == nil && parsed.Scheme != "" && parsed.Host != ""
	doc.check(good, "platform.address", "%q is not a URL", daemon.Platform.Address)
}

func (doc *document) checkPolicy(policy Policy) {
	doc.check(policy.Order == LeastService || policy.Order == FirstCome, "policy.order", "%q is neither %s nor %s", policy.Order, LeastService, FirstCome)
	doc.check(policy.Takeover == Announce || policy.Takeover == Blind, "policy.takeover", "%q is neither %s nor %s", policy.Takeover, Announce, Blind)
	doc.check(policy.Placement == OwnerGrants || policy.Placement == FixedSplit, "policy.placement", "%q is neither %s nor %s", policy.Placement, OwnerGrants, FixedSplit)
}

func (doc *document) checkTiming(timing Timing) {
	spans := map[string]Span{
		"heartbeat-interval": timing.HeartbeatInterval,
		"silence-limit":      timing.SilenceLimit,
		"probe-interval":     timing.ProbeInterval,
		"counter-interval":   timing.CounterInterval,
		"list-interval":      timing.ListInterval,
		"stop-limit":         timing.StopLimit,
		"request-limit":      timing.RequestLimit,
	}
	for _, key := range sortedKeys(spans) {
		doc.check(spans[key].Duration > 0, "timing."+key, "must be positive")
	}
	doc.check(timing.DrainDelay.Duration >= 0, "timing.drain-delay", "must not be negative")
	doc.check(timing.SilenceLimit.Duration >= 2*timing.HeartbeatInterval.Duration, "timing.silence-limit", "must be at least two heartbeat intervals")
	doc.check(timing.HeartbeatFanout > 0, "timing.heartbeat-fanout", "must be positive")
	doc.check(timing.TimelineEvents > 0, "timing.timeline-events", "must be positive")
}

func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}
