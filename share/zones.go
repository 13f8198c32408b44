package share

import (
	"maps"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// zoneWindow is the time over which the work of each zone's callers is averaged. At 20 requests a second the standard
	// deviation of one zone's part among three is then about a sixth of it.
	zoneWindow = 5 * time.Second
	// minZonedFraction is the least work, as a fraction of the guaranteed rate, of which the zones' parts are announced.
	// With less, the parts fluctuate with single requests, and targets have capacity wherever requests are placed.
	minZonedFraction = 0.2
)

// zoneWork is the work by zone of the callers' instances for which permits were granted; it is immutable.
type zoneWork struct {
	// granted is the work in tokens since the last evaluation, and mean its running mean in tokens per second.
	granted, mean map[coltsfootlink.ZoneName]float64
	// knownSeconds is how long work has been known, at most zoneWindow.
	knownSeconds float64
}

// withOffered adds the load that an instance of a zone has reported.
func (work zoneWork) withOffered(zone coltsfootlink.ZoneName, offered coltsfootlink.Offered) zoneWork {
	granted := maps.Clone(work.granted)
	if granted == nil {
		granted = make(map[coltsfootlink.ZoneName]float64)
	}
	for _, load := range offered.Teams {
		granted[zone] += load.Granted
	}
	work.granted = granted
	return work
}

// withTime updates the running means with the work of the last seconds. Means of the first seconds cover the time since
// work is known.
func (work zoneWork) withTime(seconds float64) zoneWork {
	if len(work.granted) == 0 && len(work.mean) == 0 {
		return work
	}
	work.knownSeconds = min(zoneWindow.Seconds(), work.knownSeconds+seconds)
	weight := min(1, seconds/work.knownSeconds)
	mean := maps.Clone(work.mean)
	if mean == nil {
		mean = make(map[coltsfootlink.ZoneName]float64)
	}
	for zone := range work.granted {
		mean[zone] += 0
	}
	for zone, before := range mean {
		mean[zone] = before + weight*(max(0, work.granted[zone])/seconds-before)
		if mean[zone] < minDemand {
			delete(mean, zone)
		}
	}
	work.mean, work.granted = mean, nil
	return work
}

// demands returns the zones' parts of the work, sorted by zone; none if the work is less than the given rate.
func (work zoneWork) demands(least float64) []coltsfootlink.ZoneDemand {
	total := 0.0
	for _, mean := range work.mean {
		total += mean
	}
	if total < least || total == 0 {
		return nil
	}
	var demands []coltsfootlink.ZoneDemand
	for _, zone := range slices.Sorted(maps.Keys(work.mean)) {
		demands = append(demands, coltsfootlink.ZoneDemand{Zone: zone, Fraction: work.mean[zone] / total})
	}
	return demands
}

// WithZone adds the load that an instance of a zone has reported to the work of the zone.
func (ledger Ledger) WithZone(zone coltsfootlink.ZoneName, offered coltsfootlink.Offered) Ledger {
	ledger.zones = ledger.zones.withOffered(zone, offered)
	return ledger
}
