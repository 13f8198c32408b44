package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (decoder *decoder) decodeHeartbeat(heartbeat *peerpb.Heartbeat) coltsfootlink.Heartbeat {
	return coltsfootlink.Heartbeat{
		Entries:        convertAll(heartbeat.GetBeats(), decoder.decodeHeartbeatEntry),
		Revision:       coltsfootlink.Revision(heartbeat.GetRevision()),
		Signature:      heartbeat.GetSignature(),
		ReplyRequested: heartbeat.GetAnswer(),
		Probe:          coltsfootlink.InstanceName(decoder.name(heartbeat.GetProbeRef())),
		OnBehalfOf:     coltsfootlink.InstanceName(decoder.name(heartbeat.GetOnBehalfOfRef())),
		Reachable:      coltsfootlink.InstanceName(decoder.name(heartbeat.GetHeardRef())),
		Full:           heartbeat.GetWhole(),
	}
}

func (decoder *decoder) decodeHeartbeatEntry(entry *peerpb.Beat) coltsfootlink.HeartbeatEntry {
	return coltsfootlink.HeartbeatEntry{Instance: decoder.decodeInstance(entry.GetInstance()), Sequence: entry.GetSequence(), Unresponsive: entry.GetSilent()}
}

func (decoder *decoder) decodeInstance(instance *peerpb.Instance) coltsfootlink.Instance {
	return coltsfootlink.Instance{
		Name:        coltsfootlink.InstanceName(decoder.name(instance.GetNameRef())),
		Zone:        coltsfootlink.ZoneName(decoder.name(instance.GetZoneRef())),
		PeerAddress: decoder.name(instance.GetAddressRef()),
		Incarnation: decoder.number(instance.GetIncarnationRef()),
		Leaving:     instance.GetLeaving(),
		Capacity:    int(instance.GetCapacity()),
	}
}

func (decoder *decoder) decodeTarget(target *peerpb.Target) coltsfootlink.Target {
	return coltsfootlink.Target{
		Name:        coltsfootlink.TargetName(decoder.name(target.GetNameRef())),
		Pool:        coltsfootlink.PoolName(decoder.name(target.GetPoolRef())),
		Zone:        coltsfootlink.ZoneName(decoder.name(target.GetZoneRef())),
		Address:     decoder.name(target.GetAddressRef()),
		Version:     coltsfootlink.Version(decoder.name(target.GetVersionRef())),
		Incarnation: decoder.number(target.GetIncarnationRef()),
		Leaving:     target.GetLeaving(),
	}
}

func (decoder *decoder) decodeListing(reply *peerpb.ListReply) coltsfootlink.Listing {
	return coltsfootlink.Listing{
		Instances: convertAll(reply.GetInstances(), decoder.decodeInstance),
		Targets:   convertAll(reply.GetTargets(), decoder.decodeTarget),
	}
}

func (decoder *decoder) decodeDemand(demand *peerpb.Demand) coltsfootlink.Demand {
	return coltsfootlink.Demand{
		Shard:      decoder.shard(demand.GetShardRef()),
		Epoch:      coltsfootlink.Epoch(decoder.number(demand.GetEpochRef())),
		LastSerial: demand.GetLastSerial(),
		Teams:      convertAll(demand.GetTeams(), decoder.decodeTeamDemand),
		Full:       demand.GetFull(),
	}
}

func (decoder *decoder) decodeTeamDemand(team *peerpb.TeamDemand) coltsfootlink.TeamDemand {
	return coltsfootlink.TeamDemand{
		Team:    coltsfootlink.TeamName(decoder.name(team.GetTeamRef())),
		Waiting: int(team.GetWaiting()),
		Oldest:  fromUnixMillis(team.GetOldestUnixMillis()),
		Hint:    float64(team.GetHint()),
	}
}

func (decoder *decoder) decodePermit(permit *peerpb.Permit) coltsfootlink.Permit {
	return coltsfootlink.Permit{
		ID: coltsfootlink.PermitID{
			Epoch:  coltsfootlink.Epoch(decoder.number(permit.GetEpochRef())),
			Serial: permit.GetSerial(),
		},
		Shard:   decoder.shard(permit.GetShardRef()),
		Target:  coltsfootlink.TargetName(decoder.name(permit.GetTargetRef())),
		Team:    coltsfootlink.TeamName(decoder.name(permit.GetTeamRef())),
		Holder:  coltsfootlink.InstanceName(decoder.name(permit.GetHolderRef())),
		Charge:  float64(permit.GetCharge()),
		StartBy: fromUnixMillis(permit.GetStartByUnixMillis()),
	}
}

