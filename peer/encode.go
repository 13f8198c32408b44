package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (stream *encoder) encodeHeartbeat(heartbeat coltsfootlink.Heartbeat) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Beats:         convertAll(heartbeat.Entries, stream.encodeBeat),
		Revision:      uint64(heartbeat.Revision),
		Signature:     heartbeat.Signature,
		Answer:        heartbeat.ReplyRequested,
		ProbeRef:      stream.ref(string(heartbeat.Probe)),
		OnBehalfOfRef: stream.ref(string(heartbeat.OnBehalfOf)),
		HeardRef:      stream.ref(string(heartbeat.Reachable)),
		Whole:         heartbeat.Full,
	}
}

func (stream *encoder) encodeBeat(beat coltsfootlink.HeartbeatEntry) *peerpb.Beat {
	return &peerpb.Beat{Instance: stream.encodeInstance(beat.Instance), Sequence: beat.Sequence, Silent: beat.Unresponsive}
}

func (stream *encoder) encodeInstance(instance coltsfootlink.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		NameRef:        stream.ref(string(instance.Name)),
		ZoneRef:        stream.ref(string(instance.Zone)),
		AddressRef:     stream.ref(instance.PeerAddress),
		IncarnationRef: stream.number(instance.Incarnation),
		Leaving:        instance.Leaving,
	}
}

func (stream *encoder) encodeTarget(target coltsfootlink.Target) *peerpb.Target {
	return &peerpb.Target{
		NameRef:        stream.ref(string(target.Name)),
		PoolRef:        stream.ref(string(target.Pool)),
		ZoneRef:        stream.ref(string(target.Zone)),
		AddressRef:     stream.ref(target.Address),
		VersionRef:     stream.ref(string(target.Version)),
		IncarnationRef: stream.number(target.Incarnation),
		Leaving:        target.Leaving,
	}
}

func (stream *encoder) encodeListing(listing coltsfootlink.Listing) *peerpb.ListReply {
	return &peerpb.ListReply{
		Instances: convertAll(listing.Instances, stream.encodeInstance),
		Targets:   convertAll(listing.Targets, stream.encodeTarget),
	}
}

func (stream *encoder) encodeDemand(demand coltsfootlink.Demand) *peerpb.Demand {
	return &peerpb.Demand{
		ShardRef:   stream.shard(demand.Shard),
		EpochRef:   stream.number(uint64(demand.Epoch)),
		LastSerial: demand.LastSerial,
		Teams:      convertAll(demand.Teams, stream.encodeTeamDemand),
		Full:       demand.Full,
	}
}

func (stream *encoder) encodeTeamDemand(team coltsfootlink.TeamDemand) *peerpb.TeamDemand {
	encoded := &peerpb.TeamDemand{TeamRef: stream.ref(string(team.Team)), Waiting: uint32(team.Waiting)}
	if team.Waiting > 0 {
		encoded.OldestUnixMillis = toMillis(team.Oldest)
		encoded.Hint = float32(team.Hint)
	}
	return encoded
}

func (stream *encoder) encodePermit(permit coltsfootlink.Permit) *peerpb.Permit {
	return &peerpb.Permit{
		EpochRef:          stream.number(uint64(permit.ID.Epoch)),
		Serial:            permit.ID.Serial,
		ShardRef:          stream.shard(permit.Shard),
		TargetRef:         stream.ref(string(permit.Target)),
		TeamRef:           stream.ref(string(permit.Team)),
		Charge:            float32(permit.Charge),
		StartByUnixMillis: toMillis(permit.StartBy),
		HolderRef:         stream.ref(string(permit.Holder)),
	}
}

// encodeGrant leaves out of each permit what the grant says once. A grant has permits of one shard only.
func (stream *encoder) encodeGrant(grant coltsfootlink.Grant) *peerpb.Grant {
	first := grant.Permits[0]
	encoded := &peerpb.Grant{
		ShardRef:          stream.shard(first.Shard),
		EpochRef:          stream.number(uint64(first.ID.Epoch)),
		StartByUnixMillis: toMillis(first.StartBy),
		HolderRef:         stream.ref(string(first.Holder)),
	}
	for _, permit := range grant.Permits {
		encoded.Permits = append(encoded.Permits, &peerpb.Permit{
			Serial:    permit.ID.Serial,
			TargetRef: stream.ref(string(permit.Target)),
			TeamRef:   stream.ref(string(permit.Team)),
			Charge:    float32(permit.Charge),
		})
	}
	return encoded
}

