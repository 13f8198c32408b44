package coltsfootlink

import "time"

// Message is sent between tasks, either within one instance or between two instances.
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

// Heartbeat is sent between the membership tasks of all instances. It shows that the sender is live, spreads membership
// changes by gossip, and carries indirect probes: before an instance is considered unresponsive, others are asked
// to probe it.
type Heartbeat struct {
	// Entries starts with the sender's own entry. If Full is set, the others are all entries that the sender has;
	// otherwise they are recently changed ones, and the receiver's own if the sender considers it unresponsive, so that
	// the receiver can refute it.
	Entries []HeartbeatEntry
	Full    bool
	// Revision is the sender's configuration revision.
	Revision Revision
	// Signature is a hash of the sender's entries of live instances; a receiver whose own differs sends a
	// full heartbeat.
	Signature uint64
	// ReplyRequested asks for a heartbeat in return, with the same OnBehalfOf.
	ReplyRequested bool
	// Probe is an instance that the receiver is asked to probe on behalf of the sender; empty if none.
	Probe InstanceName
	// OnBehalfOf is the instance that asked for an indirect probe. It is set in the probe and in the reply to it.
	OnBehalfOf InstanceName
	// Reachable is an instance that has answered the sender's probe, which the receiver had asked for.
	Reachable InstanceName
}

// HeartbeatEntry is the newest known state of one instance.
type HeartbeatEntry struct {
	Instance Instance
	// Sequence is raised only by the instance itself, to refute a wrong entry about it.
	Sequence uint64
	// Unresponsive indicates that the instance does not answer.
	Unresponsive bool
}

// Demand is sent by an entry instance to a shard's owner and reports the sender's backlog by team.
type Demand struct {
	Shard Shard
	Epoch Epoch
	// LastSerial is the serial of the newest permit of the epoch that the sender has received.
	LastSerial uint64
	// Teams are the teams whose demand has changed.
	Teams []TeamDemand
	// Full indicates that teams not listed have no demand.
	Full bool
}

// TeamDemand is the backlog of one team on one instance.
type TeamDemand struct {
	Team    TeamName
	Waiting int
	// Oldest is the arrival time of the oldest waiting request.
	Oldest time.Time
	// Hint is the mean cost hint of the waiting requests; zero if none gave one.
	Hint float64
}

// Grant is sent by a shard's owner to give permits to an instance with demand.
type Grant struct {
	Permits []Permit
}

// Release returns a permit to the shard's owner, with the result of its use.
type Release struct {
	Permit Permit
	Usage  Usage
}

// Takeover is sent by the owner of a shard: to all live instances when it starts an epoch, again to those whose
// Holdings are missing or due to be confirmed, and to a sender of a Demand of another epoch. It announces the owner and
// its epoch and asks each receiver for the permits that it holds on the shard; they answer with Holdings.
type Takeover struct {
	Shard Shard
	Epoch Epoch
	Owner InstanceName
}

// NotOwner is the reply of an instance that received a Demand for a shard that it does not own.
type NotOwner struct {
	Shard Shard
}

// Holdings is the reply to Takeover and lists the permits that the sender holds on the shard.
type Holdings struct {
	Shard Shard
	Epoch Epoch
	// LastSerial is the serial of the newest permit of the epoch that the sender has received.
	LastSerial uint64
	Permits    []Permit
}

// Counters is exchanged between shard owners so that each knows the service that teams got in the whole fleet. It
// carries parts of a pool's service counters; neither the order nor the number of merges matters.
type Counters struct {
	Pool  PoolName
	Parts []CounterPart
	Lifts []CounterLift
}

// CounterPart is the service that one incarnation of an instance has granted to a team; both figures only grow.
type CounterPart struct {
	Team        TeamName
	Instance    InstanceName
	Incarnation uint64
	// Charged and Refunded are in the pool's unit divided by the team's weight.
	Charged  float64
	Refunded float64
}

// CounterLift is the amount by which a team's counter was raised when the team became backlogged after being idle, so
// that idle time earns no credit; it only grows.
type CounterLift struct {
	Team TeamName
	// Lift is in the pool's unit divided by the team's weight.
	Lift float64
}

// Strikes is sent to all instances and lists targets that crashed while running a request, so that every instance
// recognizes requests that crash targets.
type Strikes struct {
	Strikes []Strike
}

// Strike is one crash of a target while it ran a request.
type Strike struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	Target      TargetName
	// Incarnation is the incarnation of the target that crashed; zero if it is not known.
	Incarnation uint64
	// Deadline is when the strike expires.
	Deadline time.Time
	// Cleared indicates that a target has answered such a request, so that all strikes against it are void. The other
	// fields but Fingerprint are then empty.
	Cleared bool
}

