package peer

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// Clocks of instances differ, so times of these messages travel as milliseconds from now.

func untilMillis(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(at).Milliseconds()))
}

func inMillis(millis uint32) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

func encodeWork(work coltsfootlink.Work) *peerpb.Work {
	return &peerpb.Work{
		Prompt: convertAll(work.Prompt, func(part coltsfootlink.CachePart) *peerpb.CachePart {
			return &peerpb.CachePart{Key: part.Key, Tokens: uint32(part.Tokens)}
		}),
		PromptTokens: uint32(work.PromptTokens),
		OutputTokens: uint32(work.OutputTokens),
	}
}

func decodeWork(work *peerpb.Work) coltsfootlink.Work {
	return coltsfootlink.Work{
		Prompt: convertAll(work.GetPrompt(), func(part *peerpb.CachePart) coltsfootlink.CachePart {
			return coltsfootlink.CachePart{Key: part.GetKey(), Tokens: int(part.GetTokens())}
		}),
		PromptTokens: int(work.GetPromptTokens()),
		OutputTokens: int(work.GetOutputTokens()),
	}
}

func (stream *encoder) encodeAsk(ask coltsfootlink.Ask) *peerpb.Ask {
	return &peerpb.Ask{
		Serial:          ask.Serial,
		TargetRef:       stream.ref(string(ask.Target)),
		TeamRef:         stream.ref(string(ask.Team)),
		Work:            encodeWork(ask.Work),
		ObjectiveMillis: untilMillis(ask.Objective),
		LeftMillis:      untilMillis(ask.Deadline),
		Rank:            uint32(ask.Rank),
		Standing:        uint32(ask.Standing),
		Patience:        float32(ask.MaxWaitFraction),
	}
}

func (stream *decoder) decodeAsk(ask *peerpb.Ask) coltsfootlink.Ask {
	return coltsfootlink.Ask{
		Serial:          ask.GetSerial(),
		Target:          coltsfootlink.TargetName(stream.name(ask.GetTargetRef())),
		Team:            coltsfootlink.TeamName(stream.name(ask.GetTeamRef())),
		Work:            decodeWork(ask.GetWork()),
		Objective:       inMillis(ask.GetObjectiveMillis()),
		Deadline:        inMillis(ask.GetLeftMillis()),
		Rank:            int(ask.GetRank()),
		Standing:        coltsfootlink.Standing(ask.GetStanding()),
		MaxWaitFraction: float64(ask.GetPatience()),
	}
}

func (stream *encoder) encodeVerdict(verdict coltsfootlink.Verdict) *peerpb.Verdict {
	return &peerpb.Verdict{
		Serial:         verdict.Serial,
		ReasonRef:      stream.ref(string(verdict.Reason)),
		RetryMillis:    untilMillis(verdict.RetryAt),
		ExpectedMillis: uint32(max(0, verdict.ExpectedMillis)),
		WaitMillis:     uint32(max(0, verdict.WaitMillis)),
		Paced:          verdict.Paced,
	}
}

func (stream *decoder) decodeVerdict(verdict *peerpb.Verdict) coltsfootlink.Verdict {
	return coltsfootlink.Verdict{
		Serial:         verdict.GetSerial(),
		Reason:         coltsfootlink.Reason(stream.name(verdict.GetReasonRef())),
		RetryAt:        inMillis(verdict.GetRetryMillis()),
		ExpectedMillis: int(verdict.GetExpectedMillis()),
		WaitMillis:     int(verdict.GetWaitMillis()),
		Paced:          verdict.GetPaced(),
	}
}

func (stream *encoder) encodeProgress(progress coltsfootlink.Progress) *peerpb.Progress {
	return &peerpb.Progress{
		Serial:    progress.Serial,
		TargetRef: stream.ref(string(progress.Target)),
		Stage:     uint32(progress.Stage),
		ResultRef: stream.ref(string(progress.Result)),
		Millis:    uint32(progress.Millis),
	}
}

func (stream *decoder) decodeProgress(progress *peerpb.Progress) coltsfootlink.Progress {
	return coltsfootlink.Progress{
		Serial: progress.GetSerial(),
		Target: coltsfootlink.TargetName(stream.name(progress.GetTargetRef())),
		Stage:  coltsfootlink.ProgressStage(progress.GetStage()),
		Result: coltsfootlink.Result(stream.name(progress.GetResultRef())),
		Millis: int(progress.GetMillis()),
	}
}

func (stream *encoder) encodeHeld(held coltsfootlink.Held) *peerpb.Held {
	return &peerpb.Held{
		TargetRef: stream.ref(string(held.Target)),
		Runs: convertAll(held.Requests, func(run coltsfootlink.HeldRequest) *peerpb.HeldRun {
			return &peerpb.HeldRun{
				Serial:     run.Serial,
				Work:       encodeWork(run.Work),
				LeftMillis: untilMillis(run.Deadline),
				Read:       run.FirstEventReceived,
				TeamRef:    stream.ref(string(run.Team)),
			}
		}),
	}
}

