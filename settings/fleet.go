package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"coltsfootlink"
)

const (
	// tokenHashLength is the number of hexadecimal digits of a SHA-256 hash.
	tokenHashLength = 64
	// defaultMaxBodyBytes is the maximum size of request bodies, in bytes, of a pool without max-body-bytes.
	defaultMaxBodyBytes = 1 << 20
	// defaultQueuePerTeam is the maximum number of waiting requests of one team on one instance, of a pool without
	// queue-per-team.
	defaultQueuePerTeam = 1024
)

// fleet is the TOML form of a fleet's configuration.
type fleet struct {
	Zones []fleetZone `toml:"availability-zone"`
	Teams []fleetTeam `toml:"team"`
	Pools []fleetPool `toml:"pool"`
	Moves []fleetMove `toml:"move"`
}

// fleetMove is the TOML form of a version move. It is written into snapshots and for peers; operators start moves by
// statements instead.
type fleetMove struct {
	Pool     string    `toml:"pool"`
	From     string    `toml:"from"`
	To       string    `toml:"to"`
	Started  uint64    `toml:"started"`
	FinishBy time.Time `toml:"finish-by"`
	State    string    `toml:"state"`
	Reason   string    `toml:"reason"`
	Rejected []string  `toml:"rejected,omitempty"`
}

type fleetZone struct {
	Name string `toml:"name"`
	Out  *bool  `toml:"out,omitempty"`
}

type fleetTeam struct {
	Name      string  `toml:"name"`
	Weight    float64 `toml:"weight"`
	TokenHash string  `toml:"token-hash"`
}

type fleetPool struct {
	Name            string       `toml:"name"`
	Kind            string       `toml:"kind"`
	ColdLimit       int          `toml:"cold-limit"`
	MaxLimit        int          `toml:"max-limit"`
	GrowthPerSecond float64      `toml:"growth-per-second"`
	MaxBodyBytes    int64        `toml:"max-body-bytes"`
	QueuePerTeam    int          `toml:"queue-per-team"`
	ShardsPerZone   int          `toml:"shards-per-zone"`
	MaxCost         float64      `toml:"max-cost"`
	EndMarker       string       `toml:"end-marker"`
	Routes          []fleetRoute `toml:"route"`
}

type fleetRoute struct {
	Path       string `toml:"path"`
	Class      string `toml:"class"`
	Repeatable *bool  `toml:"repeatable"`
}

// ParseFleet parses and validates the document of a fleet. An invalid document gives Findings, which list all mistakes.
// A zone without the key out stays in or out of service as in the previous configuration.
func ParseFleet(file, text string, previous coltsfootlink.Configuration) (coltsfootlink.Configuration, error) {
	var parsed fleet
	doc := decode(file, text, &parsed)
	if len(doc.findings) > 0 {
		// The values of a document that was not decoded completely cannot be validated.
		return coltsfootlink.Configuration{}, doc.err()
	}
	doc.check(len(parsed.Pools) > 0, "pool", "no pool is defined")
	doc.check(len(parsed.Teams) > 0, "team", "no team is defined")
	configuration := coltsfootlink.Configuration{}
	for index, zone := range parsed.Zones {
		key := arrayKey("availability-zone", index)
		doc.checkName(key, zone.Name)
		_, duplicate := configuration.Zones[coltsfootlink.ZoneName(zone.Name)]
		doc.check(!duplicate, key+".name", "%q is defined twice", zone.Name)
		configuration = configuration.WithZone(zone.zone(previous))
	}
	configuration = configuration.WithTeams(doc.teams(parsed.Teams))
	for index, pool := range parsed.Pools {
		configuration = doc.addPool(arrayKey("pool", index), pool, configuration)
	}
	for index, move := range parsed.Moves {
		configuration = doc.addMove(arrayKey("move", index), move, configuration)
	}
	return configuration, doc.err()
}