func (decoder *decoder) decodeGrant(grant *peerpb.Grant) coltsfootlink.Grant {
	decoded := coltsfootlink.Grant{Permits: convertAll(grant.GetPermits(), decoder.decodePermit)}
	for index := range decoded.Permits {
		permit := &decoded.Permits[index]
		permit.ID.Epoch = coltsfootlink.Epoch(decoder.number(grant.GetEpochRef()))
		permit.Shard = decoder.shard(grant.GetShardRef())
		permit.Holder = coltsfootlink.InstanceName(decoder.name(grant.GetHolderRef()))
		permit.StartBy = fromUnixMillis(grant.GetStartByUnixMillis())
	}
	return decoded
}

func (decoder *decoder) decodeRelease(release *peerpb.Release) coltsfootlink.Release {
	return coltsfootlink.Release{
		Permit: decoder.decodePermit(release.GetPermit()),
		Usage: coltsfootlink.Usage{
			Result:          coltsfootlink.Result(decoder.name(release.GetResultRef())),
			Cost:            float64(release.GetCost()),
			FirstByteMillis: float64(release.GetFirstByteMillis()),
			Incarnation:     decoder.number(release.GetIncarnationRef()),
			Fingerprint:     release.GetFingerprint(),
			Route:           decoder.name(release.GetRouteRef()),
		},
	}
}

func (decoder *decoder) decodeCounters(counters *peerpb.Counters) coltsfootlink.Counters {
	return coltsfootlink.Counters{
		Pool:  coltsfootlink.PoolName(decoder.name(counters.GetPoolRef())),
		Parts: convertAll(counters.GetParts(), decoder.decodePart),
		Lifts: convertAll(counters.GetLifts(), decoder.decodeLift),
	}
}

func (decoder *decoder) decodePart(part *peerpb.CounterPart) coltsfootlink.CounterPart {
	return coltsfootlink.CounterPart{
		Team:        coltsfootlink.TeamName(decoder.name(part.GetTeamRef())),
		Instance:    coltsfootlink.InstanceName(decoder.name(part.GetInstanceRef())),
		Incarnation: decoder.number(part.GetIncarnationRef()),
		Charged:     part.GetCharged(),
		Refunded:    part.GetRefunded(),
	}
}

func (decoder *decoder) decodeLift(lift *peerpb.CounterLift) coltsfootlink.CounterLift {
	return coltsfootlink.CounterLift{Team: coltsfootlink.TeamName(decoder.name(lift.GetTeamRef())), Lift: lift.GetLift()}
}

func (decoder *decoder) decodeStrike(strike *peerpb.Strike) coltsfootlink.Strike {
	return coltsfootlink.Strike{
		Fingerprint: strike.GetFingerprint(),
		Target:      coltsfootlink.TargetName(decoder.name(strike.GetTargetRef())),
		Incarnation: decoder.number(strike.GetIncarnationRef()),
		Deadline:    fromUnixMillis(strike.GetDeadlineUnixMillis()),
		Cleared:     strike.GetCleared(),
	}
}

func (decoder *decoder) decodeClaimRequest(request *peerpb.ClaimRequest) coltsfootlink.ClaimRequest {
	return coltsfootlink.ClaimRequest{
		Key:      request.GetKey(),
		Attempt:  request.GetAttempt(),
		Deadline: fromUnixMillis(request.GetDeadlineUnixMillis()),
	}
}

func (decoder *decoder) decodeClaimReply(reply *peerpb.ClaimReply) coltsfootlink.ClaimReply {
	return coltsfootlink.ClaimReply{
		Attempt: reply.GetAttempt(),
		Won:     reply.GetWon(),
		Settled: reply.GetSettled(),
		Outcome: coltsfootlink.Outcome(decoder.name(reply.GetOutcomeRef())),
	}
}

func (decoder *decoder) decodeClaimOutcome(outcome *peerpb.ClaimOutcome) coltsfootlink.ClaimOutcome {
	return coltsfootlink.ClaimOutcome{
		Key:     outcome.GetKey(),
		Attempt: outcome.GetAttempt(),
		Outcome: coltsfootlink.Outcome(decoder.name(outcome.GetOutcomeRef())),
	}
}

func (decoder *decoder) decodeMoveFault(fault *peerpb.MoveFault) coltsfootlink.MoveFault {
	return coltsfootlink.MoveFault{
		Pool:    coltsfootlink.PoolName(decoder.name(fault.GetPoolRef())),
		Started: coltsfootlink.Revision(fault.GetStarted()),
		Reason:  fault.GetReason(),
	}
}

func (decoder *decoder) decodeMoveProgress(progress *peerpb.MoveProgress) coltsfootlink.MoveProgress {
	return coltsfootlink.MoveProgress{
		Shard:    decoder.shard(progress.GetShardRef()),
		Started:  coltsfootlink.Revision(progress.GetStarted()),
		Complete: progress.GetComplete(),
		Healthy:  progress.GetHealthy(),
	}
}
