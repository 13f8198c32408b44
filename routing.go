package coltsfootlink

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// RequestKind determines how often a request may run.
type RequestKind string

const (
	// SafeRequest may run more than once.
	SafeRequest RequestKind = "safe"
	// UnsafeRequest runs at most once.
	UnsafeRequest RequestKind = "unsafe"
	// StreamRequest is answered by a series of events; it runs at most once unless the rule makes it resumable.
	StreamRequest RequestKind = "stream"
)

// Split is one of the pools that share the requests of a rule.
type Split struct {
	Pool PoolName
	// Weight divided by the sum of all weights is the pool's fraction of the requests.
	Weight float64
}

// RoutingRule determines how requests to one host under one path prefix are routed.
type RoutingRule struct {
	Name string
	Host string
	// Prefix is the path prefix of the requests; it begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Splits contains at least one pool.
	Splits []Split
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer, or to a stream's first event, within which a response
	// has its full value.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets to which one request is sent.
	MaxAttempts int
	// Priority is the priority of the requests; lower values are served first, zero is the highest priority.
	Priority int
	// Public requests need no API key.
	Public bool
	// Resumable streams may be resumed on another target after the last event received.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (rule RoutingRule) Repeatable() bool {
	return rule.Kind == SafeRequest || rule.Kind == StreamRequest && rule.Resumable
}

// routesTo reports whether the rule sends requests to a pool.
func (rule RoutingRule) routesTo(pool PoolName) bool {
	return slices.ContainsFunc(rule.Splits, func(split Split) bool { return split.Pool == pool })
}

// Pool selects a pool by weight, for a random number from 0 (inclusive) to 1 (exclusive).
func (rule RoutingRule) Pool(draw float64) PoolName {
	var sum float64
	for _, split := range rule.Splits {
		sum += split.Weight
	}
	rest := draw * sum
	for _, split := range rule.Splits {
		rest -= split.Weight
		if rest < 0 {
			return split.Pool
		}
	}
	return rule.Splits[len(rule.Splits)-1].Pool
}

// PoolTraits are the properties that all targets of a pool have in common.
type PoolTraits struct {
	Name PoolName
	// ConnectionLimit is the maximum number of connections that a target accepts from all instances together.
	ConnectionLimit int
	// ColdStartDuration is the duration of a target's cold start.
	ColdStartDuration time.Duration
	// ColdPerSecond is the number of requests per second that a cold target can take; zero if cold targets need no
	// special treatment.
	ColdPerSecond float64
	// Engine reports whether the targets are model engines.
	Engine bool
	// MemoryTokens is the number of tokens that fit into an engine's memory.
	MemoryTokens int
	// Scale is the range of the number of targets; the zero value if it cannot be ordered.
	Scale ScaleRange
}

// CallerLimits limits what callers may send.
type CallerLimits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
}

// RoutingTable is one version of the operators' routing configuration; it is immutable.
type RoutingTable struct {
	Version uint64
	Limits  CallerLimits
	// TokensPerSecond is the approximate output rate of all engines together.
	TokensPerSecond float64

	rules map[string][]RoutingRule
	pools map[PoolName]PoolTraits
	// keysRequired indicates that the configuration has teams, whether or not any of them has a key left.
	keysRequired bool
	keys         map[string]TeamName
	// priorities are the priorities of teams; they override those of rules.
	priorities map[TeamName]int
}

// WithRules returns the table with these rules and no others.
func (table RoutingTable) WithRules(rules []RoutingRule) RoutingTable {
	table.rules = make(map[string][]RoutingRule)
	for _, rule := range rules {
		table.rules[rule.Host] = append(table.rules[rule.Host], rule)
	}
	for _, hostRules := range table.rules {
		slices.SortStableFunc(hostRules, func(left, right RoutingRule) int { return len(right.Prefix) - len(left.Prefix) })
	}
	return table
}

// WithPool returns the table with a pool added or replaced.
func (table RoutingTable) WithPool(pool PoolTraits) RoutingTable {
	pools := maps.Clone(table.pools)
	if pools == nil {
		pools = make(map[PoolName]PoolTraits)
	}
	pools[pool.Name] = pool
	table.pools = pools
	return table
}

// WithKeysRequired returns the table of a configuration with teams: requests need an API key unless their rule is public.
func (table RoutingTable) WithKeysRequired() RoutingTable {
	table.keysRequired = true
	return table
}

// WithKeys returns the table with a team and its API keys added. Empty keys are left out, because requests without a key have
// an empty one.
func (table RoutingTable) WithKeys(team TeamName, keys []string) RoutingTable {
	table = table.WithKeysRequired()
	owners := maps.Clone(table.keys)
	if owners == nil {
		owners = make(map[string]TeamName)
	}
	for _, key := range keys {
		if key != "" {
			owners[key] = team
		}
	}
	table.keys = owners
	return table
}

// WithPriority returns the table with the priority of a team, which overrides those of rules.
func (table RoutingTable) WithPriority(team TeamName, priority int) RoutingTable {
	priorities := maps.Clone(table.priorities)
	if priorities == nil {
		priorities = make(map[TeamName]int)
	}
	priorities[team] = priority
	table.priorities = priorities
	return table
}

// Rank returns the number of priorities in the pool that are served before that of a team's request.
func (table RoutingTable) Rank(pool PoolName, rule RoutingRule, team TeamName) int {
	priority := table.priority(rule, team)
	servedBefore := make(map[int]bool)
	teamsUsePool := false
	for _, rules := range table.rules {
		for _, other := range rules {
			switch {
			case !other.routesTo(pool):
			case len(table.priorities) == 0 || other.Public:
				servedBefore[other.Priority] = other.Priority < priority
			default:
				teamsUsePool = true
			}
		}
	}
	if teamsUsePool {
		for _, other := range table.priorities {
			servedBefore[other] = other < priority
		}
	}
	rank := 0
	for _, before := range servedBefore {
		if before {
			rank++
		}
	}
	return rank
}

func (table RoutingTable) priority(rule RoutingRule, team TeamName) int {
	if priority, found := table.priorities[team]; found {
		return priority
	}
	return rule.Priority
}

// Match returns the rule of the host with the longest prefix of the path.
func (table RoutingTable) Match(host, path string) (RoutingRule, bool) {
	for _, rule := range table.rules[host] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule, true
		}
	}
	return RoutingRule{}, false
}

// Team returns the team that an API key belongs to.
func (table RoutingTable) Team(key string) (TeamName, bool) {
	team, found := table.keys[key]
	return team, found
}

// HasTeam reports whether a team has an API key.
func (table RoutingTable) HasTeam(name TeamName) bool {
	for _, team := range table.keys {
		if team == name {
			return true
		}
	}
	return false
}

// Pool returns the traits of a pool.
func (table RoutingTable) Pool(name PoolName) (PoolTraits, bool) {
	pool, found := table.pools[name]
	return pool, found
}

// KeysRequired reports whether requests need an API key unless their rule is public.
func (table RoutingTable) KeysRequired() bool { return table.keysRequired }
