package coltsfootlink

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// CatalogStream names one of the platform's record streams from which the catalog is built.
type CatalogStream string

const (
	// OperatorStream holds operators' orders: routing tables, zones out of service and version moves.
	OperatorStream CatalogStream = "operator"
	// TargetStream holds the records in which targets register themselves.
	TargetStream CatalogStream = "targets"
)

// CatalogRecord is the newest record of one key of a stream.
type CatalogRecord struct {
	Stream   CatalogStream
	Position Position
	// Origin is the position of the first record with this move order, if the order was written again after a restore of the
	// store; zero otherwise. It identifies the order.
	Origin Position
	Key    string
	// Value is the record as the platform encodes it; empty if the key was removed.
	Value []byte
	// Removed indicates that the key was deleted.
	Removed bool
}

// StreamEra is what instances know of the store's current era for one stream.
type StreamEra struct {
	// Begun is the lowest end up to which the stream was read in the era. Records before it may be those of the copy from
	// which the store was restored; records from it on were written after the restore.
	Begun Position
	// SettleBy is the deadline until which what was known before the restore may be written again; zero if the restore was
	// not seen.
	SettleBy time.Time
	// Confirmed indicates that all keys were read after this deadline.
	Confirmed bool
}

// WithMerged returns what two instances know together: the later era, in it the lower end and the earlier deadline, and
// whether either has confirmed it.
func (era StreamEra) WithMerged(other StreamEra) StreamEra {
	switch {
	case other.Begun.Era > era.Begun.Era:
		return other
	case other.Begun.Era < era.Begun.Era:
		return era
	}
	if other.Begun.Before(era.Begun) {
		era.Begun = other.Begun
	}
	if era.SettleBy.IsZero() || !other.SettleBy.IsZero() && other.SettleBy.Before(era.SettleBy) {
		era.SettleBy = other.SettleBy
	}
	era.Confirmed = era.Confirmed || other.Confirmed
	return era
}

// Fact is the decoded content of one catalog record.
type Fact interface{ isFact() }

// TableFact puts a routing table in force.
type TableFact struct{ Table RoutingTable }

// TargetFact announces a target.
type TargetFact struct {
	Target Target
	// ColdRemaining is how long the target remains in cold start, counted from when it reported this.
	ColdRemaining time.Duration
}

// ZoneOutFact takes a zone out of service: it gets no new work.
type ZoneOutFact struct{ Zone ZoneName }

// MoveFact orders that the traffic of a pool be moved to another version.
type MoveFact struct {
	Pool PoolName
	To   Version
	// Started is the revision of the order; that of its first record if the order was written again after a restore.
	Started Revision
	// TimeLimit is how long the move may take, counted from the order.
	TimeLimit time.Duration
}

// IsSameOrder reports whether both facts order the same, apart from what identifies the order.
func (fact MoveFact) IsSameOrder(other MoveFact) bool {
	fact.Started = other.Started
	return fact == other
}

func (MoveFact) isFact()    {}
func (TableFact) isFact()   {}
func (TargetFact) isFact()  {}
func (ZoneOutFact) isFact() {}

// FactDecoder decodes the platform's records.
type FactDecoder interface {
	// Decode returns the fact in a record; an error if the record cannot be decoded or holds no usable fact.
	Decode(record CatalogRecord) (Fact, error)
}

// Catalog is an instance's copy of the platform's routing table, targets, zones out of service and version moves;
// it is immutable.
type Catalog struct {
	// TableLoaded indicates that a routing table has been read.
	TableLoaded bool
	Table       RoutingTable
	Targets     map[TargetName]Target
	// ZonesOut are the zones out of service; they get no new work.
	ZonesOut map[ZoneName]bool
	// Moves are the operators' orders to move pools to other versions, with their deadlines.
	Moves map[PoolName]Move
}

// WithTable returns the catalog with another routing table.
func (catalog Catalog) WithTable(table RoutingTable) Catalog {
	catalog.TableLoaded = true
	catalog.Table = table
	return catalog
}