// FormatFleet returns a configuration as a TOML document that ParseFleet reads.
func FormatFleet(configuration coltsfootlink.Configuration) (string, error) {
	var formatted fleet
	for _, name := range slices.Sorted(maps.Keys(configuration.Zones)) {
		zone := configuration.Zones[name]
		formatted.Zones = append(formatted.Zones, fleetZone{Name: string(zone.Name), Out: &zone.Out})
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Teams)) {
		team := configuration.Teams[name]
		formatted.Teams = append(formatted.Teams, fleetTeam{Name: string(team.Name), Weight: team.Weight, TokenHash: team.TokenHash})
	}
	for _, name := range configuration.PoolNames() {
		formatted.Pools = append(formatted.Pools, formatPool(configuration.Pools[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Moves)) {
		formatted.Moves = append(formatted.Moves, formatMove(configuration.Moves[name]))
	}
	text, err := toml.Marshal(formatted)
	return string(text), errors.Wrap(err, "settings")
}

func (zone fleetZone) zone(previous coltsfootlink.Configuration) coltsfootlink.AvailabilityZone {
	name := coltsfootlink.ZoneName(zone.Name)
	out := previous.ZoneOut(name)
	if zone.Out != nil {
		out = *zone.Out
	}
	return coltsfootlink.AvailabilityZone{Name: name, Out: out}
}

// teams validates the teams and converts them.
func (doc *document) teams(parsed []fleetTeam) []coltsfootlink.Team {
	names := make(map[string]bool, len(parsed))
	tokens := make(map[string]string, len(parsed))
	teams := make([]coltsfootlink.Team, 0, len(parsed))
	for index, team := range parsed {
		key := arrayKey("team", index)
		hash := strings.ToLower(team.TokenHash)
		doc.checkName(key, team.Name)
		doc.check(!names[team.Name], key+".name", "%q is defined twice", team.Name)
		doc.check(team.Weight > 0, key+".weight", "must be positive")
		doc.check(len(hash) == tokenHashLength, key+".token-hash", "must be a SHA-256 hash of 64 hexadecimal digits")
		other, duplicate := tokens[hash]
		doc.check(!duplicate, key+".token-hash", "is already the token hash of team %q", other)
		names[team.Name] = true
		tokens[hash] = team.Name
		teams = append(teams, coltsfootlink.Team{Name: coltsfootlink.TeamName(team.Name), Weight: team.Weight, TokenHash: hash})
	}
	return teams
}

func (doc *document) addPool(key string, pool fleetPool, configuration coltsfootlink.Configuration) coltsfootlink.Configuration {
	name := coltsfootlink.PoolName(pool.Name)
	doc.checkName(key, pool.Name)
	_, duplicate := configuration.Pools[name]
	doc.check(!duplicate, key+".name", "%q is defined twice", pool.Name)
	kind := coltsfootlink.PoolKind(pool.Kind)
	known := kind == coltsfootlink.EnginePool || kind == coltsfootlink.PlainPool
	doc.check(known, key+".kind", "%q is neither %s nor %s", pool.Kind, coltsfootlink.EnginePool, coltsfootlink.PlainPool)
	doc.check(pool.ColdLimit > 0, key+".cold-limit", "must be positive")
	doc.check(pool.MaxLimit >= pool.ColdLimit, key+".max-limit", "must be at least cold-limit")
	doc.check(pool.GrowthPerSecond > 0, key+".growth-per-second", "must be positive")
	doc.check(pool.MaxBodyBytes >= 0, key+".max-body-bytes", "must not be negative")
	doc.check(pool.QueuePerTeam >= 0, key+".queue-per-team", "must not be negative")
	doc.check(pool.ShardsPerZone >= 0, key+".shards-per-zone", "must not be negative")
	doc.check(pool.MaxCost > 0, key+".max-cost", "must be positive")
	doc.check(len(pool.Routes) > 0, key+".route", "no route is defined")
	built := pool.pool()
	for index, route := range pool.Routes {
		built = doc.addRoute(fmt.Sprintf("%s.%s", key, arrayKey("route", index)), route, built)
	}
	return configuration.WithPool(built)
}

func (doc *document) addRoute(key string, route fleetRoute, pool coltsfootlink.Pool) coltsfootlink.Pool {
	class := cmp.Or(coltsfootlink.Class(route.Class), coltsfootlink.Interactive)
	path := strings.Trim(route.Path, "/")
	doc.check(path != "", key+".path", "is missing")
	_, duplicate := pool.Route(path)
	doc.check(!duplicate, key+".path", "%q is defined twice", path)
	known := class == coltsfootlink.Interactive || class == coltsfootlink.Bulk
	doc.check(known, key+".class", "%q is neither %s nor %s", class, coltsfootlink.Interactive, coltsfootlink.Bulk)
	doc.check(route.Repeatable != nil, key+".repeatable", "is missing: set whether a call may be repeated (true or false)")
	repeatable := route.Repeatable != nil && *route.Repeatable
	return pool.WithRoute(coltsfootlink.Route{Path: path, Class: class, Repeatable: repeatable})
}

func (doc *document) addMove(key string, move fleetMove, configuration coltsfootlink.Configuration) coltsfootlink.Configuration {
	pool := coltsfootlink.PoolName(move.Pool)
	_, found := configuration.Pools[pool]
	doc.check(found, key+".pool", "pool %q is not defined", move.Pool)
	return configuration.WithMove(coltsfootlink.Move{
		Pool:     pool,
		From:     coltsfootlink.Version(move.From),
		To:       coltsfootlink.Version(move.To),
		Started:  coltsfootlink.Revision(move.Started),
		FinishBy: move.FinishBy,
		State:    coltsfootlink.MoveState(move.State),
		Reason:   move.Reason,
		Rejected: convertVersions[coltsfootlink.Version](move.Rejected),
	})
}

func formatMove(move coltsfootlink.Move) fleetMove {
	return fleetMove{
		Pool:     string(move.Pool),
		From:     string(move.From),
		To:       string(move.To),
		Started:  uint64(move.Started),
		FinishBy: move.FinishBy.UTC(),
		State:    string(move.State),
		Reason:   move.Reason,
		Rejected: convertVersions[string](move.Rejected),
	}
}

// convertVersions converts between the two forms of a list of versions; an empty list becomes nil.
func convertVersions[To, From ~string](versions []From) []To {
	var converted []To
	for _, version := range versions {
		converted = append(converted, To(version))
	}
	return converted
}

func (pool fleetPool) pool() coltsfootlink.Pool {
	return coltsfootlink.Pool{
		Name:            coltsfootlink.PoolName(pool.Name),
		Kind:            coltsfootlink.PoolKind(pool.Kind),
		ColdLimit:       pool.ColdLimit,
		MaxLimit:        pool.MaxLimit,
		GrowthPerSecond: pool.GrowthPerSecond,
		MaxBodyBytes:    cmp.Or(pool.MaxBodyBytes, defaultMaxBodyBytes),
		QueuePerTeam:    cmp.Or(pool.QueuePerTeam, defaultQueuePerTeam),
		ShardsPerZone:   cmp.Or(pool.ShardsPerZone, 1),
		MaxCost:         pool.MaxCost,
		EndMarker:       pool.EndMarker,
	}
}

func formatPool(pool coltsfootlink.Pool) fleetPool {
	formatted := fleetPool{
		Name:            string(pool.Name),
		Kind:            string(pool.Kind),
		ColdLimit:       pool.ColdLimit,
		MaxLimit:        pool.MaxLimit,
		GrowthPerSecond: pool.GrowthPerSecond,
		MaxBodyBytes:    pool.MaxBodyBytes,
		QueuePerTeam:    pool.QueuePerTeam,
		ShardsPerZone:   pool.ShardsPerZone,
		MaxCost:         pool.MaxCost,
		EndMarker:       pool.EndMarker,
	}
	for _, route := range pool.Routes {
		formatted.Routes = append(formatted.Routes, fleetRoute{Path: route.Path, Class: string(route.Class), Repeatable: &route.Repeatable})
	}
	return formatted
}

// checkName adds a finding unless the name is in kebab case.
func (doc *document) checkName(key, name string) {
	valid := name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == "" &&
		!strings.HasPrefix(name, "-") && !strings.HasSuffix(name, "-")
	doc.check(valid, key+".name", "%q is not a name in kebab case", name)
}

func arrayKey(name string, index int) string { return fmt.Sprintf("%s[%d]", name, index) }

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
