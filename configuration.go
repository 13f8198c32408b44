package coltsfootlink

import (
	"maps"
	"slices"
	"strconv"
)

// Revision numbers the accepted configurations from one.
type Revision uint64

// String returns the revision in decimal.
func (revision Revision) String() string { return strconv.FormatUint(uint64(revision), 10) }

// eraShift is the number of the low bits of a revision that hold an offset of the platform's store; the era is in those above.
const eraShift = 48

// RevisionAt returns the revision of a record at a position of the platform's store. Revisions are ordered as their positions;
// without an era, the revision is the offset.
func RevisionAt(position Position) Revision {
	return Revision(position.Era<<eraShift | position.Offset&(1<<eraShift-1))
}

// Position returns the position of which RevisionAt has returned the revision.
func (revision Revision) Position() Position {
	return Position{Era: uint64(revision) >> eraShift, Offset: uint64(revision) & (1<<eraShift - 1)}
}

// Configuration is the operators' settings for teams, pools, zones and version moves; it is immutable.
type Configuration struct {
	Revision Revision
	// Position is that of the log record that made the revision.
	Position Position
	Teams    map[TeamName]Team
	Pools    map[PoolName]Pool
	Zones    map[ZoneName]AvailabilityZone
	// tokens maps the hash of a team's token to the team.
	tokens map[string]TeamName
	// Moves holds the newest version move of each pool.
	Moves map[PoolName]Move
}

// WithRevision returns the configuration with another revision and the position of its log record.
func (configuration Configuration) WithRevision(revision Revision, position Position) Configuration {
	configuration.Revision = revision
	configuration.Position = position
	return configuration
}

// WithZone returns the configuration with a zone added or replaced.
func (configuration Configuration) WithZone(zone AvailabilityZone) Configuration {
	zones := maps.Clone(configuration.Zones)
	if zones == nil {
		zones = make(map[ZoneName]AvailabilityZone)
	}
	zones[zone.Name] = zone
	configuration.Zones = zones
	return configuration
}

// WithMove returns the configuration with a pool's move added or replaced.
func (configuration Configuration) WithMove(move Move) Configuration {
	moves := maps.Clone(configuration.Moves)
	if moves == nil {
		moves = make(map[PoolName]Move)
	}
	moves[move.Pool] = move
	configuration.Moves = moves
	return configuration
}

// WithMoves returns the configuration with the moves of another configuration, without those of pools that do not exist
// in this one.
func (configuration Configuration) WithMoves(other Configuration) Configuration {
	configuration.Moves = nil
	for _, move := range other.Moves {
		if _, found := configuration.Pools[move.Pool]; found {
			configuration = configuration.WithMove(move)
		}
	}
	return configuration
}

// WithTeam returns the configuration with a team added or replaced.
func (configuration Configuration) WithTeam(team Team) Configuration {
	return configuration.WithTeams([]Team{team})
}

// WithTeams returns the configuration with teams added or replaced.
func (configuration Configuration) WithTeams(added []Team) Configuration {
	teams := make(map[TeamName]Team, len(configuration.Teams)+len(added))
	maps.Copy(teams, configuration.Teams)
	for _, team := range added {
		teams[team.Name] = team
	}
	tokens := make(map[string]TeamName, len(teams))
	for _, team := range teams {
		tokens[team.TokenHash] = team.Name
	}
	configuration.Teams = teams
	configuration.tokens = tokens
	return configuration
}

// WithPool returns the configuration with a pool added or replaced.
func (configuration Configuration) WithPool(pool Pool) Configuration {
	pools := maps.Clone(configuration.Pools)
	if pools == nil {
		pools = make(map[PoolName]Pool)
	}
	pools[pool.Name] = pool
	configuration.Pools = pools
	return configuration
}

// TeamByToken returns the team that a token belongs to.
func (configuration Configuration) TeamByToken(token string) (Team, bool) {
	name, found := configuration.tokens[HashToken(token)]
	return configuration.Teams[name], found
}

// ZoneOut reports whether operators have taken the zone out of service.
func (configuration Configuration) ZoneOut(zone ZoneName) bool {
	return configuration.Zones[zone].Out
}

// PoolNames returns the names of the pools in alphabetical order.
func (configuration Configuration) PoolNames() []PoolName {
	return slices.Sorted(maps.Keys(configuration.Pools))
}
