package coltsfootlink

import "time"

// UsageBegun is sent within an instance when the first event or the first byte of an answer to a team's request has
// arrived.
type UsageBegun struct {
	Local

	// At is when it arrived, by the sender's clock with its monotonic reading.
	At   time.Time
	Team TeamName
}

// LoadsSampled is sent within an instance about once a second with the loads of the targets that the instance owns, since
// the previous message.
type LoadsSampled struct {
	Local

	Loads []TargetsLoad
}
