package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (stream *decoder) decodeHeartbeat(heartbeat *peerpb.Heartbeat) coltsfootlink.Heartbeat {
	return coltsfootlink.Heartbeat{
		Entries:        convertAll(heartbeat.GetBeats(), stream.decodeBeat),
		Revision:       coltsfootlink.Revision(heartbeat.GetRevision()),
		Signature:      heartbeat.GetSignature(),
		ReplyRequested: heartbeat.GetAnswer(),
		Probe:          coltsfootlink.InstanceName(stream.name(heartbeat.GetProbeRef())),
		OnBehalfOf:     coltsfootlink.InstanceName(stream.name(heartbeat.GetOnBehalfOfRef())),
		Reachable:      coltsfootlink.InstanceName(stream.name(heartbeat.GetHeardRef())),
		Full:           heartbeat.GetWhole(),
	}
}

func (stream *decoder) decodeBeat(beat *peerpb.Beat) coltsfootlink.HeartbeatEntry {
	return coltsfootlink.HeartbeatEntry{Instance: stream.decodeInstance(beat.GetInstance()), Sequence: beat.GetSequence(), Unresponsive: beat.GetSilent()}
}

func (stream *decoder) decodeInstance(instance *peerpb.Instance) coltsfootlink.Instance {
	return coltsfootlink.Instance{
		Name:        coltsfootlink.InstanceName(stream.name(instance.GetNameRef())),
		Zone:        coltsfootlink.ZoneName(stream.name(instance.GetZoneRef())),
		PeerAddress: stream.name(instance.GetAddressRef()),
		Incarnation: stream.number(instance.GetIncarnationRef()),
		Leaving:     instance.GetLeaving(),
	}
}

func (stream *decoder) decodeTarget(target *peerpb.Target) coltsfootlink.Target {
	return coltsfootlink.Target{
		Name:        coltsfootlink.TargetName(stream.name(target.GetNameRef())),
		Pool:        coltsfootlink.PoolName(stream.name(target.GetPoolRef())),
		Zone:        coltsfootlink.ZoneName(stream.name(target.GetZoneRef())),
		Address:     stream.name(target.GetAddressRef()),
		Version:     coltsfootlink.Version(stream.name(target.GetVersionRef())),
		Incarnation: stream.number(target.GetIncarnationRef()),
		Leaving:     target.GetLeaving(),
	}
}

func (stream *decoder) decodeListing(reply *peerpb.ListReply) coltsfootlink.Listing {
	return coltsfootlink.Listing{
		Instances: convertAll(reply.GetInstances(), stream.decodeInstance),
		Targets:   convertAll(reply.GetTargets(), stream.decodeTarget),
	}
}

func (stream *decoder) decodeDemand(demand *peerpb.Demand) coltsfootlink.Demand {
	return coltsfootlink.Demand{
		Shard:      stream.shard(demand.GetShardRef()),
		Epoch:      coltsfootlink.Epoch(stream.number(demand.GetEpochRef())),
		LastSerial: demand.GetLastSerial(),
		Teams:      convertAll(demand.GetTeams(), stream.decodeTeamDemand),
		Full:       demand.GetFull(),
	}
}

func (stream *decoder) decodeTeamDemand(team *peerpb.TeamDemand) coltsfootlink.TeamDemand {
	return coltsfootlink.TeamDemand{
		Team:    coltsfootlink.TeamName(stream.name(team.GetTeamRef())),
		Waiting: int(team.GetWaiting()),
		Oldest:  fromMillis(team.GetOldestUnixMillis()),
		Hint:    float64(team.GetHint()),
	}
}

func (stream *decoder) decodePermit(permit *peerpb.Permit) coltsfootlink.Permit {
	return coltsfootlink.Permit{
		ID: coltsfootlink.PermitID{
			Epoch:  coltsfootlink.Epoch(stream.number(permit.GetEpochRef())),
			Serial: permit.GetSerial(),
		},
		Shard:   stream.shard(permit.GetShardRef()),
		Target:  coltsfootlink.TargetName(stream.name(permit.GetTargetRef())),
		Team:    coltsfootlink.TeamName(stream.name(permit.GetTeamRef())),
		Holder:  coltsfootlink.InstanceName(stream.name(permit.GetHolderRef())),
		Charge:  float64(permit.GetCharge()),
		StartBy: fromMillis(permit.GetStartByUnixMillis()),
	}
}

