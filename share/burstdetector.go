package share

const (
	// surgeFactor is how many times what was told has come when it is told again.
	surgeFactor = 2.0
	// teamSurgeFactor is how many times what a team asks for between two looks has come of it before its demand counts as
	// another; less may come of requests and reports that come in lumps.
	teamSurgeFactor = 3.0
)

// Surge finds out early that much more is asked for than in the interval before; it is immutable. Its zero value is that of
// a first interval, before which nothing was asked for. All its figures are in tokens.
type Surge struct {
	// usual is what came in the interval before, came what has come in this one, and next when it is to be told again.
	usual, came, next float64
}

// WithCome adds what was asked for.
func (surge Surge) WithCome(tokens float64) Surge {
	surge.came += tokens
	return surge
}

// WithTold notes that what has come so far was told; the next time is when it has doubled.
func (surge Surge) WithTold() Surge {
	surge.next = surgeFactor * surge.came
	return surge
}

// WithInterval begins the next interval.
func (surge Surge) WithInterval() Surge { return Surge{usual: surge.came} }

// Due says that what has come is to be told before the interval ends; what is allowed for may come besides the usual.
func (surge Surge) Due(allowed float64) bool {
	return surge.came > max(surge.next, surge.usual+allowed)
}
