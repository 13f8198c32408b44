package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (encoder *encoder) encodeHeartbeat(heartbeat coltsfootlink.Heartbeat) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Beats:         convertAll(heartbeat.Entries, encoder.encodeHeartbeatEntry),
		Revision:      uint64(heartbeat.Revision),
		Signature:     heartbeat.Signature,
		Answer:        heartbeat.ReplyRequested,
		ProbeRef:      encoder.ref(string(heartbeat.Probe)),
		OnBehalfOfRef: encoder.ref(string(heartbeat.OnBehalfOf)),
		HeardRef:      encoder.ref(string(heartbeat.Reachable)),
		Whole:         heartbeat.Full,
	}
}

func (encoder *encoder) encodeHeartbeatEntry(entry coltsfootlink.HeartbeatEntry) *peerpb.Beat {
	return &peerpb.Beat{Instance: encoder.encodeInstance(entry.Instance), Sequence: entry.Sequence, Silent: entry.Unresponsive}
}

func (encoder *encoder) encodeInstance(instance coltsfootlink.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		NameRef:        encoder.ref(string(instance.Name)),
		ZoneRef:        encoder.ref(string(instance.Zone)),
		AddressRef:     encoder.ref(instance.PeerAddress),
		IncarnationRef: encoder.number(instance.Incarnation),
		Leaving:        instance.Leaving,
		Capacity:       uint32(instance.Capacity),
	}
}

func (encoder *encoder) encodeTarget(target coltsfootlink.Target) *peerpb.Target {
	return &peerpb.Target{
		NameRef:        encoder.ref(string(target.Name)),
		PoolRef:        encoder.ref(string(target.Pool)),
		ZoneRef:        encoder.ref(string(target.Zone)),
		AddressRef:     encoder.ref(target.Address),
		VersionRef:     encoder.ref(string(target.Version)),
		IncarnationRef: encoder.number(target.Incarnation),
		Leaving:        target.Leaving,
	}
}

func (encoder *encoder) encodeListing(listing coltsfootlink.Listing) *peerpb.ListReply {
	return &peerpb.ListReply{
		Instances: convertAll(listing.Instances, encoder.encodeInstance),
		Targets:   convertAll(listing.Targets, encoder.encodeTarget),
	}
}

func (encoder *encoder) encodeDemand(demand coltsfootlink.Demand) *peerpb.Demand {
	return &peerpb.Demand{
		ShardRef:   encoder.shard(demand.Shard),
		EpochRef:   encoder.number(uint64(demand.Epoch)),
		LastSerial: demand.LastSerial,
		Teams:      convertAll(demand.Teams, encoder.encodeTeamDemand),
		Full:       demand.Full,
	}
}

func (encoder *encoder) encodeTeamDemand(team coltsfootlink.TeamDemand) *peerpb.TeamDemand {
	encoded := &peerpb.TeamDemand{TeamRef: encoder.ref(string(team.Team)), Waiting: uint32(team.Waiting)}
	if team.Waiting > 0 {
		encoded.OldestUnixMillis = toUnixMillis(team.Oldest)
		encoded.Hint = float32(team.Hint)
	}
	return encoded
}

func (encoder *encoder) encodePermit(permit coltsfootlink.Permit) *peerpb.Permit {
	return &peerpb.Permit{
		EpochRef:          encoder.number(uint64(permit.ID.Epoch)),
		Serial:            permit.ID.Serial,
		ShardRef:          encoder.shard(permit.Shard),
		TargetRef:         encoder.ref(string(permit.Target)),
		TeamRef:           encoder.ref(string(permit.Team)),
		Charge:            float32(permit.Charge),
		StartByUnixMillis: toUnixMillis(permit.StartBy),
		HolderRef:         encoder.ref(string(permit.Holder)),
	}
}

// encodeGrant sends the shard, epoch, start deadline and holder once for all permits: a grant is from one owner to one
// holder and has permits of one shard only.
func (encoder *encoder) encodeGrant(grant coltsfootlink.Grant) *peerpb.Grant {
	first := grant.Permits[0]
	encoded := &peerpb.Grant{
		ShardRef:          encoder.shard(first.Shard),
		EpochRef:          encoder.number(uint64(first.ID.Epoch)),
		StartByUnixMillis: toUnixMillis(first.StartBy),
		HolderRef:         encoder.ref(string(first.Holder)),
	}
	for _, permit := range grant.Permits {
		encoded.Permits = append(encoded.Permits, &peerpb.Permit{
			Serial:    permit.ID.Serial,
			TargetRef: encoder.ref(string(permit.Target)),
			TeamRef:   encoder.ref(string(permit.Team)),
			Charge:    float32(permit.Charge),
		})
	}
	return encoded
}

