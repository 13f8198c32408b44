// Package timeline records the events of an instance, stamped by a hybrid logical clock, and answers queries for them.
package timeline

import (
	"sync/atomic"

	"coltsfootlink"
)

// HybridClock is a hybrid logical clock. Its methods may be called concurrently.
type HybridClock struct {
	Clock coltsfootlink.Clock

	last atomic.Uint64
}

// Next issues a stamp that is later than all stamps issued or witnessed before.
func (hybrid *HybridClock) Next() coltsfootlink.Stamp {
	for {
		last := hybrid.last.Load()
		next := max(last+1, uint64(coltsfootlink.StampAt(hybrid.Clock.Now())))
		if hybrid.last.CompareAndSwap(last, next) {
			return coltsfootlink.Stamp(next)
		}
	}
}

// Latest returns the latest stamp that was issued or witnessed; zero if there is none.
func (hybrid *HybridClock) Latest() coltsfootlink.Stamp {
	return coltsfootlink.Stamp(hybrid.last.Load())
}

// Witness takes in a stamp of another instance, so that Next issues later ones only.
func (hybrid *HybridClock) Witness(stamp coltsfootlink.Stamp) {
	for {
		last := hybrid.last.Load()
		if uint64(stamp) <= last || hybrid.last.CompareAndSwap(last, uint64(stamp)) {
			return
		}
	}
}
