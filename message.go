package coltsfootlink

import "time"

// Message is sent between tasks, on one instance or between two.
type Message interface{ isMessage() }

// Local is embedded in messages that do not leave an instance.
type Local struct{}

func (Local) isMessage() {}

// Delivery is a message with its sender.
type Delivery struct {
	From    InstanceName
	Message Message
}

// Sender sends messages; it never blocks and may lose messages to other instances.
type Sender interface {
	Send(to InstanceName, message Message)
}

// Heartbeat tells that the sender lives, and news of other instances.
type Heartbeat struct {
	// Beats begins with the sender's own; if Whole, it has all that the sender knows, and not what is new to it.
	Beats []Beat
	Whole bool
	// Revision is the sender's configuration revision.
	Revision Revision
	// Signature is that of all that the sender knows of the live instances.
	Signature uint64
	// Answer asks for a heartbeat in return, which names OnBehalfOf again.
	Answer bool
	// Probe asks the receiver to find out whether an instance answers.
	Probe InstanceName
	// OnBehalfOf is the instance that wants to know whether the receiver, or the sender of an answer, lives.
	OnBehalfOf InstanceName
	// Heard tells that an instance has answered the sender, on behalf of the receiver.
	Heard InstanceName
}

// Beat is the newest word on one instance.
type Beat struct {
	Instance Instance
	// Sequence is raised by the instance itself when it contradicts what is said of it.
	Sequence uint64
	// Silent says that the instance does not answer.
	Silent bool
}

// Demand tells a shard's owner how many requests wait on the sender.
type Demand struct {
	Shard Shard
	Epoch Epoch
	// LastSerial is the newest permit that the sender has seen of the epoch.
	LastSerial uint64
	// Teams are the teams whose demand has changed.
	Teams []TeamDemand
	// Full says that all other teams have no demand.
	Full bool
}

// TeamDemand is the demand of one team.
type TeamDemand struct {
	Team    TeamName
	Waiting int
	// Oldest is when the oldest waiting request arrived.
	Oldest time.Time
	// Hint is the mean cost hint of the waiting requests; zero if none gave one.
	Hint float64
}

// Grant gives permits to the receiver.
type Grant struct {
	Permits []Permit
}

// Release gives a permit back to the shard's owner.
type Release struct {
	Permit Permit
	Usage  Usage
}

// Takeover announces the owner of a shard and asks for the permits held on it.
type Takeover struct {
	Shard Shard
	Epoch Epoch
	Owner InstanceName
}

// NotOwner answers a demand that came to an instance which does not own the shard.
type NotOwner struct {
	Shard Shard
}

// Holdings lists the permits that the sender holds on a shard.
type Holdings struct {
	Shard Shard
	Epoch Epoch
	// LastSerial is the newest permit that the sender has seen of the epoch.
	LastSerial uint64
	Permits    []Permit
}

// Counters carries parts of the service counters of a pool.
type Counters struct {
	Pool  PoolName
	Parts []CounterPart
	Lifts []CounterLift
}

// CounterPart is the service of one team that one incarnation has granted; both figures only grow.
type CounterPart struct {
	Team        TeamName
	Instance    InstanceName
	Incarnation uint64
	// Charged and Refunded are in the pool's unit divided by the team's weight.
	Charged  float64
	Refunded float64
}

// CounterLift raises a team's counter; it only grows.
type CounterLift struct {
	Team TeamName
	// Lift is in the pool's unit divided by the team's weight.
	Lift float64
}

// Strikes carries the targets that died while running requests with a fingerprint.
type Strikes struct {
	Strikes []Strike
}

// Strike is one target that died while running a request.
type Strike struct {
	Fingerprint uint64
	Target      TargetName
	// Deadline is when the strike is forgotten.
	Deadline time.Time
}

// ClaimRequest asks the owner of a partition for the claim of an attempt.
type ClaimRequest struct {
	Key     string
	Attempt string
	// Deadline is when the request has to be answered.
	Deadline time.Time
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Attempt string
	// Won says that the attempt may run.
	Won bool
	// Settled says that the claim was read back from the log.
	Settled bool
	Outcome Outcome
}