// WithTarget returns the catalog with a target added or replaced.
func (catalog Catalog) WithTarget(target Target) Catalog {
	targets := maps.Clone(catalog.Targets)
	if targets == nil {
		targets = make(map[TargetName]Target)
	}
	targets[target.Name] = target
	catalog.Targets = targets
	return catalog
}

// WithoutTarget returns the catalog without a target.
func (catalog Catalog) WithoutTarget(name TargetName) Catalog {
	targets := maps.Clone(catalog.Targets)
	delete(targets, name)
	catalog.Targets = targets
	return catalog
}

// WithTargets returns the catalog with these targets and no others; the caller must not change the map afterwards.
func (catalog Catalog) WithTargets(targets map[TargetName]Target) Catalog {
	catalog.Targets = targets
	return catalog
}

// WithZoneOut returns the catalog with a zone taken out of service or returned to service.
func (catalog Catalog) WithZoneOut(zone ZoneName, out bool) Catalog {
	zones := maps.Clone(catalog.ZonesOut)
	if zones == nil {
		zones = make(map[ZoneName]bool)
	}
	if out {
		zones[zone] = true
	} else {
		delete(zones, zone)
	}
	catalog.ZonesOut = zones
	return catalog
}

// WithMove returns the catalog with a pool's move order added or replaced.
func (catalog Catalog) WithMove(move Move) Catalog {
	moves := maps.Clone(catalog.Moves)
	if moves == nil {
		moves = make(map[PoolName]Move)
	}
	moves[move.Pool] = move
	catalog.Moves = moves
	return catalog
}

// WithoutMove returns the catalog without a pool's move order.
func (catalog Catalog) WithoutMove(pool PoolName) Catalog {
	moves := maps.Clone(catalog.Moves)
	delete(moves, pool)
	catalog.Moves = moves
	return catalog
}

// Signature returns a hash of the targets, zones out of service, moves and the version of the routing table. Instances
// compare signatures to find out whether their catalogs agree.
func (catalog Catalog) Signature() uint64 {
	signature := xxhash.Sum64String("table " + strconv.FormatUint(catalog.Table.Version, 10))
	for zone := range catalog.ZonesOut {
		signature ^= xxhash.Sum64String("zone " + string(zone))
	}
	for _, target := range catalog.Targets {
		signature ^= target.signature()
	}
	for _, move := range catalog.Moves {
		order := strconv.FormatUint(move.Identity().Position().Offset, 10)
		if move.Started != move.Identity() {
			order += " " + move.Started.String()
		}
		signature ^= xxhash.Sum64String("move " + string(move.Pool) + " " + string(move.To) + " " + order)
	}
	return signature
}

// InService returns the versions that serve a pool when a move of it is ordered and no earlier one is known: those with targets,
// but the ordered one only if there are no others. They are sorted; none are returned if no targets are known.
func (catalog Catalog) InService(move Move) []Version {
	var versions []Version
	ordered := false
	for _, target := range catalog.Targets {
		switch {
		case target.Pool != move.Pool:
		case target.Version == move.To:
			ordered = true
		case !slices.Contains(versions, target.Version):
			versions = append(versions, target.Version)
		}
	}
	if versions == nil && ordered {
		return []Version{move.To}
	}
	slices.Sort(versions)
	return versions
}

// Usable reports whether a target may get new work.
func (catalog Catalog) Usable(target Target) bool {
	return !target.Leaving && !catalog.ZonesOut[target.Zone]
}

// CatalogBatch is the result of one read of a stream.
type CatalogBatch struct {
	Records []CatalogRecord
	// End is the position at which the next read starts.
	End Position
	// Unreadable is the number of records that could not be decoded.
	Unreadable int
}

// ErrRecordsGone indicates that the stream dropped records before they were read, or that the store was restored from an
// earlier copy since the position from which they were to be read.
var ErrRecordsGone = errors.New("records were dropped before they were read")

// CatalogSource reads the platform's catalog streams.
type CatalogSource interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, stream CatalogStream) (CatalogBatch, error)
	// Follow returns the records from a position on; if there are none, it waits for the first one, at most for the
	// given duration. It returns ErrRecordsGone if records from that position on are gone and Newest has to be read again.
	Follow(ctx context.Context, stream CatalogStream, from Position, wait time.Duration) (CatalogBatch, error)
}