// encodeRelease leaves out what the owner does not need of a permit.
func (stream *encoder) encodeRelease(release coltsfootlink.Release) *peerpb.Release {
	return &peerpb.Release{
		Permit: &peerpb.Permit{
			EpochRef:  stream.number(uint64(release.Permit.ID.Epoch)),
			Serial:    release.Permit.ID.Serial,
			ShardRef:  stream.shard(release.Permit.Shard),
			TargetRef: stream.ref(string(release.Permit.Target)),
		},
		ResultRef:       stream.ref(string(release.Usage.Result)),
		Cost:            float32(release.Usage.Cost),
		FirstByteMillis: float32(release.Usage.FirstByteMillis),
		IncarnationRef:  stream.number(release.Usage.Incarnation),
		Fingerprint:     release.Usage.Fingerprint,
		RouteRef:        stream.ref(release.Usage.Route),
	}
}

func (stream *encoder) encodeTakeover(takeover coltsfootlink.Takeover) *peerpb.Takeover {
	return &peerpb.Takeover{
		ShardRef: stream.shard(takeover.Shard),
		EpochRef: stream.number(uint64(takeover.Epoch)),
		OwnerRef: stream.ref(string(takeover.Owner)),
	}
}

func (stream *encoder) encodeHoldings(holdings coltsfootlink.Holdings) *peerpb.Holdings {
	return &peerpb.Holdings{
		ShardRef:   stream.shard(holdings.Shard),
		EpochRef:   stream.number(uint64(holdings.Epoch)),
		LastSerial: holdings.LastSerial,
		Permits:    convertAll(holdings.Permits, stream.encodePermit),
	}
}

func (stream *encoder) encodeCounters(counters coltsfootlink.Counters) *peerpb.Counters {
	return &peerpb.Counters{
		PoolRef: stream.ref(string(counters.Pool)),
		Parts:   convertAll(counters.Parts, stream.encodePart),
		Lifts:   convertAll(counters.Lifts, stream.encodeLift),
	}
}

func (stream *encoder) encodePart(part coltsfootlink.CounterPart) *peerpb.CounterPart {
	return &peerpb.CounterPart{
		TeamRef:        stream.ref(string(part.Team)),
		InstanceRef:    stream.ref(string(part.Instance)),
		IncarnationRef: stream.number(part.Incarnation),
		Charged:        part.Charged,
		Refunded:       part.Refunded,
	}
}

func (stream *encoder) encodeLift(lift coltsfootlink.CounterLift) *peerpb.CounterLift {
	return &peerpb.CounterLift{TeamRef: stream.ref(string(lift.Team)), Lift: lift.Lift}
}

func (stream *encoder) encodeStrike(strike coltsfootlink.Strike) *peerpb.Strike {
	return &peerpb.Strike{
		Fingerprint:        strike.Fingerprint,
		TargetRef:          stream.ref(string(strike.Target)),
		DeadlineUnixMillis: toMillis(strike.Deadline),
	}
}

func (stream *encoder) encodeRevision(reply coltsfootlink.RevisionReply) *peerpb.RevisionReply {
	return &peerpb.RevisionReply{
		Revision: uint64(reply.Revision),
		Offset:   reply.Offset,
		Document: reply.Document,
	}
}

func (stream *encoder) encodeClaimRequest(request coltsfootlink.ClaimRequest) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Key:                request.Key,
		Attempt:            request.Attempt,
		DeadlineUnixMillis: toMillis(request.Deadline),
	}
}

func (stream *encoder) encodeClaimReply(reply coltsfootlink.ClaimReply) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{
		Attempt:    reply.Attempt,
		Won:        reply.Won,
		Settled:    reply.Settled,
		OutcomeRef: stream.ref(string(reply.Outcome)),
	}
}

func (stream *encoder) encodeClaimOutcome(outcome coltsfootlink.ClaimOutcome) *peerpb.ClaimOutcome {
	return &peerpb.ClaimOutcome{
		Key:        outcome.Key,
		Attempt:    outcome.Attempt,
		OutcomeRef: stream.ref(string(outcome.Outcome)),
	}
}

func (stream *encoder) encodeMoveFault(fault coltsfootlink.MoveFault) *peerpb.MoveFault {
	return &peerpb.MoveFault{
		PoolRef: stream.ref(string(fault.Pool)),
		Started: uint64(fault.Started),
		Reason:  fault.Reason,
	}
}

func (stream *encoder) encodeMoveProgress(progress coltsfootlink.MoveProgress) *peerpb.MoveProgress {
	return &peerpb.MoveProgress{
		ShardRef: stream.shard(progress.Shard),
		Started:  uint64(progress.Started),
		Complete: progress.Complete,
		Healthy:  progress.Healthy,
	}
}
