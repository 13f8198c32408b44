package coltsfootlink

import "time"

// PromptCrash is the crash of a target that had just begun to answer a request, or had it when it crashed.
type PromptCrash struct {
	Pool PoolName
	// Request is the request that the target was answering, and Target with its Incarnation the target.
	Request     RequestID
	Target      TargetName
	Incarnation uint64
	// Suspects are the shared parts of the request's prompt; one of them may have crashed the target.
	Suspects []Suspect
	// Barred are the parts of the bar that rested on the crash when it was recorded; empty for one that was not read from the store.
	Barred []PartID
	// Unbegun indicates that no byte of the answer was received. The target may have been answering another request.
	Unbegun bool
	// SentAt is when the request was sent to the target, and CrashedAt when its connection broke.
	SentAt, CrashedAt time.Time
}

// WithUnbegun returns the crash with its Unbegun mark set or cleared.
func (crash PromptCrash) WithUnbegun(unbegun bool) PromptCrash {
	crash.Unbegun = unbegun
	return crash
}

// Suspect is a part of a prompt under which a target has crashed.
type Suspect struct {
	Part PartID
	// AnsweredAt is when a target was last known to have answered a request with the part; zero if never.
	AnsweredAt time.Time
}

// PartAnswered reports that a target has answered a request with a part of a prompt.
type PartAnswered struct {
	Pool PoolName
	Part PartID
	At   time.Time
}

// QuarantineNews is sent between instances: what is known of prompts that crash targets.
type QuarantineNews struct {
	Crashes  []PromptCrash
	Answered []PartAnswered
}

// QuarantineRequest asks an instance for all that it knows of prompts that crash targets; the reply is QuarantineNews.
type QuarantineRequest struct{}

// BarLift is an operator's order to let requests through whose prompts have parts that are barred.
type BarLift struct {
	Pool  PoolName
	Parts []PartID
}

func (BarLift) isMessage()           {}
func (QuarantineNews) isMessage()    {}
func (QuarantineRequest) isMessage() {}
