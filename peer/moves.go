package peer

import (
	"coltsfootlink"
	"coltsfootlink/peerpb"
)

func (stream *encoder) encodeMoveUsages(usages coltsfootlink.MoveUsages) *peerpb.MoveUsages {
	return &peerpb.MoveUsages{
		PoolRef:    stream.ref(string(usages.Pool)),
		Started:    uint64(usages.Started),
		RunningOld: uint32(usages.RunningOld),
		RunningNew: uint32(usages.RunningNew),
		Usages: convertAll(usages.Usages, func(usage coltsfootlink.MoveUsage) *peerpb.MoveUsage {
			return &peerpb.MoveUsage{New: usage.OnNewVersion, RouteRef: stream.ref(usage.Route), Failed: usage.Failed, Millis: float32(usage.Millis)}
		}),
	}
}

func (stream *decoder) decodeMoveUsages(usages *peerpb.MoveUsages) coltsfootlink.MoveUsages {
	return coltsfootlink.MoveUsages{
		Pool:       coltsfootlink.PoolName(stream.name(usages.GetPoolRef())),
		Started:    coltsfootlink.Revision(usages.GetStarted()),
		RunningOld: int(usages.GetRunningOld()),
		RunningNew: int(usages.GetRunningNew()),
		Usages: convertAll(usages.GetUsages(), func(usage *peerpb.MoveUsage) coltsfootlink.MoveUsage {
			return coltsfootlink.MoveUsage{OnNewVersion: usage.GetNew(), Route: stream.name(usage.GetRouteRef()), Failed: usage.GetFailed(), Millis: float64(usage.GetMillis())}
		}),
	}
}

func (stream *encoder) encodeMoveWord(word coltsfootlink.MoveWord) *peerpb.MoveWord {
	return &peerpb.MoveWord{
		PoolRef:             stream.ref(string(word.Move.Pool)),
		ToRef:               stream.ref(string(word.Move.To)),
		Started:             uint64(word.Move.Started),
		OrderedAtUnixMillis: toMillis(word.Move.OrderedAt),
		FinishByUnixMillis:  toMillis(word.Move.FinishBy),
		StateRef:            stream.ref(string(word.Move.State)),
		ReasonRef:           stream.ref(word.Move.Reason),
		Share:               float32(word.Share),
	}
}

func (stream *decoder) decodeMoveWord(word *peerpb.MoveWord) coltsfootlink.MoveWord {
	return coltsfootlink.MoveWord{
		Move: coltsfootlink.Move{
			Pool:      coltsfootlink.PoolName(stream.name(word.GetPoolRef())),
			To:        coltsfootlink.Version(stream.name(word.GetToRef())),
			Started:   coltsfootlink.Revision(word.GetStarted()),
			OrderedAt: fromMillis(word.GetOrderedAtUnixMillis()),
			FinishBy:  fromMillis(word.GetFinishByUnixMillis()),
			State:     coltsfootlink.MoveState(stream.name(word.GetStateRef())),
			Reason:    stream.name(word.GetReasonRef()),
		},
		Share: float64(word.GetShare()),
	}
}