// ClaimRequest is sent to the owner of a claim partition, before a request that may run at most once is started. It
// claims the request's idempotency key for an attempt.
type ClaimRequest struct {
	Key     string
	Attempt string
	// Deadline is when the request has to be answered.
	Deadline time.Time
}

// ClaimReply is the partition owner's reply to a ClaimRequest.
type ClaimReply struct {
	Attempt string
	// Won indicates that the attempt holds the claim and may run.
	Won bool
	// Settled indicates that the claim was read back from the log. If not, Outcome is the cautious one.
	Settled bool
	// Outcome is what is known of the key's earlier attempt.
	Outcome Outcome
}

// ClaimOutcome is sent to the owner of a claim partition and reports how an attempt ended.
type ClaimOutcome struct {
	Key     string
	Attempt string
	Outcome Outcome
}

// MoveFault is sent by a shard owner to all instances when the new version of a move is found faulty.
type MoveFault struct {
	Pool PoolName
	// Started identifies the move.
	Started Revision
	Reason  string
}

// MoveProgress is sent by a shard owner to the coordinator of a move and reports the progress of one shard.
type MoveProgress struct {
	Shard Shard
	// Started identifies the move.
	Started Revision
	// Complete indicates that enough requests have succeeded at the last stage, the full share.
	Complete bool
	// Healthy indicates that requests on the new version have ended and no fault is known.
	Healthy bool
}

// LogState is sent by the revision task to other tasks of its instance when the log service becomes readable or
// unreadable.
type LogState struct {
	Up bool
}

// ListRequest asks a peer for its last copy of the platform's instance list.
type ListRequest struct{}

// ListReply is the reply to ListRequest.
type ListReply struct {
	Listing Listing
}

// RevisionRequest asks a peer whose heartbeat has shown a newer revision for its configuration.
type RevisionRequest struct{}

// RevisionReply is the reply to RevisionRequest and carries the configuration as TOML.
type RevisionReply struct {
	Revision Revision
	// Position is that of the log record that made the revision.
	Position Position
	Document string
}

// CatalogChanged is sent to the tasks of an instance when its catalog has changed.
type CatalogChanged struct {
	Local
	Catalog Catalog
}

// SeedsChanged is sent to the membership task and gives the seed instances from which it learns of others.
type SeedsChanged struct {
	Local
	Seeds []Instance
}

// ConfigurationChanged is sent to the tasks of an instance when a new configuration is in force.
type ConfigurationChanged struct {
	Configuration Configuration
}

// ViewChanged is sent to the tasks of an instance when its view of the membership has changed.
type ViewChanged struct {
	View View
}

// ListChanged is sent to the tasks of an instance when the platform's instance list has changed.
type ListChanged struct {
	Listing Listing
}

// RecordsRead is sent by the reader of a log stream and carries newly read records.
type RecordsRead struct {
	Stream Stream
	Batch  Batch
}

// LogDown is sent by the reader of a log stream while the stream cannot be read.
type LogDown struct {
	Stream Stream
}

// LoadReported is sent by the load prober to the owner task and carries a target's load report.
type LoadReported struct {
	Load Load
	// Asked is when the target was asked.
	Asked time.Time
}

// LoadMissing is sent by the load prober to the owner task when a target did not report its load.
type LoadMissing struct {
	Target TargetName
	// Refused indicates that the target refused the connection.
	Refused bool
}

// Inquiry asks a task for its part of the result of an operator's query.
type Inquiry struct {
	Subject Subject
	// Since is the start of the queried time range; zero for all of it.
	Since time.Time
	// Arguments are the JSON arguments of subjects that need some; empty for the others.
	Arguments string
	// Reply receives one table; it must be buffered, so that the task never blocks on it.
	Reply chan<- Table
}

// LinkBroken is sent by a peer link to the owner task when messages to an instance were lost.
type LinkBroken struct {
	To InstanceName
}

// Leave is sent to the tasks of an instance when it begins to shut down.
type Leave struct{}

// Stopping is sent to tasks of an instance that shuts down, when they are to refuse what does not end in time. The zero value
// refuses nothing.
type Stopping struct {
	Local
	// RefusesAt is when the instance begins to refuse requests whose deadlines lie after its end. Before, the load balancer still
	// sends requests to it.
	RefusesAt time.Time
	// EndsAt is when the instance ends.
	EndsAt time.Time
}

// IsZero reports whether the instance does not shut down.
func (stopping Stopping) IsZero() bool { return stopping.EndsAt.IsZero() }

// Accepts reports whether a request that arrives now with the given deadline may be accepted.
func (stopping Stopping) Accepts(now, deadline time.Time) bool {
	return stopping.IsZero() || now.Before(stopping.RefusesAt) || deadline.Before(stopping.EndsAt)
}

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