func (stream *decoder) decodeGrant(grant *peerpb.Grant) coltsfootlink.Grant {
	decoded := coltsfootlink.Grant{Permits: convertAll(grant.GetPermits(), stream.decodePermit)}
	for index := range decoded.Permits {
		permit := &decoded.Permits[index]
		permit.ID.Epoch = coltsfootlink.Epoch(stream.number(grant.GetEpochRef()))
		permit.Shard = stream.shard(grant.GetShardRef())
		permit.Holder = coltsfootlink.InstanceName(stream.name(grant.GetHolderRef()))
		permit.StartBy = fromMillis(grant.GetStartByUnixMillis())
	}
	return decoded
}

func (stream *decoder) decodeRelease(release *peerpb.Release) coltsfootlink.Release {
	return coltsfootlink.Release{
		Permit: stream.decodePermit(release.GetPermit()),
		Usage: coltsfootlink.Usage{
			Result:          coltsfootlink.Result(stream.name(release.GetResultRef())),
			Cost:            float64(release.GetCost()),
			FirstByteMillis: float64(release.GetFirstByteMillis()),
			Incarnation:     stream.number(release.GetIncarnationRef()),
			Fingerprint:     release.GetFingerprint(),
			Route:           stream.name(release.GetRouteRef()),
		},
	}
}

func (stream *decoder) decodeCounters(counters *peerpb.Counters) coltsfootlink.Counters {
	return coltsfootlink.Counters{
		Pool:  coltsfootlink.PoolName(stream.name(counters.GetPoolRef())),
		Parts: convertAll(counters.GetParts(), stream.decodePart),
		Lifts: convertAll(counters.GetLifts(), stream.decodeLift),
	}
}

func (stream *decoder) decodePart(part *peerpb.CounterPart) coltsfootlink.CounterPart {
	return coltsfootlink.CounterPart{
		Team:        coltsfootlink.TeamName(stream.name(part.GetTeamRef())),
		Instance:    coltsfootlink.InstanceName(stream.name(part.GetInstanceRef())),
		Incarnation: stream.number(part.GetIncarnationRef()),
		Charged:     part.GetCharged(),
		Refunded:    part.GetRefunded(),
	}
}

func (stream *decoder) decodeLift(lift *peerpb.CounterLift) coltsfootlink.CounterLift {
	return coltsfootlink.CounterLift{Team: coltsfootlink.TeamName(stream.name(lift.GetTeamRef())), Lift: lift.GetLift()}
}

func (stream *decoder) decodeStrike(strike *peerpb.Strike) coltsfootlink.Strike {
	return coltsfootlink.Strike{
		Fingerprint: strike.GetFingerprint(),
		Target:      coltsfootlink.TargetName(stream.name(strike.GetTargetRef())),
		Deadline:    fromMillis(strike.GetDeadlineUnixMillis()),
	}
}

func (stream *decoder) decodeClaimRequest(request *peerpb.ClaimRequest) coltsfootlink.ClaimRequest {
	return coltsfootlink.ClaimRequest{
		Key:      request.GetKey(),
		Attempt:  request.GetAttempt(),
		Deadline: fromMillis(request.GetDeadlineUnixMillis()),
	}
}

func (stream *decoder) decodeClaimReply(reply *peerpb.ClaimReply) coltsfootlink.ClaimReply {
	return coltsfootlink.ClaimReply{
		Attempt: reply.GetAttempt(),
		Won:     reply.GetWon(),
		Settled: reply.GetSettled(),
		Outcome: coltsfootlink.Outcome(stream.name(reply.GetOutcomeRef())),
	}
}

func (stream *decoder) decodeClaimOutcome(outcome *peerpb.ClaimOutcome) coltsfootlink.ClaimOutcome {
	return coltsfootlink.ClaimOutcome{
		Key:     outcome.GetKey(),
		Attempt: outcome.GetAttempt(),
		Outcome: coltsfootlink.Outcome(stream.name(outcome.GetOutcomeRef())),
	}
}

func (stream *decoder) decodeMoveFault(fault *peerpb.MoveFault) coltsfootlink.MoveFault {
	return coltsfootlink.MoveFault{
		Pool:    coltsfootlink.PoolName(stream.name(fault.GetPoolRef())),
		Started: coltsfootlink.Revision(fault.GetStarted()),
		Reason:  fault.GetReason(),
	}
}

func (stream *decoder) decodeMoveProgress(progress *peerpb.MoveProgress) coltsfootlink.MoveProgress {
	return coltsfootlink.MoveProgress{
		Shard:    stream.shard(progress.GetShardRef()),
		Started:  coltsfootlink.Revision(progress.GetStarted()),
		Complete: progress.GetComplete(),
		Healthy:  progress.GetHealthy(),
	}
}