// ClaimOutcome tells the owner of a partition how an attempt ended.
type ClaimOutcome struct {
	Key     string
	Attempt string
	Outcome Outcome
}

// MoveFault tells that the new version of a move is at fault.
type MoveFault struct {
	Pool PoolName
	// Started identifies the move.
	Started Revision
	Reason  string
}

// MoveProgress tells the coordinator of a move how far a shard has come.
type MoveProgress struct {
	Shard Shard
	// Started identifies the move.
	Started Revision
	// Complete says that enough requests have ended well at the whole share.
	Complete bool
	// Healthy says that requests of the new version have ended and no fault is known.
	Healthy bool
}

// LogState tells whether the log service can be read.
type LogState struct {
	Up bool
}

// ListRequest asks a peer for the instance list as it last read it.
type ListRequest struct{}

// ListReply carries the instance list as the sender last read it.
type ListReply struct {
	Listing Listing
}

// RevisionRequest asks a peer for its newest configuration.
type RevisionRequest struct{}

// RevisionReply carries the configuration in its TOML form.
type RevisionReply struct {
	Revision Revision
	Offset   uint64
	Document string
}

// CatalogChanged tells the tasks of an instance of a changed catalog.
type CatalogChanged struct {
	Local
	Catalog Catalog
}

// SeedsChanged tells the membership task of instances to ask for others.
type SeedsChanged struct {
	Local
	Seeds []Instance
}

// ConfigurationChanged tells the tasks of an instance of a new configuration.
type ConfigurationChanged struct {
	Configuration Configuration
}

// ViewChanged tells the tasks of an instance of changed members.
type ViewChanged struct {
	View View
}

// ListChanged tells the tasks of an instance of a changed instance list.
type ListChanged struct {
	Listing Listing
}

// RecordsRead brings newly read records of a stream.
type RecordsRead struct {
	Stream Stream
	Batch  Batch
}

// LogDown tells that a stream cannot be read at present.
type LogDown struct {
	Stream Stream
}

// LoadReported tells the owner of a target's report.
type LoadReported struct {
	Load Load
	// Asked is when the target was asked.
	Asked time.Time
}

// LoadMissing tells the owner that a target did not report.
type LoadMissing struct {
	Target  TargetName
	Refused bool
}

// Inquiry asks a task for a part of the answer to an operator's question.
type Inquiry struct {
	Subject Subject
	// Since is the start of the time asked about; zero if all of it.
	Since time.Time
	// Reply receives one table; it has room for it.
	Reply chan<- Table
}

// LinkBroken tells the owner task that messages to an instance were lost.
type LinkBroken struct {
	To InstanceName
}

// Leave tells the tasks of an instance that it leaves.
type Leave struct{}

func (Heartbeat) isMessage()            {}
func (Demand) isMessage()               {}
func (Grant) isMessage()                {}
func (Release) isMessage()              {}
func (Takeover) isMessage()             {}
func (NotOwner) isMessage()             {}
func (Holdings) isMessage()             {}
func (Counters) isMessage()             {}
func (Strikes) isMessage()              {}
func (ClaimRequest) isMessage()         {}
func (ClaimReply) isMessage()           {}
func (ClaimOutcome) isMessage()         {}
func (MoveFault) isMessage()            {}
func (MoveProgress) isMessage()         {}
func (LogState) isMessage()             {}
func (ListRequest) isMessage()          {}
func (ListReply) isMessage()            {}
func (RevisionRequest) isMessage()      {}
func (RevisionReply) isMessage()        {}
func (ConfigurationChanged) isMessage() {}
func (ViewChanged) isMessage()          {}
func (ListChanged) isMessage()          {}
func (RecordsRead) isMessage()          {}
func (LogDown) isMessage()              {}
func (LoadReported) isMessage()         {}
func (LoadMissing) isMessage()          {}
func (Inquiry) isMessage()              {}
func (LinkBroken) isMessage()           {}
func (Leave) isMessage()                {}
