package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/google/uuid"

	"coltsfootlink"
)

const (
	// MaxKeyAge is the maximum age of an accepted idempotency key. The log retains records for longer than this.
	MaxKeyAge = 10 * time.Minute
	// MaxClockSkew is the clock difference that is tolerated between callers and instances.
	MaxClockSkew = 5 * time.Second
)

// Index maps each key to the attempt that holds it: the first one that claimed it in log order. It is immutable.
type Index struct {
	holders *immutable.Map[string, holder]
	// era is the era of the store in which entries are read.
	era uint64
}

// holder is the only attempt of a key that may run. Its outcome is empty until it is known.
type holder struct {
	attempt string
	outcome coltsfootlink.Outcome
	// claimEra and outcomeEra are the latest eras in which the claim and the outcome were read.
	claimEra, outcomeEra uint64
}

// NewIndex returns an empty index.
func NewIndex() Index {
	return Index{holders: immutable.NewMap[string, holder](nil)}
}

// WithEra returns the index for entries that are read in another era of the store. What was read in earlier ones stays known.
func (index Index) WithEra(era uint64) Index {
	index.era = era
	return index
}

// Lost returns the entries of the holders that were read in an earlier era and not in the present one, ordered by key.
func (index Index) Lost() []Entry {
	var lost []Entry
	for iterator := index.holders.Iterator(); !iterator.Done(); {
		key, held, _ := iterator.Next()
		if entry := (Entry{Key: key, Attempt: held.attempt}); index.lost(entry) {
			lost = append(lost, entry)
		}
		if entry := (Entry{Key: key, Attempt: held.attempt, Outcome: held.outcome}); held.outcome != "" && index.lost(entry) {
			lost = append(lost, entry)
		}
	}
	// A claim comes before the outcome of its attempt.
	slices.SortStableFunc(lost, func(one, other Entry) int { return cmp.Compare(one.Key, other.Key) })
	return lost
}

// lost reports whether an entry of a key's holder was read in an earlier era and not in the present one.
func (index Index) lost(entry Entry) bool {
	held, found := index.holders.Get(entry.Key)
	switch {
	case !found || held.attempt != entry.Attempt:
		return false
	case entry.Outcome == "":
		return held.claimEra < index.era
	default:
		return held.outcome == entry.Outcome && held.outcomeEra < index.era
	}
}

// WithEntry applies the next log entry. A claim takes the key if it is unclaimed or its holder did not run. An outcome
// counts only if it is the first one of the key's holder.
func (index Index) WithEntry(entry Entry) Index {
	held, found := index.holders.Get(entry.Key)
	free := !found || held.outcome == coltsfootlink.NotRun
	switch {
	case entry.Outcome == "" && free && held.attempt != entry.Attempt:
		index.holders = index.holders.Set(entry.Key, holder{attempt: entry.Attempt, claimEra: index.era})
	case index.lost(entry) && entry.Outcome == "":
		held.claimEra = index.era
		index.holders = index.holders.Set(entry.Key, held)
	case index.lost(entry):
		held.outcomeEra = index.era
		index.holders = index.holders.Set(entry.Key, held)
	case entry.Outcome != "" && held.attempt == entry.Attempt && held.outcome == "":
		held.outcome, held.outcomeEra = entry.Outcome, index.era
		index.holders = index.holders.Set(entry.Key, held)
	}
	return index
}

// Holds reports whether an attempt holds the key and has no outcome yet.
func (index Index) Holds(key, attempt string) bool {
	held, found := index.holders.Get(key)
	return found && held.attempt == attempt && held.outcome == ""
}

// Outcome returns the outcome of a key's holder: not-run if the key is unclaimed, may-have-run if the holder has not
// reported an outcome yet.
func (index Index) Outcome(key string) coltsfootlink.Outcome {
	held, found := index.holders.Get(key)
	switch {
	case !found:
		return coltsfootlink.NotRun
	case held.outcome == "":
		return coltsfootlink.MayHaveRun
	default:
		return held.outcome
	}
}

// WithoutExpired removes keys that are too old for CheckKey to accept, with a margin for clock skew.
func (index Index) WithoutExpired(now time.Time) Index {
	for iterator := index.holders.Iterator(); !iterator.Done(); {
		key, _, _ := iterator.Next()
		if at, valid := KeyTime(key); !valid || now.After(at.Add(MaxKeyAge+2*MaxClockSkew)) {
			index.holders = index.holders.Delete(key)
		}
	}
	return index
}

func (index Index) Len() int { return index.holders.Len() }

// KeyTime returns the timestamp of a UUIDv7 key, and false if the key is not a UUIDv7.
func KeyTime(key string) (time.Time, bool) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := parsed.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// CheckKey refuses a key that is missing, malformed, has a timestamp in the future, or is older than MaxKeyAge.
func CheckKey(key string, now time.Time) *coltsfootlink.Refusal {
	at, valid := KeyTime(key)
	switch {
	case key == "":
		return coltsfootlink.Refuse(coltsfootlink.MissingKey, "the route asks for an Idempotency-Key with a UUIDv7")
	case !valid:
		return coltsfootlink.Refuse(coltsfootlink.MalformedKey, "the idempotency key is not a UUIDv7")
	case at.After(now.Add(MaxClockSkew)):
		return coltsfootlink.Refuse(coltsfootlink.MalformedKey, "the idempotency key's time is in the future")
	case now.After(at.Add(MaxKeyAge)):
		// An earlier attempt with this key may have run and already been removed from the index.
		refusal := coltsfootlink.Refuse(coltsfootlink.ExpiredKey, "the idempotency key is too old")
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	return nil
}
