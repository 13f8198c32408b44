// Package timeline keeps the events of an instance in the order of a hybrid logical clock.
package timeline

import (
	"sync/atomic"

	"coltsfootlink"
)

// Hybrid is a hybrid logical clock that many tasks may use.
type Hybrid struct {
	Clock coltsfootlink.Clock

	last atomic.Uint64
}

// Next returns a stamp later than all that were made or witnessed.
func (hybrid *Hybrid) Next() coltsfootlink.Stamp {
	for {
		last := hybrid.last.Load()
		next := max(last+1, uint64(coltsfootlink.StampAt(hybrid.Clock.Now())))
		if hybrid.last.CompareAndSwap(last, next) {
			return coltsfootlink.Stamp(next)
		}
	}
}

// Latest returns the latest stamp that was made or witnessed; zero if there is none.
func (hybrid *Hybrid) Latest() coltsfootlink.Stamp { return coltsfootlink.Stamp(hybrid.last.Load()) }

// Witness notes a stamp of another instance.
func (hybrid *Hybrid) Witness(stamp coltsfootlink.Stamp) {
	for {
		last := hybrid.last.Load()
		if uint64(stamp) <= last || hybrid.last.CompareAndSwap(last, uint64(stamp)) {
			return
		}
	}
}
