package queue

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Held is the permits that an entry instance holds and the owners that it knows; it is immutable.
type Held struct {
	permits *immutable.SortedMap[heldKey, coltsfootlink.Permit]
	owners  *immutable.SortedMap[string, ShardOwner]
}

// ShardOwner is the newest owner of a shard that an entry instance has heard of.
type ShardOwner struct {
	Owner coltsfootlink.InstanceName
	Epoch coltsfootlink.Epoch
	// LastSerial is the newest permit seen of the epoch.
	LastSerial uint64
}

type heldKey struct {
	shard string
	id    coltsfootlink.PermitID
}

type heldComparer struct{}

// Compare orders permits by shard, epoch and serial.
func (heldComparer) Compare(left, right heldKey) int {
	return cmp.Or(
		cmp.Compare(left.shard, right.shard),
		cmp.Compare(left.id.Epoch, right.id.Epoch),
		cmp.Compare(left.id.Serial, right.id.Serial),
	)
}

// NewHeld returns a state without permits.
func NewHeld() Held {
	return Held{
		permits: immutable.NewSortedMap[heldKey, coltsfootlink.Permit](heldComparer{}),
		owners:  immutable.NewSortedMap[string, ShardOwner](nil),
	}
}

// WithPermit adds a permit.
func (held Held) WithPermit(permit coltsfootlink.Permit) Held {
	held.permits = held.permits.Set(keyOf(permit), permit)
	return held
}

// WithoutPermit removes a permit.
func (held Held) WithoutPermit(permit coltsfootlink.Permit) Held {
	held.permits = held.permits.Delete(keyOf(permit))
	return held
}

// WithOwner follows the announcement of an owner unless a newer one is known.
func (held Held) WithOwner(takeover coltsfootlink.Takeover) Held {
	known := held.Owner(takeover.Shard)
	if takeover.Epoch <= known.Epoch {
		return held
	}
	owner := ShardOwner{Owner: takeover.Owner, Epoch: takeover.Epoch}
	held.owners = held.owners.Set(takeover.Shard.String(), owner)
	return held
}

// WithoutOwner forgets an owner that says it is none; its epoch stays known, so that the next one is newer.
func (held Held) WithoutOwner(shard coltsfootlink.Shard, owner coltsfootlink.InstanceName) Held {
	known := held.Owner(shard)
	if known.Owner != owner {
		return held
	}
	known.Owner = ""
	held.owners = held.owners.Set(shard.String(), known)
	return held
}

// WithSeen notes that a permit has arrived; false if its epoch is not the newest.
func (held Held) WithSeen(permit coltsfootlink.Permit) (Held, bool) {
	known := held.Owner(permit.Shard)
	if permit.ID.Epoch != known.Epoch {
		return held, false
	}
	known.LastSerial = max(known.LastSerial, permit.ID.Serial)
	held.owners = held.owners.Set(permit.Shard.String(), known)
	return held, true
}

// Owner returns the newest known owner of a shard; its epoch is zero if none is known.
func (held Held) Owner(shard coltsfootlink.Shard) ShardOwner {
	owner, _ := held.owners.Get(shard.String())
	return owner
}

// Holdings returns the announcement of the permits held on a shard's pool in its zone.
func (held Held) Holdings(shard coltsfootlink.Shard) coltsfootlink.Holdings {
	owner := held.Owner(shard)
	holdings := coltsfootlink.Holdings{Shard: shard, Epoch: owner.Epoch, LastSerial: owner.LastSerial}
	for iterator := held.permits.Iterator(); !iterator.Done(); {
		_, permit, _ := iterator.Next()
		if permit.Shard.Pool == shard.Pool && permit.Shard.Zone == shard.Zone && permit.Shard.Slice == shard.Slice {
			holdings.Permits = append(holdings.Permits, permit)
		}
	}
	return holdings
}

// Len returns the number of permits held.
func (held Held) Len() int { return held.permits.Len() }

func keyOf(permit coltsfootlink.Permit) heldKey {
	return heldKey{shard: permit.Shard.String(), id: permit.ID}
}
