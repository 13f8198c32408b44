package share

import "time"

const (
	// memory is how long the mean remembers.
	memory = time.Second
	// satisfied is the part of what it asks for that a team gets if it is not badly off; fairness asks for half.
	satisfied = 0.6
	// mostCorrection is how many times its share of requests a team may offer because most of them are lost; what is offered
	// beyond finds no room either.
	mostCorrection = 5.0
)

// rate is what a team asks for and gets, as means over the newest time in tokens a second.
type rate struct {
	asks, gets float64
	// asked and granted are what came since the means were last brought forward.
	asked, granted float64
	// surplus is the part of the requests beyond what is bearable that may be offered to targets.
	surplus float64
	// part is the part of the requests within the share that instances were told last, and parts its mean as long as that
	// of what the team gets.
	part, parts float64
	// seen is for how many seconds the team has been known, up to memory.
	seen float64
}

// withTime brings the means forward by some seconds; those of a team that is new are of what has come of it so far.
func (team rate) withTime(span float64) rate {
	team.seen = min(memory.Seconds(), team.seen+span)
	weight := min(1, span/team.seen)
	team.asks += weight * (team.asked/span - team.asks)
	team.gets += weight * (team.granted/span - team.gets)
	team.parts += weight * (team.part - team.parts)
	team.asked, team.granted = 0, 0
	return team
}

// entitled returns the part of the team's requests that lies within its share, if its level is exceeded: the level over what
// it asks for, and more where the processor and full targets take a part of what is let through.
func (team rate) entitled(level float64) float64 {
	lost := team.parts * team.asks / max(1, team.gets)
	return min(1, level/team.asks*min(mostCorrection, max(1, lost)))
}

// refused says that the team gets far less than it asks for.
func (team rate) refused() bool { return team.gets < satisfied*team.asks }
