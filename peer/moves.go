package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (encoder *encoder) encodeMoveUsages(usages coltsfootlink.MoveUsages) *peerpb.MoveUsages {
	return &peerpb.MoveUsages{
		PoolRef:    encoder.ref(string(usages.Pool)),
		Started:    usages.Started.Position().Offset,
		StartedEra: usages.Started.Position().Era,
		RunningOld: uint32(usages.RunningOld),
		RunningNew: uint32(usages.RunningNew),
		Usages: convertAll(usages.Usages, func(usage coltsfootlink.MoveUsage) *peerpb.MoveUsage {
			return &peerpb.MoveUsage{New: usage.OnNewVersion, RouteRef: encoder.ref(usage.Route), Failed: usage.Failed, Millis: float32(usage.Millis), ExpectedMillis: float32(usage.ExpectedMillis)}
		}),
	}
}

func (decoder *decoder) decodeMoveUsages(usages *peerpb.MoveUsages) coltsfootlink.MoveUsages {
	return coltsfootlink.MoveUsages{
		Pool:       coltsfootlink.PoolName(decoder.name(usages.GetPoolRef())),
		Started:    coltsfootlink.RevisionAt(coltsfootlink.Position{Era: usages.GetStartedEra(), Offset: usages.GetStarted()}),
		RunningOld: int(usages.GetRunningOld()),
		RunningNew: int(usages.GetRunningNew()),
		Usages: convertAll(usages.GetUsages(), func(usage *peerpb.MoveUsage) coltsfootlink.MoveUsage {
			return coltsfootlink.MoveUsage{OnNewVersion: usage.GetNew(), Route: decoder.name(usage.GetRouteRef()), Failed: usage.GetFailed(), Millis: float64(usage.GetMillis()), ExpectedMillis: float64(usage.GetExpectedMillis())}
		}),
	}
}

func (encoder *encoder) encodeMoveWord(announcement coltsfootlink.MoveWord) *peerpb.MoveWord {
	return &peerpb.MoveWord{
		PoolRef:             encoder.ref(string(announcement.Move.Pool)),
		ToRef:               encoder.ref(string(announcement.Move.To)),
		Started:             announcement.Move.Identity().Position().Offset,
		StartedEra:          announcement.Move.Identity().Position().Era,
		OrderedAtUnixMillis: toUnixMillis(announcement.Move.OrderedAt),
		FinishByUnixMillis:  toUnixMillis(announcement.Move.FinishBy),
		StateRef:            encoder.ref(string(announcement.Move.State)),
		ReasonRef:           encoder.ref(announcement.Move.Reason),
		Share:               float32(announcement.Share),
		Recorded:            announcement.Recorded,
		ServingRefs:         encoder.versions(announcement.Move.Serving),
		RejectedRefs:        encoder.versions(announcement.Move.Rejected),
	}
}

func (decoder *decoder) decodeMoveWord(announcement *peerpb.MoveWord) coltsfootlink.MoveWord {
	return coltsfootlink.MoveWord{
		Move: coltsfootlink.Move{
			Pool:      coltsfootlink.PoolName(decoder.name(announcement.GetPoolRef())),
			To:        coltsfootlink.Version(decoder.name(announcement.GetToRef())),
			Started:   coltsfootlink.RevisionAt(coltsfootlink.Position{Era: announcement.GetStartedEra(), Offset: announcement.GetStarted()}),
			OrderedAt: fromUnixMillis(announcement.GetOrderedAtUnixMillis()),
			FinishBy:  fromUnixMillis(announcement.GetFinishByUnixMillis()),
			State:     coltsfootlink.MoveState(decoder.name(announcement.GetStateRef())),
			Reason:    decoder.name(announcement.GetReasonRef()),
			Serving:   decoder.versions(announcement.GetServingRefs()),
			Rejected:  decoder.versions(announcement.GetRejectedRefs()),
		},
		Share:    float64(announcement.GetShare()),
		Recorded: announcement.GetRecorded(),
	}
}

func (encoder *encoder) versions(versions []coltsfootlink.Version) []uint32 {
	return convertAll(versions, func(version coltsfootlink.Version) uint32 { return encoder.ref(string(version)) })
}

func (decoder *decoder) versions(refs []uint32) []coltsfootlink.Version {
	return convertAll(refs, func(ref uint32) coltsfootlink.Version { return coltsfootlink.Version(decoder.name(ref)) })
}
