package queue

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// PermitSet holds the permits of an entry instance and the shard owners that it knows; it is immutable.
type PermitSet struct {
	permits *immutable.SortedMap[permitKey, coltsfootlink.Permit]
	owners  *immutable.SortedMap[string, ShardOwner]
}

// ShardOwner is the newest owner of a shard that an entry instance knows.
type ShardOwner struct {
	Owner coltsfootlink.InstanceName
	Epoch coltsfootlink.Epoch
	// LastSerial is the highest serial of the permits received in the epoch.
	LastSerial uint64
}

type permitKey struct {
	shard string
	id    coltsfootlink.PermitID
}

type permitComparer struct{}

// Compare orders permits by shard, epoch and serial.
func (permitComparer) Compare(left, right permitKey) int {
	return cmp.Or(
		cmp.Compare(left.shard, right.shard),
		cmp.Compare(left.id.Epoch, right.id.Epoch),
		cmp.Compare(left.id.Serial, right.id.Serial),
	)
}

// NewPermitSet returns a set without permits and owners.
func NewPermitSet() PermitSet {
	return PermitSet{
		permits: immutable.NewSortedMap[permitKey, coltsfootlink.Permit](permitComparer{}),
		owners:  immutable.NewSortedMap[string, ShardOwner](nil),
	}
}

func (set PermitSet) WithPermit(permit coltsfootlink.Permit) PermitSet {
	set.permits = set.permits.Set(keyOf(permit), permit)
	return set
}

func (set PermitSet) WithoutPermit(permit coltsfootlink.Permit) PermitSet {
	set.permits = set.permits.Delete(keyOf(permit))
	return set
}

// WithOwner records the owner that a takeover announces, unless an owner of the same or a later epoch is known.
func (set PermitSet) WithOwner(takeover coltsfootlink.Takeover) PermitSet {
	known := set.Owner(takeover.Shard)
	if takeover.Epoch <= known.Epoch {
		return set
	}
	owner := ShardOwner{Owner: takeover.Owner, Epoch: takeover.Epoch}
	set.owners = set.owners.Set(takeover.Shard.String(), owner)
	return set
}

// WithoutOwner removes an instance that has reported not to be the shard's owner. Its epoch is kept, so that only an
// owner of a later epoch replaces it.
func (set PermitSet) WithoutOwner(shard coltsfootlink.Shard, owner coltsfootlink.InstanceName) PermitSet {
	known := set.Owner(shard)
	if known.Owner != owner {
		return set
	}
	known.Owner = ""
	set.owners = set.owners.Set(shard.String(), known)
	return set
}

// WithSeen records that a permit has been received; false if its epoch is not the newest.
func (set PermitSet) WithSeen(permit coltsfootlink.Permit) (PermitSet, bool) {
	known := set.Owner(permit.Shard)
	if permit.ID.Epoch != known.Epoch {
		return set, false
	}
	known.LastSerial = max(known.LastSerial, permit.ID.Serial)
	set.owners = set.owners.Set(permit.Shard.String(), known)
	return set, true
}

// Owner returns the newest known owner of a shard; its epoch is zero if none is known.
func (set PermitSet) Owner(shard coltsfootlink.Shard) ShardOwner {
	owner, _ := set.owners.Get(shard.String())
	return owner
}

// Holdings returns the message that lists the permits held for a shard. It matches permits by pool, zone and slice, of
// all epochs.
func (set PermitSet) Holdings(shard coltsfootlink.Shard) coltsfootlink.Holdings {
	owner := set.Owner(shard)
	holdings := coltsfootlink.Holdings{Shard: shard, Epoch: owner.Epoch, LastSerial: owner.LastSerial}
	for iterator := set.permits.Iterator(); !iterator.Done(); {
		_, permit, _ := iterator.Next()
		if permit.Shard.Pool == shard.Pool && permit.Shard.Zone == shard.Zone && permit.Shard.Slice == shard.Slice {
			holdings.Permits = append(holdings.Permits, permit)
		}
	}
	return holdings
}

// Len returns the number of permits.
func (set PermitSet) Len() int { return set.permits.Len() }

func keyOf(permit coltsfootlink.Permit) permitKey {
	return permitKey{shard: permit.Shard.String(), id: permit.ID}
}
