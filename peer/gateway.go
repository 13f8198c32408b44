package peer

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// This file has the codec of Ask, Verdict, Progress, Held, TargetNotice, News, Offered and Shares. Clocks of instances differ, so
// times in these messages are sent relative to now: deadlines as the milliseconds left, the time at which News was read
// as its age in milliseconds.

// millisUntil returns the milliseconds until a time, at least 1 if the time has passed; zero for the zero time.
func millisUntil(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(at).Milliseconds()))
}

// timeInMillis is the inverse of millisUntil, on the receiver's clock.
func timeInMillis(millis uint32) time.Time {
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

func (encoder *encoder) encodeAsk(ask coltsfootlink.Ask) *peerpb.Ask {
	return &peerpb.Ask{
		Serial:          ask.Serial,
		TargetRef:       encoder.ref(string(ask.Target)),
		TeamRef:         encoder.ref(string(ask.Team)),
		Work:            encodeWork(ask.Work),
		ObjectiveMillis: millisUntil(ask.Objective),
		LeftMillis:      millisUntil(ask.Deadline),
		Rank:            uint32(ask.Rank),
		Standing:        uint32(ask.Standing),
		Patience:        float32(ask.MaxWaitFraction),
		Trial:           ask.Trial,
	}
}

func (decoder *decoder) decodeAsk(ask *peerpb.Ask) coltsfootlink.Ask {
	return coltsfootlink.Ask{
		Serial:          ask.GetSerial(),
		Target:          coltsfootlink.TargetName(decoder.name(ask.GetTargetRef())),
		Team:            coltsfootlink.TeamName(decoder.name(ask.GetTeamRef())),
		Work:            decodeWork(ask.GetWork()),
		Objective:       timeInMillis(ask.GetObjectiveMillis()),
		Deadline:        timeInMillis(ask.GetLeftMillis()),
		Rank:            int(ask.GetRank()),
		Standing:        coltsfootlink.Standing(ask.GetStanding()),
		MaxWaitFraction: float64(ask.GetPatience()),
		Trial:           ask.GetTrial(),
	}
}

func (encoder *encoder) encodeVerdict(verdict coltsfootlink.Verdict) *peerpb.Verdict {
	return &peerpb.Verdict{
		Serial:         verdict.Serial,
		ReasonRef:      encoder.ref(string(verdict.Reason)),
		RetryMillis:    millisUntil(verdict.RetryAt),
		ExpectedMillis: uint32(max(0, verdict.ExpectedMillis)),
		WaitMillis:     uint32(max(0, verdict.WaitMillis)),
		Paced:          verdict.Paced,
	}
}

func (decoder *decoder) decodeVerdict(verdict *peerpb.Verdict) coltsfootlink.Verdict {
	return coltsfootlink.Verdict{
		Serial:         verdict.GetSerial(),
		Reason:         coltsfootlink.Reason(decoder.name(verdict.GetReasonRef())),
		RetryAt:        timeInMillis(verdict.GetRetryMillis()),
		ExpectedMillis: int(verdict.GetExpectedMillis()),
		WaitMillis:     int(verdict.GetWaitMillis()),
		Paced:          verdict.GetPaced(),
	}
}

func (encoder *encoder) encodeProgress(progress coltsfootlink.Progress) *peerpb.Progress {
	return &peerpb.Progress{
		Serial:    progress.Serial,
		TargetRef: encoder.ref(string(progress.Target)),
		Stage:     uint32(progress.Stage),
		ResultRef: encoder.ref(string(progress.Result)),
		Millis:    uint32(progress.Millis),
	}
}

func (decoder *decoder) decodeProgress(progress *peerpb.Progress) coltsfootlink.Progress {
	return coltsfootlink.Progress{
		Serial: progress.GetSerial(),
		Target: coltsfootlink.TargetName(decoder.name(progress.GetTargetRef())),
		Stage:  coltsfootlink.ProgressStage(progress.GetStage()),
		Result: coltsfootlink.Result(decoder.name(progress.GetResultRef())),
		Millis: int(progress.GetMillis()),
	}
}

func (encoder *encoder) encodeHeld(held coltsfootlink.Held) *peerpb.Held {
	return &peerpb.Held{
		TargetRef: encoder.ref(string(held.Target)),
		Runs: convertAll(held.Requests, func(request coltsfootlink.HeldRequest) *peerpb.HeldRun {
			return &peerpb.HeldRun{
				Serial:     request.Serial,
				Work:       encodeWork(request.Work),
				LeftMillis: millisUntil(request.Deadline),
				Read:       request.FirstEventReceived,
				TeamRef:    encoder.ref(string(request.Team)),
			}
		}),
	}
}

func (decoder *decoder) decodeHeld(held *peerpb.Held) coltsfootlink.Held {
	return coltsfootlink.Held{
		Target: coltsfootlink.TargetName(decoder.name(held.GetTargetRef())),
		Requests: convertAll(held.GetRuns(), func(request *peerpb.HeldRun) coltsfootlink.HeldRequest {
			return coltsfootlink.HeldRequest{
				Serial:             request.GetSerial(),
				Work:               decodeWork(request.GetWork()),
				Deadline:           timeInMillis(request.GetLeftMillis()),
				FirstEventReceived: request.GetRead(),
				Team:               coltsfootlink.TeamName(decoder.name(request.GetTeamRef())),
			}
		}),
	}
}

func (encoder *encoder) encodeTargetNotice(notice coltsfootlink.TargetNotice) *peerpb.TargetNotice {
	return &peerpb.TargetNotice{
		TargetRef:      encoder.ref(string(notice.Target)),
		IncarnationRef: encoder.number(notice.Incarnation),
		Leaving:        notice.Leaving,
		RetryMillis:    millisUntil(notice.RetryAt),
	}
}

func (decoder *decoder) decodeTargetNotice(notice *peerpb.TargetNotice) coltsfootlink.TargetNotice {
	return coltsfootlink.TargetNotice{
		Target:      coltsfootlink.TargetName(decoder.name(notice.GetTargetRef())),
		Incarnation: decoder.number(notice.GetIncarnationRef()),
		Leaving:     notice.GetLeaving(),
		RetryAt:     timeInMillis(notice.GetRetryMillis()),
	}
}

func (encoder *encoder) encodeNews(news coltsfootlink.News) *peerpb.News {
	return &peerpb.News{
		Records: convertAll(news.Records, func(record coltsfootlink.CatalogRecord) *peerpb.NewsRecord {
			return &peerpb.NewsRecord{
				StreamRef: encoder.ref(string(record.Stream)),
				Offset:    record.Position.Offset,
				Era:       record.Position.Era,
				OriginEra: record.Origin.Era, OriginOffset: record.Origin.Offset,
				Key:     record.Key,
				Value:   record.Value,
				Removed: record.Removed,
			}
		}),
		AgeMillis: uint32(max(0, time.Since(news.ReadAt).Milliseconds())),
		Signature: news.Signature,
		Ends:      encoder.encodeEnds(news.Ends),
		Era:       news.Era,
		Eras:      encoder.encodeEras(news.Eras),
	}
}

func (encoder *encoder) encodeEras(eras map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra) []*peerpb.StreamEra {
	var encoded []*peerpb.StreamEra
	for stream, era := range eras {
		encoded = append(encoded, &peerpb.StreamEra{
			StreamRef: encoder.ref(string(stream)), Era: era.Begun.Era, Begun: era.Begun.Offset,
			SettleMillis: uint32(max(0, time.Until(era.SettleBy).Milliseconds())), Confirmed: era.Confirmed,
		})
	}
	return encoded
}

func (decoder *decoder) decodeEras(encoded []*peerpb.StreamEra) map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra {
	if len(encoded) == 0 {
		return nil
	}
	eras := make(map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra, len(encoded))
	for _, era := range encoded {
		eras[coltsfootlink.CatalogStream(decoder.name(era.GetStreamRef()))] = coltsfootlink.StreamEra{
			Begun:    coltsfootlink.Position{Era: era.GetEra(), Offset: era.GetBegun()},
			SettleBy: time.Now().Add(time.Duration(era.GetSettleMillis()) * time.Millisecond), Confirmed: era.GetConfirmed(),
		}
	}
	return eras
}

func (encoder *encoder) encodeEnds(ends map[coltsfootlink.CatalogStream]coltsfootlink.Position) []*peerpb.StreamEnd {
	var encoded []*peerpb.StreamEnd
	for stream, end := range ends {
		encoded = append(encoded, &peerpb.StreamEnd{StreamRef: encoder.ref(string(stream)), End: end.Offset, Era: end.Era})
	}
	return encoded
}

func (decoder *decoder) decodeEnds(encoded []*peerpb.StreamEnd) map[coltsfootlink.CatalogStream]coltsfootlink.Position {
	if len(encoded) == 0 {
		return nil
	}
	ends := make(map[coltsfootlink.CatalogStream]coltsfootlink.Position, len(encoded))
	for _, end := range encoded {
		ends[coltsfootlink.CatalogStream(decoder.name(end.GetStreamRef()))] = coltsfootlink.Position{Era: end.GetEra(), Offset: end.GetEnd()}
	}
	return ends
}

func (decoder *decoder) decodeNews(news *peerpb.News) coltsfootlink.News {
	return coltsfootlink.News{
		Records: convertAll(news.GetRecords(), func(record *peerpb.NewsRecord) coltsfootlink.CatalogRecord {
			return coltsfootlink.CatalogRecord{
				Stream:   coltsfootlink.CatalogStream(decoder.name(record.GetStreamRef())),
				Position: coltsfootlink.Position{Era: record.GetEra(), Offset: record.GetOffset()},
				Origin:   coltsfootlink.Position{Era: record.GetOriginEra(), Offset: record.GetOriginOffset()},
				Key:      record.GetKey(),
				Value:    record.GetValue(),
				Removed:  record.GetRemoved(),
			}
		}),
		ReadAt:    time.Now().Add(-time.Duration(news.GetAgeMillis()) * time.Millisecond),
		Signature: news.GetSignature(),
		Ends:      decoder.decodeEnds(news.GetEnds()),
		Era:       news.GetEra(),
		Eras:      decoder.decodeEras(news.GetEras()),
	}
}

func (encoder *encoder) encodeOffered(offered coltsfootlink.Offered) *peerpb.Offered {
	return &peerpb.Offered{
		Tried:   float32(offered.Attempted),
		Full:    float32(offered.RefusedFull),
		PoolRef: encoder.ref(string(offered.Pool)),
		Teams: convertAll(offered.Teams, func(team coltsfootlink.TeamLoad) *peerpb.TeamOffer {
			return &peerpb.TeamOffer{TeamRef: encoder.ref(string(team.Team)), Tokens: float32(team.Tokens), Granted: float32(team.Granted), Requests: uint32(team.Requests)}
		}),
	}
}

func (decoder *decoder) decodeOffered(offered *peerpb.Offered) coltsfootlink.Offered {
	return coltsfootlink.Offered{
		Attempted:   float64(offered.GetTried()),
		RefusedFull: float64(offered.GetFull()),
		Pool:        coltsfootlink.PoolName(decoder.name(offered.GetPoolRef())),
		Teams: convertAll(offered.GetTeams(), func(team *peerpb.TeamOffer) coltsfootlink.TeamLoad {
			return coltsfootlink.TeamLoad{Team: coltsfootlink.TeamName(decoder.name(team.GetTeamRef())), Tokens: float64(team.GetTokens()), Granted: float64(team.GetGranted()), Requests: int(team.GetRequests())}
		}),
	}
}

func (encoder *encoder) encodeShares(shares coltsfootlink.Shares) *peerpb.Shares {
	return &peerpb.Shares{
		Patience: float32(shares.MaxWaitFraction),
		PoolRef:  encoder.ref(string(shares.Pool)),
		Zones: convertAll(shares.Zones, func(demand coltsfootlink.ZoneDemand) *peerpb.ZoneDemand {
			return &peerpb.ZoneDemand{ZoneRef: encoder.ref(string(demand.Zone)), Fraction: float32(demand.Fraction)}
		}),
		Teams: convertAll(shares.Teams, func(team coltsfootlink.TeamShare) *peerpb.TeamShare {
			return &peerpb.TeamShare{TeamRef: encoder.ref(string(team.Team)), Entitled: float32(team.Entitled), Bearable: float32(team.Bearable), Surplus: float32(team.Surplus)}
		}),
	}
}

func (decoder *decoder) decodeShares(shares *peerpb.Shares) coltsfootlink.Shares {
	return coltsfootlink.Shares{
		MaxWaitFraction: float64(shares.GetPatience()),
		Pool:            coltsfootlink.PoolName(decoder.name(shares.GetPoolRef())),
		Zones: convertAll(shares.GetZones(), func(demand *peerpb.ZoneDemand) coltsfootlink.ZoneDemand {
			return coltsfootlink.ZoneDemand{Zone: coltsfootlink.ZoneName(decoder.name(demand.GetZoneRef())), Fraction: float64(demand.GetFraction())}
		}),
		Teams: convertAll(shares.GetTeams(), func(team *peerpb.TeamShare) coltsfootlink.TeamShare {
			return coltsfootlink.TeamShare{
				Team:     coltsfootlink.TeamName(decoder.name(team.GetTeamRef())),
				Entitled: float64(team.GetEntitled()),
				Bearable: float64(team.GetBearable()),
				Surplus:  float64(team.GetSurplus()),
			}
		}),
	}
}
