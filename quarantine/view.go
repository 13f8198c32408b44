package quarantine

import (
	"maps"
	"slices"

	"coltsfootlink"
)

// View is what the handlers of requests need to know of the quarantine; it is immutable.
type View struct {
	// Synced indicates that the instance has heard from others what they know, or has waited for it in vain.
	Synced bool

	bars map[coltsfootlink.PoolName][]Bar
}

// WithSynced returns the view with another value of Synced.
func (view View) WithSynced(synced bool) View {
	view.Synced = synced
	return view
}

// WithBars returns the view with the bars of a pool replaced.
func (view View) WithBars(pool coltsfootlink.PoolName, bars []Bar) View {
	view.bars = maps.Clone(view.bars)
	if view.bars == nil {
		view.bars = make(map[coltsfootlink.PoolName][]Bar)
	}
	view.bars[pool] = bars
	return view
}

// Bar returns the bar that holds back a request for a pool, the one with the latest trial if there are several; false if there
// is none.
func (view View) Bar(pool coltsfootlink.PoolName, parts []coltsfootlink.PartID) (Bar, bool) {
	var latest Bar
	found := false
	bars, known := view.bars[pool]
	if !known {
		bars = view.bars[anyPool]
	}
	for _, bar := range bars {
		if bar.Holds(parts) && (!found || bar.TrialAt.After(latest.TrialAt)) {
			latest, found = bar, true
		}
	}
	return latest, found
}

// equal reports whether two lists of bars are the same.
func equal(one, other []Bar) bool {
	return slices.EqualFunc(one, other, func(left, right Bar) bool {
		return slices.Equal(left.Parts, right.Parts) && left.Crashes == right.Crashes && left.TrialAt.Equal(right.TrialAt) &&
			slices.Equal(left.Suspects, right.Suspects)
	})
}
