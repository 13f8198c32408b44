package settings

import (
	"net"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Daemon holds the settings of a coltsfootd daemon.
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

// Listener holds the settings of one listening address of the daemon.
type Listener struct {
	Address string `toml:"address"`
	// Advertise is the address by which others reach the listener; Address if empty.
	Advertise string `toml:"advertise"`
	// Token is the secret that clients must send. It is unused for callers, who send their team's token instead.
	Token string `toml:"token"`
	// Certificate and Key name the files for TLS; TLS is off if both are empty.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority names the file with the certificate of the authority that signs the peers' certificates.
	Authority string `toml:"authority"`
}

// Platform holds the URL of the platform, which hosts the store.
type Platform struct {
	Address string `toml:"address"`
}

// Policy selects implementations by name.
type Policy struct {
	// Order is the queueing order: least-service or first-come.
	Order string `toml:"order"`
	// Placement is owner (one instance owns a shard of targets and grants permits for them) or fixed-split (each instance
	// has an equal, fixed part of every target's capacity).
	Placement string `toml:"placement"`
	// Takeover is announce (a new owner first collects the permits that are held) or blind (it grants at once).
	Takeover string `toml:"takeover"`
}

// Timing holds intervals, timeouts and a few counts; deadlines are computed from the timeouts.
type Timing struct {
	HeartbeatInterval Duration `toml:"heartbeat-interval"`
	HeartbeatTimeout  Duration `toml:"silence-limit"`
	ProbeInterval     Duration `toml:"probe-interval"`
	CounterInterval   Duration `toml:"counter-interval"`
	ListInterval      Duration `toml:"list-interval"`
	// DrainDelay is how long a stopping instance still accepts new requests, until the load balancer has removed it.
	DrainDelay Duration `toml:"drain-delay"`
	// ShutdownTimeout is how long a stopping instance waits for its running requests.
	ShutdownTimeout Duration `toml:"stop-limit"`
	// RequestTimeout gives the deadline of requests whose callers set none.
	RequestTimeout Duration `toml:"request-limit"`
	// HeartbeatFanout is the number of instances that are probed by heartbeat in each interval.
	HeartbeatFanout int `toml:"heartbeat-fanout"`
	// TimelineEvents is the maximum number of timeline events that an instance keeps.
	TimelineEvents int `toml:"timeline-events"`
}

// Seed is an instance that is known from the settings, without the platform's instance list.
type Seed struct {
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`
}

// Embedded makes the daemon run a stand-in platform and stand-in targets in its own process; nil runs none.
type Embedded struct{}

// Duration is a time.Duration that is written in TOML as text, such as "500ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration such as 500ms.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as 500ms or 2s", text)
	}
	duration.Duration = parsed
	return nil
}

// The values of the fields of Policy.
const (
	LeastService = "least-service"
	FirstCome    = "first-come"
	OwnerGrants  = "owner"
	FixedSplit   = "fixed-split"
	Announce     = "announce"
	Blind        = "blind"
)

// DaemonDefaults returns the default settings of a daemon.
func DaemonDefaults() Daemon {
	return Daemon{
		Policy: Policy{Order: LeastService, Placement: OwnerGrants, Takeover: Announce},
		Timing: Timing{
			HeartbeatInterval: Duration{500 * time.Millisecond},
			HeartbeatTimeout:  Duration{2 * time.Second},
			ProbeInterval:     Duration{time.Second},
			CounterInterval:   Duration{200 * time.Millisecond},
			ListInterval:      Duration{time.Second},
			DrainDelay:        Duration{2 * time.Second},
			ShutdownTimeout:   Duration{30 * time.Second},
			RequestTimeout:    Duration{60 * time.Second},
			HeartbeatFanout:   3,
			TimelineEvents:    4096,
		},
	}
}

// ReadDaemon reads, parses and validates a daemon's settings file. An invalid file gives Findings, which list all
// mistakes.
func ReadDaemon(file string) (Daemon, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Daemon{}, errors.Wrap(err, "settings")
	}
	return ParseDaemon(file, string(text))
}

// ParseDaemon parses and validates a daemon's settings. Invalid settings give Findings, which list all mistakes; the
// file name is used in them only.
func ParseDaemon(file, text string) (Daemon, error) {
	daemon := DaemonDefaults()
	doc := decode(file, text, &daemon)
	doc.check(daemon.Instance != "", "instance", "is missing")
	doc.check(daemon.Zone != "", "zone", "is missing")
	doc.checkListener("callers", daemon.Callers)
	doc.checkListener("operators", daemon.Operators)
	doc.checkListener("peers", daemon.Peers)
	doc.checkToken("operators", daemon.Operators)
	doc.checkToken("peers", daemon.Peers)
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
	paired := (listener.Certificate == "") == (listener.Key == "")
	doc.check(paired, key+".certificate", "certificate and key must be set together")
	doc.checkFile(key+".certificate", listener.Certificate)
	doc.checkFile(key+".key", listener.Key)
	doc.checkFile(key+".authority", listener.Authority)
}

// checkToken reports a listener that everybody may use because it has no token. On a loopback address it needs none.
func (doc *document) checkToken(key string, listener Listener) {
	host, _, _ := net.SplitHostPort(listener.Address)
	local := host == "localhost" || net.ParseIP(host).IsLoopback()
	doc.check(listener.Token != "" || local || !isAddress(listener.Address), key+".token", "is missing, and the address is not a loopback one")
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
	valid := err == nil && parsed.Scheme != "" && parsed.Host != ""
	doc.check(valid, "platform.address", "%q is not a URL", daemon.Platform.Address)
}

func (doc *document) checkPolicy(policy Policy) {
	doc.check(policy.Order == LeastService || policy.Order == FirstCome, "policy.order", "%q is neither %s nor %s", policy.Order, LeastService, FirstCome)
	doc.check(policy.Takeover == Announce || policy.Takeover == Blind, "policy.takeover", "%q is neither %s nor %s", policy.Takeover, Announce, Blind)
	doc.check(policy.Placement == OwnerGrants || policy.Placement == FixedSplit, "policy.placement", "%q is neither %s nor %s", policy.Placement, OwnerGrants, FixedSplit)
}

func (doc *document) checkTiming(timing Timing) {
	durations := map[string]Duration{
		"heartbeat-interval": timing.HeartbeatInterval,
		"silence-limit":      timing.HeartbeatTimeout,
		"probe-interval":     timing.ProbeInterval,
		"counter-interval":   timing.CounterInterval,
		"list-interval":      timing.ListInterval,
		"stop-limit":         timing.ShutdownTimeout,
		"request-limit":      timing.RequestTimeout,
	}
	for _, key := range sortedKeys(durations) {
		doc.check(durations[key].Duration > 0, "timing."+key, "must be positive")
	}
	doc.check(timing.DrainDelay.Duration >= 0, "timing.drain-delay", "must not be negative")
	doc.check(timing.HeartbeatTimeout.Duration >= 2*timing.HeartbeatInterval.Duration, "timing.silence-limit", "must be at least two heartbeat intervals")
	doc.check(timing.HeartbeatFanout > 0, "timing.heartbeat-fanout", "must be positive")
	doc.check(timing.TimelineEvents > 0, "timing.timeline-events", "must be positive")
}

func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}