// encodeRelease sends only the fields by which the owner finds the permit: its ID, shard and target.
func (encoder *encoder) encodeRelease(release coltsfootlink.Release) *peerpb.Release {
	return &peerpb.Release{
		Permit: &peerpb.Permit{
			EpochRef:  encoder.number(uint64(release.Permit.ID.Epoch)),
			Serial:    release.Permit.ID.Serial,
			ShardRef:  encoder.shard(release.Permit.Shard),
			TargetRef: encoder.ref(string(release.Permit.Target)),
		},
		ResultRef:       encoder.ref(string(release.Usage.Result)),
		Cost:            float32(release.Usage.Cost),
		FirstByteMillis: float32(release.Usage.FirstByteMillis),
		IncarnationRef:  encoder.number(release.Usage.Incarnation),
		Fingerprint:     release.Usage.Fingerprint,
		RouteRef:        encoder.ref(release.Usage.Route),
	}
}

func (encoder *encoder) encodeTakeover(takeover coltsfootlink.Takeover) *peerpb.Takeover {
	return &peerpb.Takeover{
		ShardRef: encoder.shard(takeover.Shard),
		EpochRef: encoder.number(uint64(takeover.Epoch)),
		OwnerRef: encoder.ref(string(takeover.Owner)),
	}
}

func (encoder *encoder) encodeHoldings(holdings coltsfootlink.Holdings) *peerpb.Holdings {
	return &peerpb.Holdings{
		ShardRef:   encoder.shard(holdings.Shard),
		EpochRef:   encoder.number(uint64(holdings.Epoch)),
		LastSerial: holdings.LastSerial,
		Permits:    convertAll(holdings.Permits, encoder.encodePermit),
	}
}

func (encoder *encoder) encodeCounters(counters coltsfootlink.Counters) *peerpb.Counters {
	return &peerpb.Counters{
		PoolRef: encoder.ref(string(counters.Pool)),
		Parts:   convertAll(counters.Parts, encoder.encodePart),
		Lifts:   convertAll(counters.Lifts, encoder.encodeLift),
	}
}

func (encoder *encoder) encodePart(part coltsfootlink.CounterPart) *peerpb.CounterPart {
	return &peerpb.CounterPart{
		TeamRef:        encoder.ref(string(part.Team)),
		InstanceRef:    encoder.ref(string(part.Instance)),
		IncarnationRef: encoder.number(part.Incarnation),
		Charged:        part.Charged,
		Refunded:       part.Refunded,
	}
}

func (encoder *encoder) encodeLift(lift coltsfootlink.CounterLift) *peerpb.CounterLift {
	return &peerpb.CounterLift{TeamRef: encoder.ref(string(lift.Team)), Lift: lift.Lift}
}

func (encoder *encoder) encodeStrike(strike coltsfootlink.Strike) *peerpb.Strike {
	return &peerpb.Strike{
		Fingerprint:        strike.Fingerprint,
		TargetRef:          encoder.ref(string(strike.Target)),
		IncarnationRef:     encoder.number(strike.Incarnation),
		DeadlineUnixMillis: toUnixMillis(strike.Deadline),
		Cleared:            strike.Cleared,
	}
}

func (encoder *encoder) encodeRevisionReply(reply coltsfootlink.RevisionReply) *peerpb.RevisionReply {
	return &peerpb.RevisionReply{
		Revision: uint64(reply.Revision),
		Offset:   reply.Position.Offset,
		Era:      reply.Position.Era,
		Document: reply.Document,
	}
}

func (encoder *encoder) encodeClaimRequest(request coltsfootlink.ClaimRequest) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Key:                request.Key,
		Attempt:            request.Attempt,
		DeadlineUnixMillis: toUnixMillis(request.Deadline),
	}
}

func (encoder *encoder) encodeClaimReply(reply coltsfootlink.ClaimReply) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{
		Attempt:    reply.Attempt,
		Won:        reply.Won,
		Settled:    reply.Settled,
		OutcomeRef: encoder.ref(string(reply.Outcome)),
	}
}

func (encoder *encoder) encodeClaimOutcome(outcome coltsfootlink.ClaimOutcome) *peerpb.ClaimOutcome {
	return &peerpb.ClaimOutcome{
		Key:        outcome.Key,
		Attempt:    outcome.Attempt,
		OutcomeRef: encoder.ref(string(outcome.Outcome)),
	}
}

func (encoder *encoder) encodeMoveFault(fault coltsfootlink.MoveFault) *peerpb.MoveFault {
	return &peerpb.MoveFault{
		PoolRef: encoder.ref(string(fault.Pool)),
		Started: uint64(fault.Started),
		Reason:  fault.Reason,
	}
}

func (encoder *encoder) encodeMoveProgress(progress coltsfootlink.MoveProgress) *peerpb.MoveProgress {
	return &peerpb.MoveProgress{
		ShardRef: encoder.shard(progress.Shard),
		Started:  uint64(progress.Started),
		Complete: progress.Complete,
		Healthy:  progress.Healthy,
	}
}
