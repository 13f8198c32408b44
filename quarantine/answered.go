package quarantine

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// maxRecent is the number of parts after which the older half of the answered parts is forgotten.
const maxRecent = 4096

// answered holds when targets last answered requests with each part, for the parts of the latest requests; it is
// immutable.
type answered struct {
	// recent are the parts of the latest requests, and older those of the ones before.
	recent, older *immutable.Map[coltsfootlink.PartID, time.Time]
}

func newAnswered() answered {
	empty := immutable.NewMap[coltsfootlink.PartID, time.Time](nil)
	return answered{recent: empty, older: empty}
}

// With records an answer; an older one than is known changes nothing.
func (known answered) With(part coltsfootlink.PartID, at time.Time) answered {
	if !at.After(known.At(part)) {
		return known
	}
	known.recent = known.recent.Set(part, at)
	if known.recent.Len() >= maxRecent {
		known.recent, known.older = immutable.NewMap[coltsfootlink.PartID, time.Time](nil), known.recent
	}
	return known
}

// Len returns the number of parts that are known to have been answered; those of the latest requests may count twice.
func (known answered) Len() int { return known.recent.Len() + known.older.Len() }

// At returns when a request with the part was last answered; zero if that is not known.
func (known answered) At(part coltsfootlink.PartID) time.Time {
	if at, found := known.recent.Get(part); found {
		return at
	}
	at, _ := known.older.Get(part)
	return at
}