func (stream *decoder) decodeHeld(held *peerpb.Held) coltsfootlink.Held {
	return coltsfootlink.Held{
		Target: coltsfootlink.TargetName(stream.name(held.GetTargetRef())),
		Requests: convertAll(held.GetRuns(), func(run *peerpb.HeldRun) coltsfootlink.HeldRequest {
			return coltsfootlink.HeldRequest{
				Serial:             run.GetSerial(),
				Work:               decodeWork(run.GetWork()),
				Deadline:           inMillis(run.GetLeftMillis()),
				FirstEventReceived: run.GetRead(),
				Team:               coltsfootlink.TeamName(stream.name(run.GetTeamRef())),
			}
		}),
	}
}

func (stream *encoder) encodeNews(news coltsfootlink.News) *peerpb.News {
	return &peerpb.News{
		Records: convertAll(news.Records, func(record coltsfootlink.CatalogRecord) *peerpb.NewsRecord {
			return &peerpb.NewsRecord{
				StreamRef: stream.ref(string(record.Stream)),
				Offset:    record.Offset,
				Key:       record.Key,
				Value:     record.Value,
				Removed:   record.Removed,
			}
		}),
		AgeMillis: uint32(max(0, time.Since(news.ReadAt).Milliseconds())),
		Signature: news.Signature,
	}
}

func (stream *decoder) decodeNews(news *peerpb.News) coltsfootlink.News {
	return coltsfootlink.News{
		Records: convertAll(news.GetRecords(), func(record *peerpb.NewsRecord) coltsfootlink.CatalogRecord {
			return coltsfootlink.CatalogRecord{
				Stream:  coltsfootlink.CatalogStream(stream.name(record.GetStreamRef())),
				Offset:  record.GetOffset(),
				Key:     record.GetKey(),
				Value:   record.GetValue(),
				Removed: record.GetRemoved(),
			}
		}),
		ReadAt:    time.Now().Add(-time.Duration(news.GetAgeMillis()) * time.Millisecond),
		Signature: news.GetSignature(),
	}
}

func (stream *encoder) encodeOffered(offered coltsfootlink.Offered) *peerpb.Offered {
	return &peerpb.Offered{
		Tried:   float32(offered.Attempted),
		Full:    float32(offered.RefusedFull),
		PoolRef: stream.ref(string(offered.Pool)),
		Teams: convertAll(offered.Teams, func(team coltsfootlink.TeamLoad) *peerpb.TeamOffer {
			return &peerpb.TeamOffer{TeamRef: stream.ref(string(team.Team)), Tokens: float32(team.Tokens), Granted: float32(team.Granted)}
		}),
	}
}

func (stream *decoder) decodeOffered(offered *peerpb.Offered) coltsfootlink.Offered {
	return coltsfootlink.Offered{
		Attempted:   float64(offered.GetTried()),
		RefusedFull: float64(offered.GetFull()),
		Pool:        coltsfootlink.PoolName(stream.name(offered.GetPoolRef())),
		Teams: convertAll(offered.GetTeams(), func(team *peerpb.TeamOffer) coltsfootlink.TeamLoad {
			return coltsfootlink.TeamLoad{Team: coltsfootlink.TeamName(stream.name(team.GetTeamRef())), Tokens: float64(team.GetTokens()), Granted: float64(team.GetGranted())}
		}),
	}
}

func (stream *encoder) encodeShares(shares coltsfootlink.Shares) *peerpb.Shares {
	return &peerpb.Shares{
		Patience: float32(shares.MaxWaitFraction),
		PoolRef:  stream.ref(string(shares.Pool)),
		Teams: convertAll(shares.Teams, func(team coltsfootlink.TeamShare) *peerpb.TeamShare {
			return &peerpb.TeamShare{TeamRef: stream.ref(string(team.Team)), Entitled: float32(team.Entitled), Bearable: float32(team.Bearable), Surplus: float32(team.Surplus)}
		}),
	}
}

func (stream *decoder) decodeShares(shares *peerpb.Shares) coltsfootlink.Shares {
	return coltsfootlink.Shares{
		MaxWaitFraction: float64(shares.GetPatience()),
		Pool:            coltsfootlink.PoolName(stream.name(shares.GetPoolRef())),
		Teams: convertAll(shares.GetTeams(), func(team *peerpb.TeamShare) coltsfootlink.TeamShare {
			return coltsfootlink.TeamShare{
				Team:     coltsfootlink.TeamName(stream.name(team.GetTeamRef())),
				Entitled: float64(team.GetEntitled()),
				Bearable: float64(team.GetBearable()),
				Surplus:  float64(team.GetSurplus()),
			}
		}),
	}
}
