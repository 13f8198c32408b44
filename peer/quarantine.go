package peer

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// This file has the codec of QuarantineNews. Its times are sent as their age in milliseconds, because clocks of instances differ.

// ageInMillis returns how long ago a time was, in milliseconds and at least 1; zero for the zero time.
func ageInMillis(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(1, time.Since(at).Milliseconds()))
}

// timeOfAge is the inverse of ageInMillis, on the receiver's clock.
func timeOfAge(millis uint32) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(millis) * time.Millisecond)
}

func (encoder *encoder) encodeQuarantineNews(news coltsfootlink.QuarantineNews) *peerpb.QuarantineNews {
	return &peerpb.QuarantineNews{
		Crashes:  convertAll(news.Crashes, encoder.encodePromptCrash),
		Answered: convertAll(news.Answered, encoder.encodePartAnswered),
	}
}

func (encoder *encoder) encodePromptCrash(crash coltsfootlink.PromptCrash) *peerpb.PromptCrash {
	return &peerpb.PromptCrash{
		PoolRef:        encoder.ref(string(crash.Pool)),
		Request:        string(crash.Request),
		TargetRef:      encoder.ref(string(crash.Target)),
		IncarnationRef: encoder.number(crash.Incarnation),
		Suspects: convertAll(crash.Suspects, func(suspect coltsfootlink.Suspect) *peerpb.Suspect {
			return &peerpb.Suspect{Part: uint64(suspect.Part), AnsweredMillisAgo: ageInMillis(suspect.AnsweredAt)}
		}),
		SentMillisAgo:    ageInMillis(crash.SentAt),
		CrashedMillisAgo: ageInMillis(crash.CrashedAt),
		Unbegun:          crash.Unbegun,
	}
}

func (encoder *encoder) encodePartAnswered(answer coltsfootlink.PartAnswered) *peerpb.PartAnswered {
	return &peerpb.PartAnswered{PoolRef: encoder.ref(string(answer.Pool)), Part: uint64(answer.Part), MillisAgo: ageInMillis(answer.At)}
}

func (decoder *decoder) decodeQuarantineNews(news *peerpb.QuarantineNews) coltsfootlink.QuarantineNews {
	return coltsfootlink.QuarantineNews{
		Crashes:  convertAll(news.GetCrashes(), decoder.decodePromptCrash),
		Answered: convertAll(news.GetAnswered(), decoder.decodePartAnswered),
	}
}

func (decoder *decoder) decodePromptCrash(crash *peerpb.PromptCrash) coltsfootlink.PromptCrash {
	return coltsfootlink.PromptCrash{
		Pool:        coltsfootlink.PoolName(decoder.name(crash.GetPoolRef())),
		Request:     coltsfootlink.RequestID(crash.GetRequest()),
		Target:      coltsfootlink.TargetName(decoder.name(crash.GetTargetRef())),
		Incarnation: decoder.number(crash.GetIncarnationRef()),
		Suspects: convertAll(crash.GetSuspects(), func(suspect *peerpb.Suspect) coltsfootlink.Suspect {
			return coltsfootlink.Suspect{Part: coltsfootlink.PartID(suspect.GetPart()), AnsweredAt: timeOfAge(suspect.GetAnsweredMillisAgo())}
		}),
		SentAt:    timeOfAge(crash.GetSentMillisAgo()),
		CrashedAt: timeOfAge(crash.GetCrashedMillisAgo()),
		Unbegun:   crash.GetUnbegun(),
	}
}

func (decoder *decoder) decodePartAnswered(answer *peerpb.PartAnswered) coltsfootlink.PartAnswered {
	return coltsfootlink.PartAnswered{
		Pool: coltsfootlink.PoolName(decoder.name(answer.GetPoolRef())),
		Part: coltsfootlink.PartID(answer.GetPart()),
		At:   timeOfAge(answer.GetMillisAgo()),
	}
}
