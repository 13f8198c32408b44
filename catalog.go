package coltsfootlink

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// CatalogStream names one of the platform's streams of facts.
type CatalogStream string

const (
	// OperatorStream has what operators order.
	OperatorStream CatalogStream = "operator"
	// TargetStream has what targets say of themselves.
	TargetStream CatalogStream = "targets"
)

// CatalogRecord is the newest record of one key of a stream.
type CatalogRecord struct {
	Stream CatalogStream
	Offset uint64
	Key    string
	// Value is the record as the platform encodes it; empty if the key was removed.
	Value []byte
	// Removed says that the key is no longer there.
	Removed bool
}

// Fact is what one record says.
type Fact interface{ isFact() }

// TableFact says that a routing table is in force.
type TableFact struct{ Table RoutingTable }

// TargetFact says that a target exists.
type TargetFact struct {
	Target Target
	// ColdSpan is how long the target stays cold, counted from when it said so.
	ColdSpan time.Duration
}

// ZoneOutFact says that a zone is to get no new work.
type ZoneOutFact struct{ Zone ZoneName }

// MoveFact says that the traffic of a pool is to be moved to another version.
type MoveFact struct {
	Pool PoolName
	To   Version
	// Started identifies the order.
	Started Revision
	// Span is how long the move may take, counted from the order.
	Span time.Duration
}

func (MoveFact) isFact()    {}
func (TableFact) isFact()   {}
func (TargetFact) isFact()  {}
func (ZoneOutFact) isFact() {}

// FactDecoder reads the platform's records.
type FactDecoder interface {
	// Decode returns what a record says; an error if it says nothing that can be used.
	Decode(record CatalogRecord) (Fact, error)
}

// Catalog is what an instance knows from the platform; it is not changed once made.
type Catalog struct {
	// Known says that a routing table has been read.
	Known   bool
	Table   RoutingTable
	Targets map[TargetName]Target
	// ZonesOut are the zones that get no new work.
	ZonesOut map[ZoneName]bool
	// Moves are the operators' orders to move pools to other versions, and by when.
	Moves map[PoolName]Move
}

// WithTable returns the catalog with another routing table.
func (catalog Catalog) WithTable(table RoutingTable) Catalog {
	catalog.Known = true
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

// WithTargets returns the catalog with these targets and no others; they are not changed afterwards.
func (catalog Catalog) WithTargets(targets map[TargetName]Target) Catalog {
	catalog.Targets = targets
	return catalog
}

// WithZoneOut returns the catalog with a zone taken out or brought back.
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

// WithMove returns the catalog with a pool's order to move added or replaced.
func (catalog Catalog) WithMove(move Move) Catalog {
	moves := maps.Clone(catalog.Moves)
	if moves == nil {
		moves = make(map[PoolName]Move)
	}
	moves[move.Pool] = move
	catalog.Moves = moves
	return catalog
}

// WithoutMove returns the catalog without a pool's order to move.
func (catalog Catalog) WithoutMove(pool PoolName) Catalog {
	moves := maps.Clone(catalog.Moves)
	delete(moves, pool)
	catalog.Moves = moves
	return catalog
}

// Signature is the same for catalogs that say the same of targets, zones, moves and the version of the table.
func (catalog Catalog) Signature() uint64 {
	signature := xxhash.Sum64String("table " + strconv.FormatUint(catalog.Table.Version, 10))
	for zone := range catalog.ZonesOut {
		signature ^= xxhash.Sum64String("zone " + string(zone))
	}
	for _, target := range catalog.Targets {
		signature ^= target.signature()
	}
	for _, move := range catalog.Moves {
		signature ^= xxhash.Sum64String("move " + string(move.Pool) + " " + string(move.To) + " " + move.Started.String())
	}
	return signature
}

// Usable says whether a target may get new work.
func (catalog Catalog) Usable(target Target) bool {
	return !target.Leaving && !catalog.ZonesOut[target.Zone]
}

// CatalogBatch is what one read of a stream found.
type CatalogBatch struct {
	Records []CatalogRecord
	// End is the offset at which the next read goes on.
	End uint64
	// Unreadable is the number of records that could not be read.
	Unreadable int
}

// ErrRecordsGone tells that records were dropped before they were read.
var ErrRecordsGone = errors.New("records were dropped before they were read")

// CatalogSource reads the platform's streams of facts.
type CatalogSource interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, stream CatalogStream) (CatalogBatch, error)
	// Follow returns the records from an offset on; if there are none, it waits for the first one.
	// ErrRecordsGone tells that Newest has to be read again.
	Follow(ctx context.Context, stream CatalogStream, from uint64, wait time.Duration) (CatalogBatch, error)
}
