package share

import (
	"math"
	"time"
)

const (
	// memory is how long the mean remembers.
	memory = time.Second
	// satisfied is the part of what it asks for that a team gets if it is not badly off; fairness asks for half.
	satisfied = 0.6
	// mostCorrection is how many times its share of requests a team may offer because most of them are lost; what is offered
	// beyond finds no room either.
	mostCorrection = 5.0
	// changedPart is how far what a team asked for lately lies from the mean, as a part of it, if its demand has changed, and
	// notablePart how far at least, as a part of what all teams get: what is less may come of requests that come in lumps.
	changedPart = 0.3
	notablePart = 0.1
)

// look is what came of a team between two looks, in tokens a second.
type look struct {
	asked, granted float64
	// part is the part of the requests within the share that instances had been told.
	part float64
}

// mean returns the mean of two looks.
func (one look) mean(other look) look {
	return look{asked: (one.asked + other.asked) / 2, granted: (one.granted + other.granted) / 2, part: (one.part + other.part) / 2}
}

// rate is what a team asks for and gets, as means over the newest time in tokens a second.
type rate struct {
	asks, gets float64
	// asked and granted are what came since the means were last brought forward.
	asked, granted float64
	// surge is what the team asks for by what has come since the last look; zero if that is not many times as much as asks.
	surge float64
	// surplus is the part of the requests beyond what is bearable that may be offered to targets.
	surplus float64
	// part is the part of the requests within the share that instances were told last, and parts its mean as long as that
	// of what the team gets.
	part, parts float64
	// before is what came at the last look.
	before look
	// seen is for how many seconds the team has been known, up to memory.
	seen float64
}

// withTime brings the means forward by some seconds; those of a team that is new are of what has come of it so far, and those
// of one whose demand has changed of the two newest looks, or of the newest if that showed before it ended. All teams together
// get the given tokens a second.
func (team rate) withTime(span, all float64) rate {
	newest := look{asked: team.asked / span, granted: max(0, team.granted) / span, part: team.part}
	lately := newest.mean(team.before)
	if team.surge > 0 {
		lately = newest
	}
	team.seen = min(memory.Seconds(), team.seen+span)
	weight := min(1, span/team.seen)
	team.asks += weight * (newest.asked - team.asks)
	team.gets += weight * (newest.granted - team.gets)
	team.parts += weight * (newest.part - team.parts)
	if team.seen > span && math.Abs(lately.asked-team.asks) > max(changedPart*team.asks, notablePart*all) {
		team.asks, team.gets, team.parts = lately.asked, lately.granted, lately.part
	}
	team.before = newest
	team.asked, team.granted, team.surge = 0, 0, 0
	return team
}

// entitled returns the part of the team's requests that lies within its share, if its level is exceeded: the level over what
// it asks for, and more where the processor and full targets take a part of what is let through.
func (team rate) entitled(level float64) float64 {
	lost := team.parts * team.asks / max(1, team.gets)
	return min(1, level/team.demand()*min(mostCorrection, max(1, lost)))
}

// demand is what the team asks for, in tokens a second.
func (team rate) demand() float64 { return max(team.asks, team.surge) }

// refused says that the team gets far less than it asks for, as far as that is known.
func (team rate) refused() bool {
	return team.seen >= memory.Seconds() && team.gets < satisfied*team.asks
}
