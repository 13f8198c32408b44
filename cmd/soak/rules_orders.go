package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokedKeys checks that a revoked API key is not accepted after tableTimeout.
func revokedKeys(seen history) []string {
	var found []string
	for _, revoked := range seen.orders {
		if revoked.kind != keyGone {
			continue
		}
		for _, attempt := range seen.attempts {
			if attempt.key != revoked.name || !attempt.sent.After(revoked.acked.Add(tableTimeout)) || !seen.instanceHealthy(attempt.instance, revoked.acked, attempt.sent) {
				continue
			}
			if attempt.status != 0 && attempt.status != http.StatusUnauthorized && !guaranteesNotRun(attempt.status) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after its key was revoked", attempt.id, attempt.status, attempt.sent.Sub(revoked.acked)))
			}
		}
	}
	return found
}

// tableAdditions checks that an added route or API key is known after tableTimeout, until it is removed.
func tableAdditions(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != routeAdded && order.kind != keyAdded {
			continue
		}
		for _, attempt := range seen.attempts {
			late := attempt.sent.After(order.acked.Add(tableTimeout)) && (order.ends.IsZero() || attempt.ended.Before(order.ends))
			missing := order.kind == routeAdded && attempt.route == order.name && attempt.status == http.StatusNotFound ||
				order.kind == keyAdded && attempt.key == order.name && attempt.status == http.StatusUnauthorized
			if late && missing && seen.instanceHealthy(attempt.instance, order.acked, attempt.sent) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after %s", attempt.id, attempt.status, attempt.sent.Sub(order.acked), order.name))
			}
		}
	}
	return found
}

// arrivalsAfter describes the matching requests that reached targets later than a timeout after an order and before its
// end, although instance and target were healthy.
func (seen history) arrivalsAfter(order order, timeout time.Duration, matches func(arrival) bool) []string {
	attempts := seen.byID()
	var found []string
	for _, arrival := range seen.arrivals {
		late := arrival.at.Sub(order.acked) > timeout && (order.ends.IsZero() || arrival.at.Before(order.ends))
		if !late || arrival.misdirected || !matches(arrival) {
			continue
		}
		attempt, ended := attempts[arrival.id]
		if ended && seen.instanceHealthy(attempt.instance, order.acked, arrival.at) && seen.targetHealthy(arrival.index, arrival.at, arrival.at) {
			found = append(found, fmt.Sprintf("%s reached %s %v after order %s %s", arrival.id, arrival.target, arrival.at.Sub(order.acked), order.kind, order.name))
		}
	}
	return found
}

// drainedTargets checks that a draining target gets no requests after drainTimeout.
func drainedTargets(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != drained {
			continue
		}
		attempts := seen.byID()
		for _, arrival := range seen.arrivals {
			if arrival.target != order.name || arrival.misdirected || arrival.at.Sub(order.acked) <= drainTimeout {
				continue
			}
			// Of the target's faults, only those of its connections are an excuse here: targetHealthy would count the
			// drain itself as a fault.
			linkFault := seen.disrupted(arrival.at, arrival.at, func(step step) bool { return step.resource() == targetLinkResource(arrival.index) })
			if attempt, ended := attempts[arrival.id]; ended && !linkFault && seen.instanceHealthy(attempt.instance, order.acked, arrival.at) {
				found = append(found, fmt.Sprintf("%s reached %s %v after its drain was acknowledged", arrival.id, arrival.target, arrival.at.Sub(order.acked)))
			}
		}
	}
	return found
}

// zonesOutOfService checks that a zone out of service gets no requests after zoneTimeout.
func zonesOutOfService(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind == zoneOut {
			found = append(found, seen.arrivalsAfter(order, zoneTimeout, func(arrival arrival) bool { return arrival.zone == order.name })...)
		}
	}
	return found
}

// badVersionExposure checks that a bad version gets only a small share of the requests during its move, if no fault
// disrupted an instance, the store or the soak itself meanwhile.
func badVersionExposure(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != badMove || order.ends.IsZero() || !seen.undisturbed(order.acked, order.ends) {
			continue
		}
		all, bad := 0, 0
		for _, arrival := range seen.arrivals {
			if arrival.at.Before(order.acked) || arrival.at.After(order.ends) || arrival.misdirected {
				continue
			}
			all++
			if arrival.version == order.name {
				bad++
			}
		}
		if float64(bad) > exposureShare*float64(all)+exposureSlack {
			found = append(found, fmt.Sprintf("version %s got %d of %d requests", order.name, bad, all))
		}
	}
	return found
}
