package coltsfootlink

// ZoneName identifies an availability zone.
type ZoneName string

// AvailabilityZone is a failure domain: a group of instances and targets that may fail together.
type AvailabilityZone struct {
	Name ZoneName
	// Out indicates that operators have taken the zone out of service.
	Out bool
}

// WithOut returns the zone taken out of service or returned to service.
func (zone AvailabilityZone) WithOut(out bool) AvailabilityZone {
	zone.Out = out
	return zone
}
